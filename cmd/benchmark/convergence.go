package main

import (
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	floodBegins = 8 * time.Second
	floodEnds   = 16 * time.Second
	// settledSurplus is the load on the sidecars, as a multiple of what they
	// serve, below which the entries' admission counts as settled.
	settledSurplus = 2.0
)

// convergenceFigures shows how soon entries that know nothing of each other
// settle at what the sidecars take, and how soon a flood is forgotten.
func convergenceFigures(seed uint64) []figure {
	var figures []figure
	for _, entries := range []int{1, 3, 12} {
		settled, recovered := converge(seed, entries)
		figures = append(figures,
			figure{Name: fmt.Sprintf("flood-settles-%d-entries", entries), Value: settled.Seconds(), Unit: "s", Verdict: "-"},
			figure{Name: fmt.Sprintf("flood-forgotten-%d-entries", entries), Value: recovered.Seconds(), Unit: "s", Verdict: "-"},
		)
	}
	return figures
}

// converge runs a flood by one owner from floodBegins to floodEnds and returns
// the time until the sidecars are sent less than settledSurplus of what they
// serve, and the time after the end until the owner is refused nothing.
func converge(seed uint64, entries int) (settled, recovered time.Duration) {
	flood := newStream(ownerFlood, carobkeel.ClassLatencyCritical, floodFactor, 0)
	flood.start, flood.end = floodBegins, floodEnds
	// after is what the owner sends when the flood is over.
	after := newStream(ownerFlood, carobkeel.ClassLatencyCritical, 0.2, 0)
	c := modelConfig{
		seed: seed, entries: entries, upstreams: fleet(), streams: append(quietStreams(), after, flood),
		link: flatLink, duration: modelDuration,
	}
	var attempts, refused int
	var lastHigh, lastRefused time.Duration
	c.onTick = func(m *model) {
		sent := m.attempts - attempts
		attempts = m.attempts
		served := perSecond(1, modelServiceTime) * tickSeconds
		if m.now > floodBegins && m.now <= floodEnds && float64(sent) > settledSurplus*served {
			lastHigh = m.now
		}
		if now := after.result.refused; now > refused {
			refused, lastRefused = now, m.now
		}
	}
	runModel(c)
	return max(lastHigh-floodBegins, 0), max(lastRefused-floodEnds, 0)
}

// tickSeconds is the interval of onTick in seconds.
const tickSeconds = 0.1

// crowdedFigures compares a fixed with an adaptive limit where upstreams serve
// fewer requests at once than their slots say.
func crowdedFigures(seed uint64) []figure {
	var figures []figure
	for _, fixed := range []bool{true, false} {
		name := "adaptive"
		if fixed {
			name = "fixed"
		}
		specs := fleet()
		for i := range specs {
			specs[i].capacity = modelSlots / 4
		}
		critical := newStream(ownerDispatch, carobkeel.ClassLatencyCritical, 0.1, criticalFloor)
		batch := newStream(ownerSensors, carobkeel.ClassBatch, 1, 0)
		batch.start = floodBegins
		m := runModel(modelConfig{
			seed: seed, entries: modelEntries, upstreams: specs, streams: []*stream{critical, batch},
			link: flatLink, fixedLimit: fixed, duration: modelDuration,
		})
		figures = append(figures,
			figure{Name: "overcommitted-critical-p99-" + name, Value: critical.result.p99(), Unit: "ms", Verdict: "-"},
			figure{Name: "overcommitted-goodput-" + name, Value: m.utilization(m.result(isAny).work), Unit: "share", Verdict: "-"},
		)
	}
	return figures
}

// slowBatchServiceTime is the service time of batch requests for which a
// latency-critical one would wait long.
const slowBatchServiceTime = time.Second

// slowBatchFigures floods the fleet with slow batch requests and shows what the
// floor of a latency-critical owner costs and brings.
func slowBatchFigures(seed uint64) []figure {
	var figures []figure
	for _, floor := range []float64{0, 0.25, 0.5} {
		critical := newStream(ownerDispatch, carobkeel.ClassLatencyCritical, 0.2, floor)
		batch := newStream(ownerFlood, carobkeel.ClassBatch, 0, 0)
		batch.service = slowBatchServiceTime
		batch.perSec = perSecond(floodFactor, slowBatchServiceTime)
		m := runModel(modelConfig{
			seed: seed, entries: modelEntries, upstreams: fleet(), streams: []*stream{critical, batch},
			link: flatLink, duration: modelDuration,
		})
		name := fmt.Sprintf("slow-batch-floor-%g-", floor)
		figures = append(figures,
			figure{Name: name + "critical-p99", Value: critical.result.p99(), Unit: "ms", Verdict: "-"},
			figure{Name: name + "critical-in-time", Value: critical.result.inTimeShare(), Unit: "share", Verdict: "-"},
			figure{Name: name + "goodput", Value: m.utilization(m.result(isAny).work), Unit: "share", Verdict: "-"},
		)
	}
	return figures
}
