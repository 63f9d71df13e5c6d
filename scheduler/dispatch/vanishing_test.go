package dispatch_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"
)

// allVanishing selects all rows with up to so many things that vanish. Without it, each of them is
// played alone, and one pair in a few.
var allVanishing = flag.Int("all-vanishing", 0, "play all rows with up to this many things that vanish")

// pairStride is how many pairs there are for each one that is played without the flag. It has no
// common divisor with the number of things that vanish at a point.
const pairStride = 41

// ordinaryWaitBound and longestWaitBound are how long a task may wait for its next start after its
// host is lost, by the lease that is counted.
const (
	ordinaryWaitBound = testLease + time.Second
	longestWaitBound  = vanishingMaxLease + 1500*time.Millisecond
)

// vanishingGroup is a part of the table: all rows with the same beginning.
type vanishingGroup struct {
	history vanishingHistory
	lost    lostCall
}

func (g vanishingGroup) String() string {
	return vanishingHistoryNames[g.history] + ", " + lostCallNames[g.lost]
}

// vanishingGroups returns all groups.
func vanishingGroups() []vanishingGroup {
	var groups []vanishingGroup
	for history := range vanishingHistory(len(vanishingHistoryNames)) {
		for lost := range lostCall(len(lostCallNames)) {
			if g := (vanishingGroup{history, lost}); g.canBe() {
				groups = append(groups, g)
			}
		}
	}
	return groups
}

// canBe reports whether the call can be lost after the history. Nothing is started on a worker that
// isn't recorded, and a start that is late has had no answer.
func (g vanishingGroup) canBe() bool {
	switch {
	case g.history == unrecordedLateStart:
		return g.lost == lostListing
	case g.history >= unrecordedWorker:
		return g.lost == noLostCall || g.lost == lostListing
	}
	return true
}

// rows returns the rows of the group with up to a number of things that vanish, each at each
// point, in each order.
func (g vanishingGroup) rows(events int) []vanishingRow {
	rows := []vanishingRow{{history: g.history, lost: g.lost}}
	longest := rows
	for range events {
		longest = withOneMore(longest)
		rows = append(rows, longest...)
	}
	return rows
}

// withOneMore returns the rows with one more thing that vanishes.
func withOneMore(rows []vanishingRow) []vanishingRow {
	var longer []vanishingRow
	for _, row := range rows {
		first := afterLoss
		if n := len(row.events); n > 0 {
			first = row.events[n-1].at
		}
		for at := first; at < vanishingPoints; at++ {
			for i := range vanishings {
				next := row
				next.events = append(slices.Clone(row.events), vanishingEvent{&vanishings[i], at})
				longer = append(longer, next)
			}
		}
	}
	return longer
}

// played returns the rows of the group that are played, most of them with both ends.
func (g vanishingGroup) played() []vanishingRow {
	if *allVanishing > 0 {
		return withBothEnds(g.rows(*allVanishing))
	}
	var played []vanishingRow
	for i, row := range withBothEnds(g.rows(2)) {
		if len(row.events) < 2 || i%pairStride == g.offset() {
			played = append(played, row)
		}
	}
	return played
}

// offset returns the first of the pairs that are played, another one in each group.
func (g vanishingGroup) offset() int {
	return (int(g.history)*len(lostCallNames) + int(g.lost)) % pairStride
}

func withBothEnds(rows []vanishingRow) []vanishingRow {
	var both []vanishingRow
	for _, row := range rows {
		hangs := row
		hangs.hangs = true
		both = append(both, row, hangs)
	}
	return both
}

// bound returns how long the task may wait in a row with a result. Where all calls were answered by
// the incarnation that they were sent to, and whoever sent them is there to say so, it is the
// ordinary lease.
func (r vanishingRow) bound(result vanishingResult) time.Duration {
	sidecarsGo := r.has(func(v *vanishing) bool { return v.endsSidecar })
	holdersGo := r.has(func(v *vanishing) bool { return v.endsHolder })
	if r.lost == noLostCall && !result.goesAstray && !sidecarsGo && (r.history == recordedWorker || !holdersGo) {
		return ordinaryWaitBound
	}
	return longestWaitBound
}

// fault returns what is wrong with the result of a row, empty for nothing.
func (r vanishingRow) fault(result vanishingResult) string {
	switch {
	case len(result.violations) > 0:
		return result.violations[0]
	case result.wait > r.bound(result):
		return fmt.Sprintf("the task waited %v, with a bound of %v", result.wait, r.bound(result))
	}
	return ""
}

