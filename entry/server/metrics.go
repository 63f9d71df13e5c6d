package server

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
)

// Metrics counts what happens to the requests of entries.
type Metrics struct {
	startedCount tally.Counter
	running      tally.Gauge
	queued       tally.Gauge
	refusals     map[carobkeel.Code]tally.Counter
}

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{
		startedCount: scope.Counter("requests_started"),
		running:      scope.Gauge("requests_running"),
		queued:       scope.Gauge("requests_queued"),
		refusals:     make(map[carobkeel.Code]tally.Counter),
	}
	for _, info := range carobkeel.Codes() {
		tagged := scope.Tagged(map[string]string{"code": strconv.Itoa(int(info.Code))})
		m.refusals[info.Code] = tagged.Counter("requests_refused")
	}
	return m
}

func (m *Metrics) started() { m.startedCount.Inc(1) }

func (m *Metrics) refused(code carobkeel.Code) {
	if counter, ok := m.refusals[code]; ok {
		counter.Inc(1)
	}
}

func (m *Metrics) state(running, queued int) {
	m.running.Update(float64(running))
	m.queued.Update(float64(queued))
}
