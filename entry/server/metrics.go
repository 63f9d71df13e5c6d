package server

import (
	"time"

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
	series       *telemetry.ByOwner[series]
}

// series is the metrics of one owner and class.
type series struct {
	queueWait tally.Histogram
	upstream  tally.Histogram
}

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		startedCount: scope.Counter("requests_started"),
		running:      scope.Gauge("requests_running"),
		queued:       scope.Gauge("requests_queued"),
		limit:        scope.Gauge("requests_limit"),
		refusals:     telemetry.NewCodeCounters(scope, "requests_refused"),
		series: telemetry.NewByOwner(scope, telemetry.DefaultMaxOwners, func(s tally.Scope) series {
			return series{
				queueWait: s.Histogram("request_queue_wait", telemetry.LatencyBuckets()),
				upstream:  s.Histogram("request_upstream_time", telemetry.LatencyBuckets()),
			}
		}),
	}
}

// started counts a request that is sent to the upstream after a wait.
func (m *Metrics) started(key carobkeel.OwnerClass, waited time.Duration) {
	m.startedCount.Inc(1)
	m.series.For(key.Owner, key.Class).queueWait.RecordDuration(waited)
}

// answered notes how long the upstream took to begin a good answer. Zero stands
// for an answer that was not good, and is left out.
func (m *Metrics) answered(key carobkeel.OwnerClass, took time.Duration) {
	if took == 0 {
		return
	}
	m.series.For(key.Owner, key.Class).upstream.RecordDuration(took)
}

func (m *Metrics) refused(code carobkeel.Code) { m.refusals.Inc(code) }

func (m *Metrics) state(load sidecar.Load) {
	m.running.Update(float64(load.Running))
	m.queued.Update(float64(load.Queued))
	m.limit.Update(float64(load.Limit))
}
