package table_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/table"
)

// Bounds of the search. Each is the maximum number of occurrences in one path.
const (
	maxCalls            = 5
	maxDelayed          = 2
	maxConcurrentWrites = 3
	maxRepeats          = 1
)

// idUse is the transaction under which the service recorded an id.
type idUse uint8

const (
	unused idUse = iota
	byTransaction
	byFence
)

// modelState is one state of the service, the network, the other writer and
// the client.
type modelState struct {
	// row is the version of the row, or zero if it is absent.
	row, lastVersion uint8
	condition        int8 // the required version; -1 for none
	id               idUse
	fenceRow         bool
	effects          uint8
	// Delayed requests are still in the network; no client waits for them.
	delayedCommits, delayedFences, delayedTotal uint8
	concurrentWrites, calls, repeats            uint8
	client                                      table.Settlement
	action                                      table.SettlementAction
	crashed                                     bool
}

// transition is the settlement under test.
type transition func(table.Settlement, table.SettlementEvent) (table.Settlement, table.SettlementAction)

// explorer visits every state that the bounds allow.
type explorer struct {
	next transition
	// restartsOnRepeat starts a repeat after ReportUnsettled from the initial
	// state.
	restartsOnRepeat bool
	seen             map[modelState]bool
	reports          map[table.SettlementAction]int
	violations       []modelState
}

func explore(next transition, condition int8) *explorer {
	return newExplorer(next).run(condition)
}

func newExplorer(next transition) *explorer {
	return &explorer{next: next, seen: make(map[modelState]bool), reports: make(map[table.SettlementAction]int)}
}

func (e *explorer) run(condition int8) *explorer {
	for _, row := range []uint8{0, 1} {
		e.visit(modelState{row: row, lastVersion: 1, condition: condition})
	}
	return e
}

func (e *explorer) visit(w modelState) {
	if e.seen[w] {
		return
	}
	e.seen[w] = true
	if !w.isConsistent() {
		e.violations = append(e.violations, w)
		return
	}
	e.deliverDelayed(w)
	e.writeConcurrently(w)
	e.step(w)
}

// isConsistent checks the invariant: at most one effect, and a reported result
// holds in this state and in all later ones.
func (w modelState) isConsistent() bool {
	if w.crashed || !w.action.IsReport() {
		return w.effects <= 1
	}
	switch w.action {
	case table.ReportApplied:
		return w.effects == 1
	case table.ReportUnsettled:
		return w.effects <= 1
	}
	return w.effects == 0
}

// receiveCommit models the service, which applies an id once. A transaction whose
// id has been used before is answered as applied.
func (w modelState) receiveCommit() (modelState, table.SettlementEvent) {
	if w.id != unused {
		return w, table.CommitApplied
	}
	if w.condition >= 0 && uint8(w.condition) != w.row {
		if w.condition > 0 {
			return w, table.CommitRefusedPermanently
		}
		return w, table.CommitRefused
	}
	w.id = byTransaction
	w.effects++
	w.lastVersion++
	w.row = w.lastVersion
	return w, table.CommitApplied
}

func (w modelState) receiveFence() modelState {
	if w.id == unused {
		w.id = byFence
		w.fenceRow = true
	}
	return w
}

// deliverDelayed models the network, which delivers a delayed request once or
// several times, or drops it.
func (e *explorer) deliverDelayed(w modelState) {
	if w.delayedCommits > 0 {
		delivered, _ := w.receiveCommit()
		e.visit(delivered) // a duplicate remains in the network
		delivered.delayedCommits--
		e.visit(delivered)
	}
	if w.delayedFences > 0 {
		delivered := w.receiveFence()
		delivered.delayedFences--
		e.visit(delivered)
	}
}

// writeConcurrently models another writer, which deletes, creates or changes
// the row.
func (e *explorer) writeConcurrently(w modelState) {
	if w.concurrentWrites == maxConcurrentWrites {
		return
	}
	w.concurrentWrites++
	written := w
	written.lastVersion++
	written.row = written.lastVersion
	e.visit(written)
	if w.row != 0 {
		w.row = 0
		e.visit(w)
	}
}

