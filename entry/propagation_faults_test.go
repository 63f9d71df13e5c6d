package entry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/entry"
)

// The processes of the fault matrix: entries 0 and 1 are in one region, 2 and 3
// in another, and leaf 4 is linked to all of them. Entry 0 is the first to read
// the edit, and the process faults occur there or at entry 2. Entry 3 is the one
// that joins or leaves.
const (
	firstReader     = 0
	faultyPeer      = 2
	membershipEntry = 3
	faultRounds     = 6
	faultEntries    = 4
	faultLeaves     = 1
)

// operations are the operations during which a fault occurs. Each is followed by
// rounds in which all messages of the previous round arrive.
var operations = map[string]func(w *simulation){
	"edit": func(w *simulation) { w.accept(); w.poll(firstReader) },
	"join": func(w *simulation) {
		w.crash(membershipEntry)
		w.accept()
		w.poll(firstReader)
		w.start(membershipEntry)
	},
	"leave": func(w *simulation) { w.accept(); w.poll(membershipEntry); w.crash(membershipEntry) },
}

// fault begins at a step and is repaired after some rounds.
type fault struct {
	begin  func(w *simulation)
	repair func(w *simulation)
}

func noRepair(*simulation) {}

func partition(blocked bool) func(w *simulation) {
	return func(w *simulation) {
		for _, a := range []int{0, 1} {
			for _, b := range []int{2, 3} {
				w.block(a, b, blocked)
			}
		}
	}
}

var faults = map[string]fault{
	"store down": {
		begin:  func(w *simulation) { w.storeDown = true },
		repair: func(w *simulation) { w.storeDown = false },
	},
	"store gone for good": {begin: func(w *simulation) { w.storeDown = true }, repair: noRepair},
	"store slow": {
		begin:  func(w *simulation) { w.storeSlow = true },
		repair: func(w *simulation) { w.storeSlow = false; w.answerSlowReads() },
	},
	"answer lost after the effect": {
		// The table service accepted the edit, but its answer did not reach the
		// process that sent the edit.
		begin:  func(w *simulation) { w.accept() },
		repair: noRepair,
	},
	"conflict": {
		// Another entry's edit is accepted first, and both entries read it.
		begin:  func(w *simulation) { w.accept(); w.poll(faultyPeer); w.accept(); w.poll(firstReader) },
		repair: noRepair,
	},
	"store set back": {
		begin: func(w *simulation) {
			if w.head > 0 && w.newest() == w.head {
				w.head--
			}
			w.poll(firstReader)
			w.poll(faultyPeer)
		},
		repair: func(w *simulation) { w.storeDown = true },
	},
	"partition":        {begin: partition(true), repair: partition(false)},
	"process killed":   {begin: func(w *simulation) { w.crash(firstReader) }, repair: func(w *simulation) { w.start(firstReader) }},
	"process restarts": {begin: func(w *simulation) { w.crash(firstReader); w.start(firstReader) }, repair: noRepair},
	"process paused":   {begin: func(w *simulation) { w.processes[firstReader].paused = true }, repair: func(w *simulation) { w.resume(firstReader) }},
	"peer killed":      {begin: func(w *simulation) { w.crash(faultyPeer) }, repair: func(w *simulation) { w.start(faultyPeer) }},
	"peer paused":      {begin: func(w *simulation) { w.processes[faultyPeer].paused = true }, repair: func(w *simulation) { w.resume(faultyPeer) }},
	"messages lost":    {begin: func(w *simulation) { w.messages = nil }, repair: noRepair},
	"messages twice": {
		begin:  func(w *simulation) { w.messages = append(w.messages, w.messages...) },
		repair: noRepair,
	},
}

// round delivers all messages that are in transit.
func (w *simulation) round() {
	for range len(w.messages) {
		w.deliver(0, false)
	}
}

// TestPropagationFaultMatrix runs every operation with every fault, alone and
// together with a second one, at every step. The simulation checks that no
// process's revision decreases, that no process installs a state that was never
// accepted, and that all processes converge after the faults.
func TestPropagationFaultMatrix(t *testing.T) {
	for operation, run := range operations {
		for first, one := range faults {
			for second, two := range faults {
				for step := range faultRounds {
					name := fmt.Sprintf("%s/%s and %s/step %d", operation, first, second, step)
					if violations := runFaults(run, one, two, step); len(violations) > 0 {
						t.Errorf("%s: %v", name, violations)
					}
				}
			}
		}
	}
}

func runFaults(operation func(*simulation), one, two fault, step int) []string {
	w := newSimulation(uint64(step), faultEntries, faultLeaves)
	for range 2 {
		w.pollAll()
		w.convergeFor(2)
		w.accept()
	}
	w.pollAll()
	w.convergeFor(2)
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
	one.repair(w)
	w.round()
	two.repair(w)
	w.tick(time.Second)
	w.resumeAll()
	// In the end every process must hold the newest state of any running
	// process, or of the table service if it can be read.
	w.pollAll()
	newest := w.newest()
	if !w.storeDown {
		newest = max(newest, w.head)
	}
	w.converge()
	w.checkConverged(newest)
	return w.violations
}

func TestFaultMatrixDetectsARevisionThatDecreases(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(1, 1, 0)
	for range 2 {
		w.accept()
		w.poll(0)
	}
	old := w.history[1]
	w.observeInstall(0, entry.InstallAction{Catalogue: old, Stamp: entry.StampOf(old)})
	g.Expect(w.violations).To(ConsistOf(ContainSubstring("went back from revision 2 to 1")))
	w = newSimulation(1, 2, 0)
	w.accept()
	w.poll(0)
	w.checkConverged(1)
	g.Expect(w.violations).To(ConsistOf(ContainSubstring("process 1 holds revision 0")))
}
