package submission

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
)

// Metrics measures the latency and counts the results of submissions, by queue and
// class.
type Metrics struct {
	series *telemetry.ByOwner[series]
	// marks counts the cancellations of unknown jobs that were stored, and marksRefused those
	// that were refused for their number.
	marks, marksRefused tally.Counter
	// returned counts the jobs that were admitted because their callers came back as they were
	// told to when the jobs were refused for the load.
	returned tally.Counter
	// memoryRefused counts the jobs that were refused since the accepted ones took all their memory.
	memoryRefused tally.Counter
}

// series holds the metrics of one queue and class.
type series struct {
	latency tally.Histogram
	results *telemetry.CodeCounters
}

// NewMetrics returns metrics in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("submission")
	return &Metrics{
		series:        telemetry.NewByOwner(scope, telemetry.DefaultMaxOwners, newSeries),
		marks:         scope.Counter("unknown_cancelled"),
		marksRefused:  scope.Counter("unknown_cancels_refused"),
		returned:      scope.Counter("returned"),
		memoryRefused: scope.Counter("memory_refused"),
	}
}

func newSeries(scope tally.Scope) series {
	return series{
		latency: scope.Histogram("latency", telemetry.LatencyBuckets()),
		results: telemetry.NewCodeCounters(scope, "results"),
	}
}

func (m *Metrics) answered(queue carobkeel.Queue, code carobkeel.Code, took time.Duration) {
	class := carobkeel.ClassBatch
	if queue.Priority == 0 {
		class = carobkeel.ClassLatencyCritical
	}
	s := m.series.For(carobkeel.Owner(queue.Name), class)
	s.latency.RecordDuration(took)
	s.results.Inc(code)
}
