package client

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/telemetry"
	"github.com/carobkeel/carobkeel/table"
)

// Metrics holds the metrics of transactions and reads.
type Metrics struct {
	// Applied, Refused, Unavailable and Unsettled count transactions by
	// the result reported to their caller.
	Applied     tally.Counter
	Refused     tally.Counter
	Unavailable tally.Counter
	Unsettled   tally.Counter
	// CommitCalls counts calls to the service for transactions and fences.
	CommitCalls tally.Counter
	// LostAnswers counts commits whose answer was lost.
	LostAnswers tally.Counter
	// Fences counts fences that were sent.
	Fences tally.Counter
	// Reads counts reads, and ReadCalls the calls to the service for them.
	Reads     tally.Counter
	ReadCalls tally.Counter
	// BudgetRefusals counts calls for which no budget was available in time.
	BudgetRefusals tally.Counter
	// BreakerRefusals counts calls that an open breaker refused.
	BreakerRefusals tally.Counter
	// BatchedChanges counts changes that were committed in batches.
	BatchedChanges tally.Counter
	// commitLatency is the time from a commit to its result, by purpose.
	commitLatency []tally.Histogram
	// readLatency is the time of a read with its retries, by purpose.
	readLatency []tally.Histogram
}

// NewMetrics returns the metrics in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("table")
	m := &Metrics{
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
	for _, purpose := range table.Purposes() {
		tagged := scope.Tagged(map[string]string{"purpose": purpose.String()})
		m.commitLatency = append(m.commitLatency, tagged.Histogram("commit_latency", telemetry.LatencyBuckets()))
		m.readLatency = append(m.readLatency, tagged.Histogram("read_latency", telemetry.LatencyBuckets()))
	}
	return m
}

func (m *Metrics) recordCommit(p table.Purpose, took time.Duration) {
	m.commitLatency[p].RecordDuration(took)
}

func (m *Metrics) recordRead(p table.Purpose, took time.Duration) {
	m.readLatency[p].RecordDuration(took)
}
