package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/sidecar"
)

const (
	// pickUpstreams is the size of the pool that a pick is measured on.
	pickUpstreams = 1_000
	// pickThreads is the number of threads that pick at once.
	pickThreads = 10
	// pickRounds is the number of picks of each thread.
	pickRounds = 2_000_000
	// pickNanosTarget, pickScaleTarget and skewTarget come from the
	// requirements.
	pickNanosTarget = 200
	pickScaleTarget = 6
	skewTarget      = 0.6
)

// pickSuite measures the choice of a sidecar.
func pickSuite() suite {
	return suite{name: "pick", run: func(_ context.Context, o options) ([]figure, error) {
		figures := pickCostFigures(o.seed)
		figures = append(figures, skewFigures(o.seed)...)
		figures = append(figures, outlierFigures(o.seed)...)
		figures = append(figures, hedgeFigures(o.seed)...)
		return append(figures, spillFigures(o.seed)...), nil
	}}
}

// pickPool returns a pool with different loads and latencies.
func pickPool(seed uint64) *sidecar.Pool {
	random := rand.New(rand.NewPCG(seed, 0))
	view := sidecar.NewView()
	for i := range pickUpstreams {
		view, _ = view.ApplyAnnouncement(sidecar.Announcement{
			Incarnation: carobkeel.Incarnation(i + 1),
			Sequence:    1,
			Address:     fmt.Sprintf("%04d", i),
			Service:     modelService,
			Slots:       8,
			Running:     random.IntN(6),
		}, modelEpoch)
	}
	pool := view.Pool(modelService)
	for _, member := range pool.Members() {
		member.Stats.RecordLatency(time.Duration(1+random.IntN(50)) * time.Millisecond)
	}
	return pool
}

func pickCostFigures(seed uint64) []figure {
	pool := pickPool(seed)
	now := modelEpoch.Add(time.Hour)
	pick := func() *sidecar.Member { return pool.Pick(sidecar.PickOptions{Random: rand.Uint64(), Now: now}) }
	count := func() {
		member := pick()
		member.Stats.Begin(carobkeel.ClassLatencyCritical)
		member.Stats.End(carobkeel.ClassLatencyCritical)
	}
	one, many := perThreads(1, func() { pick() }), perThreads(pickThreads, func() { pick() })
	oneCounted, manyCounted := perThreads(1, count), perThreads(pickThreads, count)
	return []figure{
		targeted("pick-1000-upstreams", nanos(one.perSecond), "ns", atMost, pickNanosTarget),
		targeted("pick-1000-upstreams-allocations", testing.AllocsPerRun(1_000, func() { pick() }), "allocations", atMost, 0),
		targeted("pick-throughput-10-threads-to-1", many.perSecond/one.perSecond, "ratio", atLeast, pickScaleTarget),
		{Name: "pick-per-processor-second-10-threads-to-1", Value: many.perProcessorSecond / one.perProcessorSecond, Unit: "ratio", Verdict: "-"},
		{Name: "pick-and-count-1000-upstreams", Value: nanos(oneCounted.perSecond), Unit: "ns", Verdict: "-"},
		{Name: "pick-and-count-throughput-10-threads-to-1", Value: manyCounted.perSecond / oneCounted.perSecond, Unit: "ratio", Verdict: "-"},
		{Name: "pick-processors", Value: float64(runtime.GOMAXPROCS(0)), Unit: "processors", Verdict: "-"},
	}
}

func nanos(perSecond float64) float64 { return float64(time.Second.Nanoseconds()) / perSecond }

// threadRate is how often threads ran a step together.
type threadRate struct {
	perSecond float64
	// perProcessorSecond leaves out the time in which others had the processor.
	perProcessorSecond float64
}

// perThreads lets the threads run step at once.
func perThreads(threads int, step func()) threadRate {
	var group sync.WaitGroup
	start, used := time.Now(), processorTime()
	for range threads {
		group.Go(func() {
			for range pickRounds {
				step()
			}
		})
	}
	group.Wait()
	steps := float64(threads * pickRounds)
	return threadRate{
		perSecond:          steps / time.Since(start).Seconds(),
		perProcessorSecond: steps / (processorTime() - used).Seconds(),
	}
}

const (
	modelEntries   = 3
	modelUpstreams = 10
	modelSlots     = 8
	// modelServiceTime is the mean service time of a latency-critical request.
	modelServiceTime = 20 * time.Millisecond
	modelTimeout     = 500 * time.Millisecond
	modelLinkDelay   = 500 * time.Microsecond
	modelDuration    = 28 * time.Second
)

// fleet returns equal upstreams in one data centre.
func fleet() []upstreamSpec {
	specs := make([]upstreamSpec, modelUpstreams)
	for i := range specs {
		specs[i] = upstreamSpec{slots: modelSlots, capacity: modelSlots, slowness: 1, dataCentre: "a"}
	}
	return specs
}

// skewedFleet returns upstreams of which some are two and four times as slow.
func skewedFleet() []upstreamSpec {
	specs := fleet()
	specs[1].slowness, specs[4].slowness, specs[7].slowness = 2, 4, 2
	return specs
}

func flatLink(from, to carobkeel.DataCentre) time.Duration { return modelLinkDelay }

