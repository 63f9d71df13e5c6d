package httpintake

import "github.com/uber-go/tally/v4"

// Metrics counts what the limits on clients did.
type Metrics struct {
	connectionsRefused, connectionsClosed tally.Counter
	bodiesRefused, bodiesEvicted          tally.Counter
	bodiesTooSlow, headsRefused           tally.Counter
	budgetUsed, connectionsOpen           tally.Gauge
}

// NewMetrics returns metrics in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("intake")
	return &Metrics{
		connectionsRefused: scope.Counter("connections_refused"),
		connectionsClosed:  scope.Counter("connections_closed"),
		bodiesRefused:      scope.Counter("bodies_refused"),
		bodiesEvicted:      scope.Counter("bodies_evicted"),
		bodiesTooSlow:      scope.Counter("bodies_too_slow"),
		headsRefused:       scope.Counter("heads_refused"),
		budgetUsed:         scope.Gauge("budget_used"),
		connectionsOpen:    scope.Gauge("connections_open"),
	}
}
