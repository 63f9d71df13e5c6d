package propagator

import "github.com/uber-go/tally/v4"

// Metrics holds the metrics of the propagation of the catalogue.
type Metrics struct {
	revision        tally.Gauge
	highestRevision tally.Gauge
	peers           tally.Gauge
	changesSent     tally.Counter
	snapshotsSent   tally.Counter
	conflicts       tally.Counter
	storeBehind     tally.Counter
	storeFailures   tally.Counter
}

// NewMetrics returns Metrics that are registered in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	spread := scope.SubScope("spread")
	return &Metrics{
		revision:        spread.Gauge("revision"),
		highestRevision: spread.Gauge("revision_heard"),
		peers:           spread.Gauge("peers"),
		changesSent:     spread.Counter("changes_sent"),
		snapshotsSent:   spread.Counter("snapshots_sent"),
		conflicts:       spread.Counter("conflicts"),
		storeBehind:     spread.Counter("store_behind"),
		storeFailures:   spread.Counter("store_failures"),
	}
}
