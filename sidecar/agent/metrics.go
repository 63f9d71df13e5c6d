package agent

import (
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/telemetry"
)

// Metrics measures what a sidecar does for its worker.
type Metrics struct {
	// Orders counts orders that were answered, Unanswered those that were not,
	// Refused those that the sidecar refused by itself.
	Orders, Unanswered, Refused tally.Counter
	// OrderLatency is the time of an order with its repeats.
	OrderLatency tally.Histogram
	// ListingsFailed counts listings without an answer.
	ListingsFailed tally.Counter
	// HoldersFound counts changes of the holder.
	HoldersFound tally.Counter
}

// NewMetrics returns metrics in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("agent")
	return &Metrics{
		Orders:         scope.Counter("orders"),
		Unanswered:     scope.Counter("orders_unanswered"),
		Refused:        scope.Counter("orders_refused"),
		OrderLatency:   scope.Histogram("order_latency", telemetry.LatencyBuckets()),
		ListingsFailed: scope.Counter("listings_failed"),
		HoldersFound:   scope.Counter("holders_found"),
	}
}
