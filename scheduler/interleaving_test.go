package scheduler

import (
	"fmt"
	"strings"
	"testing"
)

// holdable lists what may be held back: each channel, and each scheduler with
// all that it has under way.
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

// holdsFrom lists when holds begin, in ticks; later ones have no time to matter.
var holdsFrom = []int{0, 1, 2}

// holds lists every hold of the search: for more than a shard lease, and for
// good.
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

// searchHolds runs every pair of holds from the given beginning.
func searchHolds(t *testing.T, from start, broken rules) (trace []string, runs int) {
	all := holds()
	for i := range all {
		for j := i + 1; j < len(all); j++ {
			runs++
			if trace = explore(t, from, broken, eager([]hold{all[i], all[j]})); trace != nil {
				return trace, runs
			}
		}
	}
	return nil, runs
}

// searchPriorities runs random priorities of the channels.
func searchPriorities(t *testing.T, broken rules, seeds uint64) (trace []string, runs int) {
	from := starts()
	for seed := range seeds {
		if trace = explore(t, from[seed%uint64(len(from))], broken, prioritized(seed)); trace != nil {
			return trace, int(seed) + 1
		}
	}
	return nil, int(seeds)
}

const prioritySeeds = 1_500

func TestNoPairOfHoldsRunsATaskTwice(t *testing.T) {
	for _, from := range starts() {
		t.Run(fmt.Sprintf("%d steps, cut %t", from.steps, from.cut), func(t *testing.T) {
			t.Parallel()
			trace, runs := searchHolds(t, from, rules{})
			if trace != nil {
				t.Fatalf("violation:\n%s", strings.Join(trace, "\n"))
			}
			t.Logf("%d pairs of holds", runs)
		})
	}
}

func TestNoRandomOrderRunsATaskTwice(t *testing.T) {
	trace, runs := searchPriorities(t, rules{}, prioritySeeds)
	if trace != nil {
		t.Fatalf("violation:\n%s", strings.Join(trace, "\n"))
	}
	t.Logf("%d random orders", runs)
}

func TestSearchFindsBrokenRules(t *testing.T) {
	for name, broken := range map[string]rules{
		"no wait for inherited grants":     {skipInheritedWait: true},
		"worker ignores the epoch":         {workerIgnoresEpoch: true},
		"lease counted from the answer":    {countFromAnswer: true},
		"writes not fenced":                {unfencedWrites: true},
		"start before the claim is stored": {startBeforeDurable: true},
		"release forgets earlier grants":   {releaseForgets: true},
		"grant longer than accounted":      {grantFromSending: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trace, runs := searchPriorities(t, broken, prioritySeeds)
			for _, from := range starts() {
				if trace == nil {
					var pairs int
					trace, pairs = searchHolds(t, from, broken)
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
