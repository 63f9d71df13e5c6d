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

// The states of stops may come in any order, more than once and over several
// entries: all end with the same, and none goes back.
func TestStopBoardsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100_000, 0)
		var words []operator.Stop
		for _, id := range []operator.StopID{"a", "b"} {
			for _, state := range stopStates[:rapid.IntRange(1, 4).Draw(t, "states")] {
				words = append(words, stopAt(id, state, now))
			}
		}
		one, two := entry.NewStopBoard(), entry.NewStopBoard()
		one.Merge(words, now)
		for _, word := range rapid.Permutation(append(words, words...)).Draw(t, "order") {
			before := two.Stops()
			if news := two.Merge([]operator.Stop{word}, now); !news && !sameStops(before, two.Stops()) {
				t.Fatal("changed without news")
			}
		}
		if !sameStops(one.Stops(), two.Stops()) {
			t.Fatalf("%v and %v", one.Stops(), two.Stops())
		}
		if two.Merge(one.Stops(), now) {
			t.Fatal("what is known is not news")
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

func TestLateWordDoesNotBringBackAStop(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100_000, 0)
	b := entry.NewStopBoard()
	b.Merge([]operator.Stop{stopAt("a", operator.StopDraining, now)}, now)
	g.Expect(b.Draining()).To(Equal([]operator.StopTarget{{Host: "a"}}))
	b.Merge([]operator.Stop{stopAt("a", operator.StopCancelled, now)}, now)
	g.Expect(b.Merge([]operator.Stop{stopAt("a", operator.StopDrained, now)}, now)).To(BeFalse())
	g.Expect(b.Draining()).To(BeEmpty())
	b.Expire(now.Add(entry.StopRetention))
	g.Expect(b.Stops()).To(BeEmpty(), "what ended long ago is forgotten")
}
