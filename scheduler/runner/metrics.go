package runner

import "github.com/uber-go/tally/v4"

// Metrics holds the metrics of a Runner.
type Metrics struct {
	takeovers    tally.Counter
	stepDowns    tally.Counter
	transactions tally.Counter
	rowsWritten  tally.Counter
	storeErrors  tally.Counter
	placed       tally.Counter
	evicted      tally.Counter
	neverFits    tally.Counter
	lostReports  tally.Counter
	unfinished   tally.Gauge
	waiting      tally.Gauge
}

// NewMetrics registers the metrics in the given scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		takeovers:    scope.Counter("shard_takeovers"),
		stepDowns:    scope.Counter("shard_step_downs"),
		transactions: scope.Counter("shard_transactions"),
		rowsWritten:  scope.Counter("shard_rows_written"),
		storeErrors:  scope.Counter("shard_store_errors"),
		placed:       scope.Counter("shard_tasks_placed"),
		evicted:      scope.Counter("shard_tasks_evicted"),
		neverFits:    scope.Counter("shard_jobs_never_fit"),
		lostReports:  scope.Counter("shard_reports_lost"),
		unfinished:   scope.Gauge("shard_jobs_unfinished"),
		waiting:      scope.Gauge("shard_jobs_waiting"),
	}
}
