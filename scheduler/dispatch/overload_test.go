package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

const (
	overloadWorkers  = 4
	overloadCapacity = 8000
	overloadDuration = 20 * time.Second
)

// offerOverload submits jobs of two steps with twice the work that the shard can do,
// for overloadDuration. It returns the time by which each should be complete, and its
// work in core-seconds.
func (sim *simulation) offerOverload(random *rand.Rand, bestEffort bool) (due map[carobkeel.JobID]time.Duration, work map[carobkeel.JobID]float64) {
	due, work = make(map[carobkeel.JobID]time.Duration), make(map[carobkeel.JobID]float64)
	queue := testQueue(2, 3)
	queue.SlowdownFactor, queue.Objective = 2, time.Second
	offered := 0.0
	for start, n := sim.now, 0; sim.now < start+overloadDuration; sim.step() {
		for offered < 2*overloadWorkers*overloadCapacity/1000*(sim.now-start).Seconds() {
			n++
			first := step(4+random.IntN(21), 1000)
			first.BestEffort, first.Image = bestEffort, "batch"
			second := first
			second.After = []int{0}
			id := sim.submit(n, 2, first, second)
			sim.store.specs[id].Queue = queue
			due[id] = sim.now + 2*2*time.Second + queue.Objective
			work[id] = float64(2 * first.Count)
			offered += work[id]
		}
	}
	return due, work
}

func TestHalfOfTheCapacityServesJobsInTimeUnderTwiceTheLoad(t *testing.T) {
	for name, bestEffort := range map[string]bool{"reserved": false, "best effort": true} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				g := NewWithT(t)
				sim := startedSimulation(overloadCapacity, overloadCapacity, overloadCapacity, overloadCapacity)
				sim.done = make(map[carobkeel.JobID]time.Duration)
				due, work := sim.offerOverload(rand.New(rand.NewPCG(seed, 0)), bestEffort)
				sim.run(5 * time.Second)
				inTime := 0.0
				for id, at := range sim.done {
					if at <= due[id] {
						inTime += work[id]
					}
				}
				capacity := overloadWorkers * overloadCapacity / 1000 * overloadDuration.Seconds()
				g.Expect(inTime/capacity).To(BeNumerically(">=", 0.5), "seed %d", seed)
			}
		})
	}
}

// Jobs that are too late come last, but are not given up.
func TestAllJobsEndAfterAnOverload(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(overloadCapacity, overloadCapacity, overloadCapacity, overloadCapacity)
	sim.done = make(map[carobkeel.JobID]time.Duration)
	due, _ := sim.offerOverload(rand.New(rand.NewPCG(1, 0)), false)
	sim.run(2 * overloadDuration)
	g.Expect(sim.done).To(HaveLen(len(due)))
	g.Expect(sim.record.Violations).To(BeEmpty())
}