// vanishingCount counts the rows of a group.
type vanishingCount struct {
	rows, lost, lateLeases int
	// knowers counts the rows with a longer lease by who knew it.
	knowers map[string]int
	// faults holds the rows with a fault.
	faults []string
}

// playGroup plays rows, until the first fault if only that is asked for.
func playGroup(rows []vanishingRow, broken brokenKnowledge, onlyFirst bool) vanishingCount {
	count := vanishingCount{knowers: make(map[string]int)}
	for _, row := range rows {
		result := playVanishing(row, broken)
		count.rows++
		if result.hasLost {
			count.lost++
		}
		if result.lateLease {
			count.lateLeases++
			count.knowers[result.knownBy()]++
		}
		if fault := row.fault(result); fault != "" {
			count.faults = append(count.faults, fmt.Sprintf("%v [known by: %s]: %s", row, result.knownBy(), fault))
			if onlyFirst {
				break
			}
		}
	}
	return count
}

// Guards against TWICE: a lease that a late call had lengthened was known to nobody any more once the
// processes that knew it had vanished.
func TestTasksRunOnceWhoeverVanishesBetweenALostCallAndTheCut(t *testing.T) {
	groups := vanishingGroups()
	var mu sync.Mutex
	knowers := make(map[string]int)
	// Records alone suffice too, without the sidecars' own stops.
	for name, broken := range map[string]brokenKnowledge{"rows": {}, "rows without stops by sidecars": {noStops: true}} {
		t.Run(name, func(t *testing.T) {
			for _, g := range groups {
				t.Run(g.String(), func(t *testing.T) {
					t.Parallel()
					count := playGroup(g.played(), broken, false)
					t.Logf("%d rows, %d with a lost call, %d with a longer lease, known by %v", count.rows, count.lost, count.lateLeases, count.knowers)
					for _, fault := range count.faults {
						t.Error(fault)
					}
					g.check(t, count)
					mu.Lock()
					defer mu.Unlock()
					for knower, n := range count.knowers {
						knowers[knower] += n
					}
				})
			}
		})
	}
	for _, knower := range slices.Sorted(maps.Keys(knowers)) {
		t.Logf("%s: %d rows", knower, knowers[knower])
	}
}

// check checks that the rows of the group play what they are meant to.
func (g vanishingGroup) check(t *testing.T, count vanishingCount) {
	losesNone := g.lost == noLostCall || g.history == unrecordedWorker || g.history == unrecordedNextWorker
	switch {
	case losesNone && count.lost > 0:
		t.Errorf("%d rows have a call to lose, of a worker that is not recorded", count.lost)
	case !losesNone && count.lateLeases < count.rows/2:
		t.Errorf("only %d of %d rows have a longer lease", count.lateLeases, count.rows)
	}
}

// TestTableOfWhoVanishesHasTeeth checks that rows fail once any knowledge of late calls is withheld. Where
// the sidecars' own stops make up for it, they are withheld too.
func TestTableOfWhoVanishesHasTeeth(t *testing.T) {
	for _, c := range []struct {
		name    string
		history vanishingHistory
		broken  brokenKnowledge
	}{
		{"records of ended workers are withheld from the next holder", recordedWorker, brokenKnowledge{noEnded: true, noStops: true}},
		{"records are removed when a worker has ended", recordedWorker, brokenKnowledge{shortEnded: true, noStops: true}},
		{"marks of late leases are withheld from the next holder", recordedWorker, brokenKnowledge{noLateMarks: true}},
		{"records of workers are withheld from the next holder", recordedWorker, brokenKnowledge{noRecords: true}},
		{"the sidecar speaks for the processes before it", recordedWorker, brokenKnowledge{noAge: true}},
		{"the sidecar forgets its calls", recordedWorker, brokenKnowledge{noCalls: true}},
		{"the lease of a call ends with its age", recordedWorker, brokenKnowledge{shortCalls: true}},
		{"a suspended host's calls grow old", recordedWorker, brokenKnowledge{suspendedCounts: true}},
		{"the lease is extended of workers without runs", unrecordedWorker, brokenKnowledge{idleLeases: true, noStops: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			count := playGroup(vanishingGroup{c.history, lostListing}.rows(2), c.broken, true)
			if len(count.faults) == 0 {
				t.Fatalf("no fault in %d rows", count.rows)
			}
			t.Log(count.faults[0])
		})
	}
}
