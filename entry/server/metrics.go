package server

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
	"github.com/carobkeel/carobkeel/sidecar"
)

// Metrics holds the metrics of the requests of entries.
type Metrics struct {
	startedCount tally.Counter
	running      tally.Gauge
	queued       tally.Gauge
	limit        tally.Gauge
	refusals     *telemetry.CodeCounters
	series       *telemetry.ByOwner[series]
}

// series holds the metrics of one owner and class.
type series struct {
	queueWait    tally.Histogram
	upstreamTime tally.Histogram
}

// NewMetrics returns Metrics that are registered in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		startedCount: scope.Counter("requests_started"),
		running:      scope.Gauge("requests_running"),
		queued:       scope.Gauge("requests_queued"),
		limit:        scope.Gauge("requests_limit"),
		refusals:     telemetry.NewCodeCounters(scope, "requests_refused"),
		series: telemetry.NewByOwner(scope, telemetry.DefaultMaxOwners, func(s tally.Scope) series {
			return series{
				queueWait:    s.Histogram("request_queue_wait", telemetry.LatencyBuckets()),
				upstreamTime: s.Histogram("request_upstream_time", telemetry.LatencyBuckets()),
			}
		}),
	}
}

// started counts a request that is sent to the upstream and records how long it
// waited for its slot.
func (m *Metrics) started(key carobkeel.OwnerClass, waited time.Duration) {
	m.startedCount.Inc(1)
	m.series.For(key.Owner, key.Class).queueWait.RecordDuration(waited)
}

// answered records how long the upstream took to begin a successful answer. Zero
// stands for an unsuccessful one, which is not recorded.
func (m *Metrics) answered(key carobkeel.OwnerClass, duration time.Duration) {
	if duration == 0 {
		return
	}
	m.series.For(key.Owner, key.Class).upstreamTime.RecordDuration(duration)
}

func (m *Metrics) refused(code carobkeel.Code) { m.refusals.Inc(code) }

func (m *Metrics) updateGauges(load sidecar.Load) {
	m.running.Update(float64(load.Running))
	m.queued.Update(float64(load.Queued))
	m.limit.Update(float64(load.Limit))
}
