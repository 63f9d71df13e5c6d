package worker

import (
	"sort"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// restartCost is the work that an eviction costs beside what is lost since
	// the last checkpoint: stopping, moving the checkpoint, starting again.
	restartCost = 30 * time.Second
	// acceleratorCores is the number of cores that one accelerator counts as.
	acceleratorCores = 16.0
	// taskBuffer is the number of a worker's tasks that are weighed without an
	// allocation.
	taskBuffer = 32
)

// EvictionCost returns what evicting the task throws away, in core-seconds. It
// grows with each eviction that the task has had, so that one task is not
// evicted over and over.
func EvictionCost(t *Task, now time.Time) float64 {
	lost := t.LostWork(now) + restartCost*time.Duration(1+t.Evictions)
	weight := float64(t.Reserved.MilliCPU)/1000 + acceleratorCores*float64(t.Reserved.Accelerators)
	return lost.Seconds() * max(weight, 0.1)
}

// Shed returns what a worker that has shrunk below what it holds has to give
// up: claims first, then batch tasks, then services.
func Shed(w *Worker, now time.Time) []Preemption {
	deficit := shortfall(carobkeel.Resources{}, w.Claimable())
	if deficit.IsZero() {
		return nil
	}
	var chosen []option
	left := deficit
	for _, level := range [...]func(*Task) bool{isClaim, isRunningBatch, isRunningService} {
		more, covered := cover(left, eligible(w, level, now))
		chosen = append(chosen, more...)
		for _, o := range more {
			left = shortfall(left, o.task.Reserved)
		}
		if covered {
			break
		}
	}
	shed := make([]Preemption, 0, len(chosen))
	for _, o := range spare(deficit, chosen) {
		shed = append(shed, Preemption{Task: o.task.ID, Worker: w.ID, Version: w.Version})
	}
	return shed
}

func eligible(w *Worker, accepts func(*Task) bool, now time.Time) []option {
	options := make([]option, 0, len(w.Tasks))
	for _, task := range w.Tasks {
		if accepts(task) {
			options = append(options, option{task: task, cost: EvictionCost(task, now)})
		}
	}
	return options
}

func isClaim(t *Task) bool { return t.Phase == PhaseClaimed }

func isRunningBatch(t *Task) bool {
	return t.Phase == PhaseRunning && t.Class == carobkeel.ClassBatch
}

func isRunningService(t *Task) bool {
	return t.Phase == PhaseRunning && t.Class == carobkeel.ClassLatencyCritical
}

// option is a task that may be chosen, at a cost.
type option struct {
	task *Task
	cost float64
}

// cover chooses options that together free at least the deficit, greedily by
// cost for each part of the deficit that they free, and then spares each one
// that is not needed, the most expensive first. One option that is enough by
// itself and cheaper wins. Where all of them are not enough, it returns those
// that help and false.
func cover(deficit carobkeel.Resources, options []option) ([]option, bool) {
	if deficit.IsZero() {
		return nil, true
	}
	var chosen []option
	var buffer [taskBuffer]option
	left, rest := deficit, append(buffer[:0], options...)
	for !left.IsZero() {
		i := cheapest(left, rest)
		if i < 0 {
			return chosen, false
		}
		chosen = append(chosen, rest[i])
		left = shortfall(left, rest[i].task.Reserved)
		rest[i] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
	}
	chosen = spare(deficit, chosen)
	if single, ok := cheapestSingle(deficit, options); ok && single.cost < totalCost(chosen) {
		return []option{single}, true
	}
	return chosen, true
}

// cheapest returns the index of the option with the least cost for what it
// frees of the deficit, -1 where none helps.
func cheapest(deficit carobkeel.Resources, options []option) int {
	best, bestPrice := -1, 0.0
	for i := range options {
		gain := coverage(options[i].task.Reserved, deficit)
		if gain == 0 {
			continue
		}
		if price := options[i].cost / gain; best < 0 || price < bestPrice {
			best, bestPrice = i, price
		}
	}
	return best
}

func cheapestSingle(deficit carobkeel.Resources, options []option) (option, bool) {
	var best option
	found := false
	for _, o := range options {
		if deficit.FitsIn(o.task.Reserved) && (!found || o.cost < best.cost) {
			best, found = o, true
		}
	}
	return best, found
}

// spare drops the options that the others make unnecessary, services first and
// then by cost.
func spare(deficit carobkeel.Resources, chosen []option) []option {
	sort.SliceStable(chosen, func(i, j int) bool {
		a, b := chosen[i], chosen[j]
		if a.task.Class != b.task.Class {
			return a.task.Class == carobkeel.ClassLatencyCritical
		}
		return a.cost > b.cost
	})
	var freed carobkeel.Resources
	for _, o := range chosen {
		freed = freed.Add(o.task.Reserved)
	}
	kept := chosen[:0]
	for _, o := range chosen {
		if without := freed.Sub(o.task.Reserved); deficit.FitsIn(without) {
			freed = without
			continue
		}
		kept = append(kept, o)
	}
	return kept
}

func totalCost(options []option) float64 {
	cost := 0.0
	for _, o := range options {
		cost += o.cost
	}
	return cost
}

// coverage returns how many parts of the deficit the amount frees, 0 to 3.
func coverage(amount, deficit carobkeel.Resources) float64 {
	return min(1, ratio(amount.MilliCPU, deficit.MilliCPU)) +
		min(1, ratio(amount.MemoryBytes, deficit.MemoryBytes)) +
		min(1, ratio(amount.Accelerators, deficit.Accelerators))
}

// shortfall returns the parts of the demand that exceed the room, zero for the
// others.
func shortfall(demand, room carobkeel.Resources) carobkeel.Resources {
	return maxParts(demand.Sub(room), carobkeel.Resources{})
}
