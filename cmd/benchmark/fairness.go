package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// fairnessRounds is the number of choices that one size is measured with.
const fairnessRounds = 100_000

// fairnessFigures measures what one choice of the next owner and the charge for
// it take, by number of owners.
func fairnessFigures(o options) []figure {
	var figures []figure
	for _, owners := range []int{30, 300, 3_000} {
		name := fmt.Sprintf("next-owner-%d-owners", owners)
		figures = append(figures, measured(name, nextOwnerCost(o, owners), "us"))
	}
	return figures
}

func nextOwnerCost(o options, owners int) float64 {
	rng := rand.New(rand.NewPCG(o.seed, uint64(owners)))
	ledger := worker.NewFairness(carobkeel.Resources{MilliCPU: 1 << 40, MemoryBytes: 1 << 50})
	for i := range owners {
		owner := carobkeel.Owner(fmt.Sprintf("owner-%d", i))
		ledger.SetQuota(carobkeel.Quota{
			Owner: owner, Weight: 1 + rng.Float64(), Guaranteed: carobkeel.Resources{MilliCPU: 1 << 20, MemoryBytes: 1 << 40},
		})
		ledger.SetWaiting(owner, true)
	}
	start := time.Now()
	for range fairnessRounds {
		owner, _ := ledger.Next()
		ledger.Charge(owner, carobkeel.Resources{MilliCPU: 1 + rng.Int64N(8_000), MemoryBytes: gibibyte})
	}
	return float64(time.Since(start).Nanoseconds()) / 1e3 / fairnessRounds
}
