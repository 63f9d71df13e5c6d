package agent

import (
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/telemetry"
)

// Metrics holds the agent's metrics.
type Metrics struct {
	// Orders counts orders with a known result, Unanswered those whose result is
	// unknown, Refused those that the sidecar refused without asking the worker.
	Orders, Unanswered, Refused tally.Counter
	// OrderLatency is the duration of an order, including its further attempts.
	OrderLatency tally.Histogram
	// ListingsFailed counts listings that were refused or not answered.
	ListingsFailed tally.Counter
	// ListingsUnanswered counts the listings without an answer that extend the lease or
	// acknowledge ends.
	ListingsUnanswered tally.Counter
	// HeartbeatsRefused counts heartbeats of other workers than the one on this host.
	HeartbeatsRefused tally.Counter
	// IncarnationsReplaced counts changes of the known incarnation of the worker.
	IncarnationsReplaced tally.Counter
	// IncarnationReached is the age of an incarnation of the worker at its first answer to a call
	// that keeps those to earlier incarnations off.
	IncarnationReached tally.Histogram
	// HoldersFound counts changes of the holder, of its link and of its epoch.
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

		ListingsUnanswered:   scope.Counter("listings_unanswered"),
		HeartbeatsRefused:    scope.Counter("heartbeats_refused"),
		IncarnationsReplaced: scope.Counter("incarnations_replaced"),
		IncarnationReached:   scope.Histogram("incarnation_reached", telemetry.LatencyBuckets()),

		HoldersFound: scope.Counter("holders_found"),
	}
}
