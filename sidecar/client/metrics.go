package client

import "github.com/uber-go/tally/v4"

// Metrics holds the metrics of the links to sidecars.
type Metrics struct {
	retries tally.Counter
	hedges  tally.Counter
	queries tally.Counter
	late    tally.Gauge
}

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		retries: scope.Counter("sidecar_retries"),
		hedges:  scope.Counter("sidecar_hedges"),
		queries: scope.Counter("sidecar_queries"),
		late:    scope.Gauge("sidecar_late_frames"),
	}
}

func (m *Metrics) retry()                 { m.retries.Inc(1) }
func (m *Metrics) hedge()                 { m.hedges.Inc(1) }
func (m *Metrics) query()                 { m.queries.Inc(1) }
func (m *Metrics) lateFrames(total int64) { m.late.Update(float64(total)) }
