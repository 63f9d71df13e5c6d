package entry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
)

// TestPropagationInterleavings searches random interleavings of accepted edits,
// reads of the table service, deliveries out of order, lost and repeated
// messages, partitions, crashes, restarts and pauses. The simulation records
// violations of the invariants.
func TestPropagationInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "entries"), rapid.IntRange(0, 2).Draw(t, "leaves"))
		process := rapid.IntRange(0, len(w.processes)-1)
		index := func() int { return rapid.IntRange(0, len(w.messages)-1).Draw(t, "message") }
		withMessage := func(act func()) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(w.messages) == 0 {
					t.Skip("no message")
				}
				act()
			}
		}
		deliver := withMessage(func() { w.deliver(index(), false) })
		t.Repeat(map[string]func(*rapid.T){
			"accept":       func(*rapid.T) { w.accept() },
			"poll":         func(t *rapid.T) { w.poll(process.Draw(t, "process")) },
			"deliver":      deliver,
			"deliver more": deliver,
			"duplicate":    withMessage(func() { w.deliver(index(), true) }),
			"lose":         withMessage(func() { w.drop(index()) }),
			"block": func(t *rapid.T) {
				w.block(process.Draw(t, "a"), process.Draw(t, "b"), rapid.Bool().Draw(t, "blocked"))
			},
			"crash":   func(t *rapid.T) { w.crash(process.Draw(t, "process")) },
			"restart": func(t *rapid.T) { w.start(process.Draw(t, "process")) },
			"pause":   func(t *rapid.T) { w.processes[process.Draw(t, "process")].paused = true },
			"resume":  func(t *rapid.T) { w.resume(process.Draw(t, "process")) },
			"store":   func(*rapid.T) { w.storeDown = !w.storeDown },
			"tick":    func(t *rapid.T) { w.tick(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"": func(t *rapid.T) {
				if len(w.violations) > 0 {
					t.Fatal(w.violations)
				}
			},
		})
		w.resumeAll()
		newest := w.newest()
		w.storeDown = true
		w.converge()
		w.checkConverged(newest)
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
	})
}

// TestPropagationAfterStoreLoss guards against an edit that does not reach every
// process: only one entry reads it before the table service becomes unavailable.
// It runs for each entry and with each single link blocked.
func TestPropagationAfterStoreLoss(t *testing.T) {
	for reader := range 3 {
		for a := range 4 {
			for b := a + 1; b < 4; b++ {
				g := NewWithT(t)
				w := newSimulation(1, 3, 1)
				w.converge()
				w.accept()
				w.poll(reader)
				w.storeDown = true
				w.block(a, b, true)
				for range 20 {
					for len(w.messages) > 0 {
						w.deliver(0, false)
					}
					w.tick(time.Second)
				}
				w.checkConverged(1)
				g.Expect(w.violations).To(BeEmpty(), "witness %d, no link between %d and %d", reader, a, b)
			}
		}
	}
}

func TestPropagationRejectsAnOlderStore(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(1, 2, 0)
	for range 5 {
		w.accept()
		w.poll(0)
	}
	w.converge()
	w.head = 2
	w.poll(0)
	w.poll(1)
	w.converge()
	w.checkConverged(5)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.processes[0].reports).To(ContainElement(entry.StoreBehindAction{Held: 5, Store: 2}))

	w.crash(1)
	w.start(1)
	w.poll(1)
	w.converge()
	g.Expect(w.processes[1].propagation.Stamp().Revision).To(Equal(carobkeel.Revision(5)), "after a restart the newer state of the peers wins")
	g.Expect(w.violations).To(BeEmpty())
}

func TestPropagationServesWithoutPeersOnlyAfterTheTimeout(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	config := entry.DefaultPropagationConfig()
	config.Peers, config.ReadsStore = 2, true
	s := entry.NewPropagation(config, rand.New(rand.NewPCG(1, 1)), now)
	s.Step(entry.TickEvent{}, now.Add(time.Hour))
	g.Expect(s.Serving()).To(BeFalse(), "a process without a catalogue does not serve")

	s = entry.NewPropagation(config, rand.New(rand.NewPCG(1, 1)), now)
	c := (&carobkeel.Catalogue{}).With(7, carobkeel.Entry{Name: "desk"})
	g.Expect(s.Step(entry.StoreCatalogueEvent{Catalogue: c}, now)).NotTo(ContainElement(BeAssignableToTypeOf(entry.ServeAction{})))
	g.Expect(s.Step(entry.TickEvent{}, now.Add(config.ServeTimeout))).To(ContainElement(entry.ServeAction{Confirmed: false}))
}

func TestPropagationReportsAConflictOnceAndKeepsItsState(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := entry.NewPropagation(entry.DefaultPropagationConfig(), rand.New(rand.NewPCG(1, 1)), now)
	installed := (&carobkeel.Catalogue{}).With(3, carobkeel.Entry{Name: "desk"})
	peerStamp := entry.StampOf((&carobkeel.Catalogue{}).With(3, carobkeel.Entry{Name: "gate"}))
	s.Step(entry.StoreCatalogueEvent{Catalogue: installed}, now)
	s.Step(entry.LinkUpEvent{Peer: "p"}, now)
	conflict := entry.ConflictAction{Peer: "p", Held: entry.StampOf(installed), Theirs: peerStamp}
	g.Expect(s.Step(entry.PeerStampEvent{Peer: "p", Stamp: peerStamp}, now)).To(ContainElement(conflict))
	g.Expect(s.Step(entry.PeerStampEvent{Peer: "p", Stamp: peerStamp}, now)).NotTo(ContainElement(conflict))
	g.Expect(s.Catalogue()).To(BeIdenticalTo(installed))
}

func TestPropagationRejectsASnapshotThatDoesNotMatchItsStamp(t *testing.T) {
	g := NewWithT(t)
	s := entry.NewPropagation(entry.DefaultPropagationConfig(), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0))
	c := (&carobkeel.Catalogue{}).With(3, carobkeel.Entry{Name: "desk"})
	s.Step(entry.SnapshotEvent{Peer: "p", Catalogue: c, Stamp: entry.Stamp{Revision: 3, Digest: 1}}, time.Unix(1000, 0))
	g.Expect(s.Catalogue()).To(BeNil())
}
