package members

import "github.com/uber-go/tally/v4"

// Metrics counts announcements and sidecars.
type Metrics struct {
	taken   tally.Counter
	stale   tally.Counter
	relayed tally.Counter
	known   tally.Gauge
}

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		taken:   scope.Counter("announcements_taken"),
		stale:   scope.Counter("announcements_stale"),
		relayed: scope.Counter("announcements_relayed"),
		known:   scope.Gauge("sidecars_known"),
	}
}

func (m *Metrics) announced(fresh bool) {
	if fresh {
		m.taken.Inc(1)
		return
	}
	m.stale.Inc(1)
}

func (m *Metrics) members(count int) { m.known.Update(float64(count)) }