// perSecond returns the rate of requests that take a share of an even fleet.
func perSecond(share float64, service time.Duration) float64 {
	return share * modelUpstreams * modelSlots / service.Seconds()
}

// oneService returns the requests of one latency-critical service.
func oneService(share float64) *stream {
	return &stream{
		key:     carobkeel.OwnerClass{Owner: "dispatch"},
		perSec:  perSecond(share, modelServiceTime),
		service: modelServiceTime,
		timeout: modelTimeout,
		from:    "a",
	}
}

// skewLoad is the share of an even fleet that the skewed one is given. It can
// serve about 0.82 of it.
const skewLoad = 0.6

// skewFigures compares ways of choosing on upstreams of different speed.
func skewFigures(seed uint64) []figure {
	var figures []figure
	var baseline float64
	for _, each := range choosers() {
		m := runModel(modelConfig{
			seed: seed, entries: modelEntries, upstreams: skewedFleet(), streams: []*stream{oneService(skewLoad)},
			link: flatLink, choose: each.choose, plain: true, duration: modelDuration,
			unlimited: each.name == "round-robin",
		})
		result := m.config.streams[0].result
		p99 := result.p99()
		if baseline == 0 {
			baseline = p99
		}
		figures = append(figures,
			figure{Name: "skew-p99-" + each.name, Value: p99, Unit: "ms", Verdict: "-"},
			figure{Name: "skew-in-time-" + each.name, Value: result.inTimeShare(), Unit: "share", Verdict: "-"},
		)
		if each.choose == nil {
			figures = append(figures, targeted("skew-p99-to-round-robin", p99/baseline, "ratio", atMost, skewTarget))
		}
	}
	return figures
}

// outlierFigures shows how many requests an upstream attracts that fails
// everything at once.
func outlierFigures(seed uint64) []figure {
	var figures []figure
	for _, each := range choosers() {
		specs := fleet()
		specs[3].failing = true
		m := runModel(modelConfig{
			seed: seed, entries: modelEntries, upstreams: specs, streams: []*stream{oneService(skewLoad)},
			link: flatLink, choose: each.choose, plain: true, duration: modelDuration,
		})
		share := float64(m.sidecars[3].taken) / float64(max(m.attempts, 1))
		figures = append(figures, figure{Name: "failing-upstream-attracts-" + each.name, Value: share, Unit: "share", Verdict: "-"})
	}
	return figures
}

const (
	// spillDistance is the time of one way to another data centre.
	spillDistance = 5 * time.Millisecond
	// spillQuiet and spillBusy are loads of the near data centre alone, as
	// shares of the whole fleet; it is half of it.
	spillQuiet = 0.25
	spillBusy  = 0.65
)

// spillFigures shows which share of requests goes to the other data centre.
func spillFigures(seed uint64) []figure {
	var figures []figure
	for _, each := range []struct {
		name string
		load float64
	}{{"quiet", spillQuiet}, {"busy", spillBusy}} {
		name, load := each.name, each.load
		specs := fleet()
		for i := modelUpstreams / 2; i < modelUpstreams; i++ {
			specs[i].dataCentre = "b"
		}
		m := runModel(modelConfig{
			seed: seed, entries: modelEntries, upstreams: specs, streams: []*stream{oneService(load)},
			link: func(from, to carobkeel.DataCentre) time.Duration {
				if from == to {
					return modelLinkDelay
				}
				return spillDistance
			},
			plain: true, duration: modelDuration,
		})
		var far int
		for _, s := range m.sidecars[modelUpstreams/2:] {
			far += s.taken
		}
		result := m.config.streams[0].result
		figures = append(figures,
			figure{Name: "spill-share-" + name, Value: float64(far) / float64(m.attempts), Unit: "share", Verdict: "-"},
			figure{Name: "spill-p99-" + name, Value: result.p99(), Unit: "ms", Verdict: "-"},
			figure{Name: "spill-in-time-" + name, Value: result.inTimeShare(), Unit: "share", Verdict: "-"},
		)
	}
	return figures
}

// hedgeFigures shows what hedges do to the tail and to the number of requests
// at upstreams with spare capacity and at those with hardly any.
func hedgeFigures(seed uint64) []figure {
	var figures []figure
	for _, load := range []float64{0.5, 0.95} {
		for _, hedges := range []bool{true, false} {
			name := "without"
			if hedges {
				name = "with"
			}
			m := runModel(modelConfig{
				seed: seed, entries: modelEntries, upstreams: fleet(), streams: []*stream{oneService(load)},
				link: flatLink, hedges: hedges, duration: modelDuration,
			})
			result := m.config.streams[0].result
			prefix := fmt.Sprintf("load-%g-%s-hedges-", load, name)
			figures = append(figures,
				figure{Name: prefix + "p99", Value: result.p99(), Unit: "ms", Verdict: "-"},
				figure{Name: prefix + "in-time", Value: result.inTimeShare(), Unit: "share", Verdict: "-"},
				figure{Name: prefix + "requests", Value: float64(m.attempts) / float64(m.config.streams[0].total), Unit: "ratio", Verdict: "-"},
			)
		}
	}
	return figures
}
