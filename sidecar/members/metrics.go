package members

import "github.com/uber-go/tally/v4"

// Metrics holds the metrics of announcements and known sidecars.
type Metrics struct {
	accepted tally.Counter
	stale    tally.Counter
	relayed  tally.Counter
	known    tally.Gauge
}

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		accepted: scope.Counter("announcements_taken"),
		stale:    scope.Counter("announcements_stale"),
		relayed:  scope.Counter("announcements_relayed"),
		known:    scope.Gauge("sidecars_known"),
	}
}

func (m *Metrics) countAnnouncement(newer bool) {
	if newer {
		m.accepted.Inc(1)
		return
	}
	m.stale.Inc(1)
}

func (m *Metrics) setKnown(count int) { m.known.Update(float64(count)) }
