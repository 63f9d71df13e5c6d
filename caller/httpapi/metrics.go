package httpapi

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
)

// Metrics measures the latency and counts the results of callers' requests, by owner
// and class.
type Metrics struct {
	series *telemetry.ByOwner[series]
}

// series holds the metrics of one owner and class.
type series struct {
	latency tally.Histogram
	results *telemetry.CodeCounters
}

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{series: telemetry.NewByOwner(scope, telemetry.DefaultMaxOwners, func(s tally.Scope) series {
		return series{
			latency: s.Histogram("request_latency", telemetry.LatencyBuckets()),
			results: telemetry.NewCodeCounters(s, "requests"),
		}
	})}
}

func (m *Metrics) answered(owner carobkeel.Owner, class carobkeel.Class, code carobkeel.Code, took time.Duration) {
	s := m.series.For(owner, class)
	s.latency.RecordDuration(took)
	s.results.Inc(code)
}
