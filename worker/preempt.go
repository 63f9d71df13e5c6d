package worker

import (
	"sort"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// restartCost is the run time that an eviction costs in addition to the
	// work lost since the last checkpoint: stopping, moving the checkpoint and
	// starting again.
	restartCost = 30 * time.Second
	// acceleratorCores is the number of cores that one accelerator counts as.
	acceleratorCores = 16.0
	// taskBuffer is the number of tasks of a worker that can be compared
	// without a heap allocation.
	taskBuffer = 32
)

// EvictionCost returns the cost of evicting the task, in core-seconds. It grows
// with each earlier eviction of the task, so that the same task is not evicted
// repeatedly.
func EvictionCost(t *Task, now time.Time) float64 {
	lost := t.LostWork(now) + restartCost*time.Duration(1+t.Evictions)
	weight := float64(t.Reserved.MilliCPU)/1000 + acceleratorCores*float64(t.Reserved.Accelerators)
	return lost.Seconds() * max(weight, 0.1)
}

// Shed returns the preemptions that bring a worker whose capacity has shrunk back
// within it: claims first, then batch tasks, then services.
func Shed(w *Worker, now time.Time) []Preemption {
	deficit := shortfall(carobkeel.Resources{}, w.Claimable())
	if deficit.IsZero() {
		return nil
	}
	var chosen []evictionOption
	remaining := deficit
	for _, level := range [...]func(*Task) bool{isClaim, isRunningBatch, isRunningService} {
		more, covered := cover(remaining, eligible(w, level, now))
		chosen = append(chosen, more...)
		for _, o := range more {
			remaining = shortfall(remaining, o.task.Reserved)
		}
		if covered {
			break
		}
	}
	shed := make([]Preemption, 0, len(chosen))
	for _, o := range dropUnneeded(deficit, chosen) {
		shed = append(shed, Preemption{Task: o.task.ID, Worker: w.ID, Version: w.Version})
	}
	return shed
}

func eligible(w *Worker, accepts func(*Task) bool, now time.Time) []evictionOption {
	options := make([]evictionOption, 0, len(w.Tasks))
	for _, task := range w.Tasks {
		if accepts(task) {
			options = append(options, evictionOption{task: task, cost: EvictionCost(task, now)})
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

// evictionOption is a task that may be evicted, with its eviction cost.
type evictionOption struct {
	task *Task
	cost float64
}

// cover chooses options that together free at least the deficit. It adds options
// greedily by cost relative to their coverage of the deficit, and then drops
// those that are not needed, the most expensive first. A single option that is
// enough and cheaper is preferred. If all options together are not enough, it
// returns those that free part of the deficit, and false.
func cover(deficit carobkeel.Resources, options []evictionOption) ([]evictionOption, bool) {
	if deficit.IsZero() {
		return nil, true
	}
	var chosen []evictionOption
	var buffer [taskBuffer]evictionOption
	remaining, rest := deficit, append(buffer[:0], options...)
	for !remaining.IsZero() {
		i := cheapest(remaining, rest)
		if i < 0 {
			return chosen, false
		}
		chosen = append(chosen, rest[i])
		remaining = shortfall(remaining, rest[i].task.Reserved)
		rest[i] = rest[len(rest)-1]
		rest = rest[:len(rest)-1]
	}
	chosen = dropUnneeded(deficit, chosen)
	if single, ok := cheapestSingle(deficit, options); ok && single.cost < totalCost(chosen) {
		return []evictionOption{single}, true
	}
	return chosen, true
}

// cheapest returns the index of the option with the lowest cost relative to its
// coverage of the deficit, -1 if none frees any part of it.
func cheapest(deficit carobkeel.Resources, options []evictionOption) int {
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

func cheapestSingle(deficit carobkeel.Resources, options []evictionOption) (evictionOption, bool) {
	var best evictionOption
	found := false
	for _, o := range options {
		if deficit.FitsIn(o.task.Reserved) && (!found || o.cost < best.cost) {
			best, found = o, true
		}
	}
	return best, found
}

// dropUnneeded drops the options without which the others still free the
// deficit. It tries services first, then the most expensive options.
func dropUnneeded(deficit carobkeel.Resources, chosen []evictionOption) []evictionOption {
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

func totalCost(options []evictionOption) float64 {
	cost := 0.0
	for _, o := range options {
		cost += o.cost
	}
	return cost
}

// coverage returns the sum, over the three resources, of the share of the deficit
// that the amount frees, 0 to 3.
func coverage(amount, deficit carobkeel.Resources) float64 {
	return min(1, ratio(amount.MilliCPU, deficit.MilliCPU)) +
		min(1, ratio(amount.MemoryBytes, deficit.MemoryBytes)) +
		min(1, ratio(amount.Accelerators, deficit.Accelerators))
}

// shortfall returns, by resource, how much the demand exceeds the room, zero
// where it fits.
func shortfall(demand, room carobkeel.Resources) carobkeel.Resources {
	return maxParts(demand.Sub(room), carobkeel.Resources{})
}
