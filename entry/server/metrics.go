package server

import (
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
	"github.com/carobkeel/carobkeel/sidecar"
)

// Metrics counts what happens to the requests of entries.
type Metrics struct {
	startedCount tally.Counter
	running      tally.Gauge
	queued       tally.Gauge
	limit        tally.Gauge
	refusals     *telemetry.CodeCounters
}

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		startedCount: scope.Counter("requests_started"),
		running:      scope.Gauge("requests_running"),
		queued:       scope.Gauge("requests_queued"),
		limit:        scope.Gauge("requests_limit"),
		refusals:     telemetry.NewCodeCounters(scope, "requests_refused"),
	}
}

func (m *Metrics) started() { m.startedCount.Inc(1) }

func (m *Metrics) refused(code carobkeel.Code) { m.refusals.Inc(code) }

func (m *Metrics) state(load sidecar.Load) {
	m.running.Update(float64(load.Running))
	m.queued.Update(float64(load.Queued))
	m.limit.Update(float64(load.Limit))
}
