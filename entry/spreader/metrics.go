package spreader

import "github.com/uber-go/tally/v4"

// Metrics tells how the catalogue is spread to and from this process.
type Metrics struct {
	revision  tally.Gauge
	heard     tally.Gauge
	peers     tally.Gauge
	changes   tally.Counter
	snapshots tally.Counter
	conflicts tally.Counter
	behind    tally.Counter
	storeDown tally.Counter
}

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	spread := scope.SubScope("spread")
	return &Metrics{
		revision:  spread.Gauge("revision"),
		heard:     spread.Gauge("revision_heard"),
		peers:     spread.Gauge("peers"),
		changes:   spread.Counter("changes_sent"),
		snapshots: spread.Counter("snapshots_sent"),
		conflicts: spread.Counter("conflicts"),
		behind:    spread.Counter("store_behind"),
		storeDown: spread.Counter("store_failures"),
	}
}