// step lets the client take its next action, crash, or reach its deadline.
func (e *explorer) step(w modelState) {
	if w.crashed {
		return
	}
	if w.action.IsReport() {
		e.reports[w.action]++
		e.repeat(w)
		return
	}
	crashed := w
	crashed.crashed = true
	e.visit(crashed)
	e.advance(w, table.DeadlinePassed)
	if w.calls == maxCalls {
		return
	}
	w.calls++
	switch w.action {
	case table.SendCommit:
		e.sendCommit(w)
	case table.SendFence:
		e.sendFence(w)
	case table.ReadFenceRow:
		e.advance(w, table.ReadFailed)
		if w.fenceRow {
			e.advance(w, table.FenceRowFound)
		} else {
			e.advance(w, table.FenceRowAbsent)
		}
	}
}

func (e *explorer) sendCommit(w modelState) {
	e.advance(w, table.CommitNotSent)
	e.advance(w, table.CommitLost) // the request is lost
	received, answer := w.receiveCommit()
	e.advance(received, answer)
	e.advance(received, table.CommitLost) // the answer is lost
	if w.delayedTotal < maxDelayed {
		w.delayedTotal++
		w.delayedCommits++
		e.advance(w, table.CommitLost) // the request is delayed
	}
}

func (e *explorer) sendFence(w modelState) {
	e.advance(w, table.FenceFailed)
	e.advance(w.receiveFence(), table.FenceApplied)
	e.advance(w.receiveFence(), table.FenceFailed)
	if w.delayedTotal < maxDelayed {
		w.delayedTotal++
		w.delayedFences++
		e.advance(w, table.FenceFailed)
	}
}

// repeat lets the caller send an unsettled transaction again with its id.
func (e *explorer) repeat(w modelState) {
	if w.action != table.ReportUnsettled || w.repeats == maxRepeats {
		return
	}
	w.repeats++
	w.calls = 0
	if e.restartsOnRepeat {
		w.client = table.Settlement{}
	}
	w.action = w.client.Start()
	e.visit(w)
}

func (e *explorer) advance(w modelState, event table.SettlementEvent) {
	w.client, w.action = e.next(w.client, event)
	e.visit(w)
}

// conditions holds the required version of the row; -1 means no condition.
var conditions = map[string]int8{"none": -1, "absent": 0, "version": 1}

func TestSettlementIsTrueInEveryInterleaving(t *testing.T) {
	for name, condition := range conditions {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := explore(table.Settlement.Next, condition)
			t.Logf("%d states, reports %v", len(e.seen), e.reports)
			g.Expect(e.violations).To(HaveLen(0))
			g.Expect(e.reports).To(HaveKey(table.ReportApplied))
			g.Expect(e.reports).To(HaveKey(table.ReportUnsettled))
			if condition == 0 {
				g.Expect(e.reports).To(HaveKey(table.ReportFenced))
			}
		})
	}
}

// withoutFence is faulty: it reports a refusal after a lost answer as final.
func withoutFence(s table.Settlement, event table.SettlementEvent) (table.Settlement, table.SettlementAction) {
	if event == table.CommitRefused {
		return s, table.ReportRefused
	}
	return s.Next(event)
}

// treatLostAsNotSent is faulty: it reports a transaction without an answer as not
// sent.
func treatLostAsNotSent(s table.Settlement, event table.SettlementEvent) (table.Settlement, table.SettlementAction) {
	if event == table.CommitLost {
		return s, table.ReportUnavailable
	}
	return s.Next(event)
}

// withoutFenceRow is faulty: it takes the answer to the fence for the answer to
// the transaction.
func withoutFenceRow(s table.Settlement, event table.SettlementEvent) (table.Settlement, table.SettlementAction) {
	if event == table.FenceApplied {
		return s, table.ReportApplied
	}
	return s.Next(event)
}

func TestExplorerFindsFaultySettlements(t *testing.T) {
	g := NewWithT(t)
	for name, faulty := range map[string]transition{
		"without fence":      withoutFence,
		"lost means not run": treatLostAsNotSent,
		"without fence row":  withoutFenceRow,
	} {
		g.Expect(explore(faulty, 0).violations).NotTo(BeEmpty(), name)
	}
	resetting := newExplorer(table.Settlement.Next)
	resetting.restartsOnRepeat = true
	g.Expect(resetting.run(0).violations).NotTo(BeEmpty(), "a repeat that starts from the initial state")
}
