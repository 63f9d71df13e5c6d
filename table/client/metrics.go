package client

import "github.com/uber-go/tally/v4"

// Metrics counts what happens to transactions and reads.
type Metrics struct {
	// Applied, Refused, Unavailable and Unsettled count transactions by what
	// their caller was told.
	Applied     tally.Counter
	Refused     tally.Counter
	Unavailable tally.Counter
	Unsettled   tally.Counter
	// CommitCalls counts calls that were made for transactions and fences.
	CommitCalls tally.Counter
	// LostAnswers counts commits whose answer was lost.
	LostAnswers tally.Counter
	// Fences counts fences that were sent.
	Fences tally.Counter
	// Reads counts reads, and ReadCalls the calls that were made for them.
	Reads     tally.Counter
	ReadCalls tally.Counter
	// BudgetRefusals counts calls that the budget had no time for.
	BudgetRefusals tally.Counter
	// BreakerRefusals counts calls that an open breaker refused.
	BreakerRefusals tally.Counter
	// BatchedChanges counts changes that batches carried.
	BatchedChanges tally.Counter
}

// NewMetrics returns the metrics in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("table")
	return &Metrics{
		Applied:         scope.Counter("commits_applied"),
		Refused:         scope.Counter("commits_refused"),
		Unavailable:     scope.Counter("commits_unavailable"),
		Unsettled:       scope.Counter("commits_unsettled"),
		CommitCalls:     scope.Counter("commit_calls"),
		LostAnswers:     scope.Counter("lost_answers"),
		Fences:          scope.Counter("fences"),
		Reads:           scope.Counter("reads"),
		ReadCalls:       scope.Counter("read_calls"),
		BudgetRefusals:  scope.Counter("budget_refusals"),
		BreakerRefusals: scope.Counter("breaker_refusals"),
		BatchedChanges:  scope.Counter("batched_changes"),
	}
}
