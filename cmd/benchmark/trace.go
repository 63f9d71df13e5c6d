package main

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
)

// shape is one user's fleet and work.
type shape struct {
	name          string
	workers       int
	capacity      carobkeel.Resources
	serviceDemand carobkeel.Resources
	maxTaskCores  int
}

func userShapes() []shape {
	return []shape{
		{
			"msaada", 10,
			carobkeel.Resources{MilliCPU: 32_000, MemoryBytes: 125 * gibibyte},
			carobkeel.Resources{MilliCPU: 4_000, MemoryBytes: 8 * gibibyte},
			4,
		},
		{
			"guild", 10,
			carobkeel.Resources{MilliCPU: 16_000, MemoryBytes: 60 * gibibyte},
			carobkeel.Resources{MilliCPU: 2_000, MemoryBytes: 4 * gibibyte},
			3,
		},
	}
}

// arrival is one batch task of the trace.
type arrival struct {
	at       time.Duration
	entry    int
	demand   carobkeel.Resources
	duration time.Duration
}

// trace is what every rule is given alike.
type trace struct {
	shape    shape
	seed     uint64
	arrivals []arrival
	// load is the load of the service by tick.
	load []float64
	// effects is the logarithm of the slowdown that one task of each batch
	// entry causes at full speed and full load, in each half of the trace.
	effects [2][]float64
}

func newTrace(s shape, seed uint64) *trace {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := &trace{shape: s, seed: seed}
	t.effects = drawEffects(rng)
	noise := 0.0
	for at := time.Duration(0); at < colocationLength; at += colocationTick {
		noise = 0.9*noise + 0.03*rng.NormFloat64()
		wave := 0.6 + 0.25*math.Sin(2*math.Pi*float64(at)/float64(loadPeriod))
		t.load = append(t.load, min(max(wave+noise, 0.1), 1))
	}
	t.arrivals = drawArrivals(rng, s)
	return t
}

// drawEffects returns the effects of the entries. In the second half of a trace
// an eighth of the entries have changed theirs.
func drawEffects(rng *rand.Rand) [2][]float64 {
	var effects [2][]float64
	for i := range batchEntries {
		effects[0] = append(effects[0], drawEffect(rng))
		effects[1] = append(effects[1], effects[0][i])
		if rng.IntN(8) == 0 {
			effects[1][i] = drawEffect(rng)
		}
	}
	return effects
}

// effect returns the effect of an entry at a time.
func (t *trace) effect(entry int, at time.Duration) float64 {
	return t.effects[int(2*at/colocationLength)][entry]
}

// drawEffect makes 15 % of the pairings harmful, up to a slowdown of 2.5 times
// by one task, 25 % noticeable and the rest harmless.
func drawEffect(rng *rand.Rand) float64 {
	switch kind := rng.Float64(); {
	case kind < 0.15:
		return math.Log(1.3 + 1.2*rng.Float64())
	case kind < 0.4:
		return math.Log(1.01 + 0.05*rng.Float64())
	}
	return math.Log(1 + 0.005*rng.Float64())
}

// drawArrivals offers as much work as the batch part of the fleet can do. Every
// 40 minutes one entry comes in a wave of 10 minutes at twice the whole rate.
func drawArrivals(rng *rand.Rand, s shape) []arrival {
	capacity := float64(s.workers)*float64(s.capacity.MilliCPU) - serviceInstances*float64(s.serviceDemand.MilliCPU)
	meanCores := float64(1+s.maxTaskCores) / 2
	perSecond := capacity / 1000 / meanCores / meanTaskTime.Seconds()
	var arrivals []arrival
	waveEntry := 0
	for at := time.Duration(0); at < colocationLength; {
		inWave := at%(40*time.Minute) > 30*time.Minute
		rate := perSecond
		if inWave {
			rate *= 2
		} else {
			waveEntry = rng.IntN(batchEntries)
		}
		entry := rng.IntN(batchEntries)
		if inWave && rng.IntN(2) == 0 {
			entry = waveEntry
		}
		cores := int64(1 + rng.IntN(s.maxTaskCores))
		arrivals = append(arrivals, arrival{
			at: at, entry: entry,
			demand:   carobkeel.Resources{MilliCPU: cores * 1000, MemoryBytes: cores * 3 * gibibyte},
			duration: time.Minute + time.Duration(rng.ExpFloat64()*float64(meanTaskTime-time.Minute)),
		})
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
	return arrivals
}
