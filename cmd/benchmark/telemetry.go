package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
)

const (
	// nodeMemoryKB is the memory that control may use on a node.
	nodeMemoryKB = 128 << 10
	// recordRounds is the number of lookups that the cost of one is taken from.
	recordRounds = 1_000_000
)

// ownerMetrics is what an entry keeps for each owner and class.
type ownerMetrics struct {
	latency, queueWait, startDelay tally.Histogram
	requests                       tally.Counter
}

func newOwnerMetrics(scope tally.Scope) ownerMetrics {
	return ownerMetrics{
		latency:    scope.Histogram("latency", telemetry.LatencyBuckets()),
		queueWait:  scope.Histogram("queue_wait", telemetry.LatencyBuckets()),
		startDelay: scope.Histogram("start_delay", telemetry.LatencyBuckets()),
		requests:   scope.Counter("requests"),
	}
}

// telemetrySuite measures what metrics by owner and class cost a node.
func telemetrySuite() suite {
	return suite{name: "telemetry", run: func(context.Context, options) ([]figure, error) {
		var figures []figure
		for _, owners := range []int{30, 100, 300} {
			kb, nanos := ownerMetricsCost(owners)
			figures = append(figures,
				targeted(fmt.Sprintf("memory-%d-owners", owners), kb, "KB", atMost, nodeMemoryKB),
				measured(fmt.Sprintf("record-%d-owners", owners), nanos, "ns"))
		}
		return figures, nil
	}}
}

// ownerMetricsCost returns the memory in KB of the metrics of all owners, and
// the nanoseconds that recording one latency takes.
func ownerMetricsCost(owners int) (kb, nanos float64) {
	before := liveHeapBytes()
	scope, handler, closer := telemetry.New(telemetry.Config{Interval: time.Hour})
	byOwner := telemetry.NewByOwner(scope, 0, newOwnerMetrics)
	names := make([]carobkeel.Owner, owners)
	for i := range names {
		names[i] = carobkeel.Owner(fmt.Sprintf("owner-%d", i))
		byOwner.For(names[i], carobkeel.ClassBatch)
	}
	kb = float64(liveHeapBytes()-before) / 1024
	start := time.Now()
	for i := range recordRounds {
		byOwner.For(names[i%owners], carobkeel.ClassLatencyCritical).latency.RecordDuration(time.Millisecond)
	}
	nanos = float64(time.Since(start).Nanoseconds()) / recordRounds
	_ = closer.Close()
	runtime.KeepAlive(handler)
	return kb, nanos
}

// liveHeapBytes returns the size of the live heap.
func liveHeapBytes() int64 {
	// The second collection frees what finalizers and pools held in the first.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
