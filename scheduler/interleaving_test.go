package scheduler

import (
	"fmt"
	"strings"
	"testing"
)

// holdable lists the sets of channels that a hold blocks: single channels, pairs
// of related ones, and each scheduler with all its messages.
var holdable = [][]channel{
	{channelScheduler, channelLease, channelAnswer, channelLink, channelLink + 1},
	{channelScheduler + 1, channelLease + 1, channelAnswer + 1, channelLink + 2, channelLink + 3},
	{channelLease},
	{channelStore},
	{channelStore, channelStore + 1},
	{channelAnswer},
	{channelLink},
	{channelLink + 3},
	{channelDelivery},
	{channelDelivery + 2},
}

// holdsFrom lists the ticks at which holds begin. Later ones would not leave
// enough time to have an effect.
var holdsFrom = []int{0, 1, 2}

// holds returns every hold of the search. A hold lasts either longer than a shard
// lease, or past the end of the search.
func holds() []hold {
	var all []hold
	for _, channels := range holdable {
		for _, from := range holdsFrom {
			for _, length := range []int{3, explorerHorizon} {
				all = append(all, hold{channels, from, from + length})
			}
		}
	}
	return all
}

// searchHolds explores every pair of holds from the given start state.
func searchHolds(t *testing.T, from startState, mutant mutation) (trace []string, runs int) {
	all := holds()
	for i := range all {
		for j := i + 1; j < len(all); j++ {
			runs++
			if trace = explore(t, from, mutant, eager([]hold{all[i], all[j]})); trace != nil {
				return trace, runs
			}
		}
	}
	return nil, runs
}

// searchPriorities explores one random order of the channels for each seed.
func searchPriorities(t *testing.T, mutant mutation, seeds uint64) (trace []string, runs int) {
	from := startStates()
	for seed := range seeds {
		if trace = explore(t, from[seed%uint64(len(from))], mutant, prioritized(seed)); trace != nil {
			return trace, int(seed) + 1
		}
	}
	return nil, int(seeds)
}

const prioritySeeds = 1_500

func TestNoPairOfHoldsRunsATaskTwice(t *testing.T) {
	for _, from := range startStates() {
		t.Run(fmt.Sprintf("%d steps, cut %t", from.steps, from.partitioned), func(t *testing.T) {
			t.Parallel()
			trace, runs := searchHolds(t, from, mutation{})
			if trace != nil {
				t.Fatalf("violation:\n%s", strings.Join(trace, "\n"))
			}
			t.Logf("%d pairs of holds", runs)
		})
	}
}

func TestNoRandomOrderRunsATaskTwice(t *testing.T) {
	trace, runs := searchPriorities(t, mutation{}, prioritySeeds)
	if trace != nil {
		t.Fatalf("violation:\n%s", strings.Join(trace, "\n"))
	}
	t.Logf("%d random orders", runs)
}

func TestSearchFindsBrokenRules(t *testing.T) {
	for name, mutant := range map[string]mutation{
		"no wait for inherited grants":     {skipInheritedWait: true},
		"worker ignores the epoch":         {workerIgnoresEpoch: true},
		"lease counted from the answer":    {countFromAnswer: true},
		"writes not fenced":                {unfencedWrites: true},
		"start before the claim is stored": {startBeforeDurable: true},
		"release forgets earlier grants":   {releaseForgetsGrants: true},
		"grant longer than accounted":      {grantTooLong: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trace, runs := searchPriorities(t, mutant, prioritySeeds)
			for _, from := range startStates() {
				if trace == nil {
					var pairs int
					trace, pairs = searchHolds(t, from, mutant)
					runs += pairs
				}
			}
			if trace == nil {
				t.Fatalf("no violation in %d runs", runs)
			}
			t.Logf("found by run %d in %d steps", runs, len(trace))
		})
	}
}
