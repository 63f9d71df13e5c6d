package entry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/entry"
)

// The processes of the fault matrix: entries 0 and 1 are in one region, 2 and 3
// in another, and leaf 4 is linked to all of them. Entry 0 is the first to see
// the edit and the one that faults hit, entry 3 the one that joins or leaves.
const (
	witness      = 0
	peer         = 2
	mover        = 3
	faultRounds  = 6
	faultEntries = 4
	faultLeaves  = 1
)

// operations are what is under way when a fault comes. Each is followed by
// rounds in which all messages of the round before arrive.
var operations = map[string]func(w *world){
	"edit":  func(w *world) { w.accept(); w.poll(witness) },
	"join":  func(w *world) { w.crash(mover); w.accept(); w.poll(witness); w.start(mover) },
	"leave": func(w *world) { w.accept(); w.poll(mover); w.crash(mover) },
}

// fault begins at a step and is mended after some rounds.
type fault struct {
	begin func(w *world)
	mend  func(w *world)
}

func nothing(*world) {}

func partition(blocked bool) func(w *world) {
	return func(w *world) {
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3} {
				w.block(a, b, blocked)
			}
		}
	}
}

var faults = map[string]fault{
	"store down": {
		begin: func(w *world) { w.storeDown = true },
		mend:  func(w *world) { w.storeDown = false },
	},
	"store gone for good": {begin: func(w *world) { w.storeDown = true }, mend: nothing},
	"store slow": {
		begin: func(w *world) { w.slow = true },
		mend:  func(w *world) { w.slow = false; w.answerSlowReads() },
	},
	"answer lost after the effect": {
		// The edit is in force at the store, and who asked for it does not know.
		begin: func(w *world) { w.accept() },
		mend:  nothing,
	},
	"conflict": {
		// Another entry's edit comes first, and both entries read.
		begin: func(w *world) { w.accept(); w.poll(peer); w.accept(); w.poll(witness) },
		mend:  nothing,
	},
	"store set back": {
		begin: func(w *world) {
			if w.head > 0 && w.newest() == w.head {
				w.head--
			}
			w.poll(witness)
			w.poll(peer)
		},
		mend: func(w *world) { w.storeDown = true },
	},
	"partition":        {begin: partition(true), mend: partition(false)},
	"process killed":   {begin: func(w *world) { w.crash(witness) }, mend: func(w *world) { w.start(witness) }},
	"process restarts": {begin: func(w *world) { w.crash(witness); w.start(witness) }, mend: nothing},
	"process paused":   {begin: func(w *world) { w.processes[witness].paused = true }, mend: func(w *world) { w.resume(witness) }},
	"peer killed":      {begin: func(w *world) { w.crash(peer) }, mend: func(w *world) { w.start(peer) }},
	"peer paused":      {begin: func(w *world) { w.processes[peer].paused = true }, mend: func(w *world) { w.resume(peer) }},
	"messages lost":    {begin: func(w *world) { w.messages = nil }, mend: nothing},
	"messages twice": {
		begin: func(w *world) { w.messages = append(w.messages, w.messages...) },
		mend:  nothing,
	},
}

// round lets everything that is on the way arrive.
func (w *world) round() {
	for range len(w.messages) {
		w.deliver(0, false)
	}
}

// TestSpreadFaultMatrix brings every fault at every step of every operation,
// alone and together with a second one. The world observes that no process's
// revision falls and that no state is taken that was never accepted.
func TestSpreadFaultMatrix(t *testing.T) {
	for operation, begin := range operations {
		for first, one := range faults {
			for second, two := range faults {
				for step := range faultRounds {
					name := fmt.Sprintf("%s/%s and %s/step %d", operation, first, second, step)
					if violations := runFaults(begin, one, two, step); len(violations) > 0 {
						t.Errorf("%s: %v", name, violations)
					}
				}
			}
		}
	}
}

func runFaults(operation func(*world), one, two fault, step int) []string {
	w := newWorld(uint64(step), faultEntries, faultLeaves)
	for range 2 {
		w.pollAll()
		w.settleFor(2)
		w.accept()
	}
	w.pollAll()
	w.settleFor(2)
	operation(w)
	for range step {
		w.round()
	}
	one.begin(w)
	w.round()
	two.begin(w)
	for range faultRounds {
		w.round()
		w.tick(time.Second)
	}
	one.mend(w)
	w.round()
	two.mend(w)
	w.tick(time.Second)
	w.resumeAll()
	// What a live process saw, or the store where it can be read, must be in
	// force everywhere in the end.
	w.pollAll()
	newest := w.newest()
	if !w.storeDown {
		newest = max(newest, w.head)
	}
	w.settle()
	w.checkSettled(newest)
	return w.violations
}

func TestFaultMatrixWouldSeeAProcessThatFalls(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 1, 0)
	for range 2 {
		w.accept()
		w.poll(0)
	}
	old := w.history[1]
	w.observeInstall(0, entry.InstallAction{Catalogue: old, Stamp: entry.StampOf(old)})
	g.Expect(w.violations).To(ConsistOf(ContainSubstring("fell from revision 2 to 1")))
	w = newWorld(1, 2, 0)
	w.accept()
	w.poll(0)
	w.checkSettled(1)
	g.Expect(w.violations).To(ConsistOf(ContainSubstring("process 1 holds revision 0")))
}
