package client

import "github.com/uber-go/tally/v4"

// Metrics counts calls to the object store.
type Metrics struct {
	// Calls counts calls to the store, including retries.
	Calls tally.Counter
	// Failures counts calls that still failed when their time limit was reached.
	Failures tally.Counter
	// RejectedSnapshots counts snapshots that were corrupt, of a newer format
	// or already deleted when they were read.
	RejectedSnapshots tally.Counter
}

// NewMetrics returns the metrics in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("objects")
	return &Metrics{
		Calls:             scope.Counter("calls"),
		Failures:          scope.Counter("failures"),
		RejectedSnapshots: scope.Counter("rejected_snapshots"),
	}
}
