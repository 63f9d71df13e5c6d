package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/operator"
)

var stopStates = []operator.StopState{
	operator.StopPlanned, operator.StopDraining, operator.StopDrained, operator.StopCancelled,
}

func stopAt(id operator.StopID, state operator.StopState, changed time.Time) operator.Stop {
	return operator.Stop{ID: id, State: state, ChangedAt: changed, Target: operator.StopTarget{Host: string(id)}}
}

// Updates of stops may arrive in any order, more than once and through several
// entries. All entries must end with the same states, and no stop may return to
// an earlier state.
func TestStopsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100_000, 0)
		var updates []operator.Stop
		for _, id := range []operator.StopID{"a", "b"} {
			for _, state := range stopStates[:rapid.IntRange(1, 4).Draw(t, "states")] {
				updates = append(updates, stopAt(id, state, now))
			}
		}
		ordered, permuted := entry.NewStopSet(), entry.NewStopSet()
		ordered.Merge(updates, now)
		for _, update := range rapid.Permutation(append(updates, updates...)).Draw(t, "order") {
			before := permuted.Stops()
			if changed := permuted.Merge([]operator.Stop{update}, now); !changed && !sameStops(before, permuted.Stops()) {
				t.Fatal("the stops changed, but Merge reported no change")
			}
		}
		if !sameStops(ordered.Stops(), permuted.Stops()) {
			t.Fatalf("the stops depend on the order of the updates: %v and %v", ordered.Stops(), permuted.Stops())
		}
		if permuted.Merge(ordered.Stops(), now) {
			t.Fatal("Merge reported a change for known stops")
		}
	})
}

func sameStops(a, b []operator.Stop) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func TestDelayedUpdateDoesNotRestoreAStop(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100_000, 0)
	b := entry.NewStopSet()
	b.Merge([]operator.Stop{stopAt("a", operator.StopDraining, now)}, now)
	g.Expect(b.Draining()).To(Equal([]operator.StopTarget{{Host: "a"}}))
	b.Merge([]operator.Stop{stopAt("a", operator.StopCancelled, now)}, now)
	g.Expect(b.Merge([]operator.Stop{stopAt("a", operator.StopDrained, now)}, now)).To(BeFalse())
	g.Expect(b.Draining()).To(BeEmpty())
	b.Expire(now.Add(entry.StopRetention))
	g.Expect(b.Stops()).To(BeEmpty(), "a stop is removed when its retention has ended")
}
