package table_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/table"
)

// Bounds of the search. Each is a number of occurrences in one run.
const (
	maxCalls   = 5
	maxLate    = 2
	maxRivals  = 3
	maxRepeats = 1
)

// usedBy says which transaction the service knows an id by.
type usedBy uint8

const (
	unused usedBy = iota
	byTransaction
	byFence
)

// world is one state of the service, the network, the rival and the client.
type world struct {
	// The row has a version, or zero where it is absent.
	row, lastVersion uint8
	condition        int8 // the version wanted; -1 for none
	id               usedBy
	fenceRow         bool
	effects          uint8
	// Late requests are still on their way, with nobody waiting.
	lateCommits, lateFences, late uint8
	rivals, calls, repeats        uint8
	client                        table.Settlement
	action                        table.SettleAction
	crashed                       bool
}

// policy is the settlement under test.
type policy func(table.Settlement, table.SettleEvent) (table.Settlement, table.SettleAction)

// explorer visits every state that the bounds allow.
type explorer struct {
	next policy
	// forgetful starts a repeat after ReportUnsettled from the beginning.
	forgetful bool
	seen      map[world]bool
	reports   map[table.SettleAction]int
	wrong     []world
}

func explore(next policy, condition int8) *explorer {
	return newExplorer(next).run(condition)
}

func newExplorer(next policy) *explorer {
	return &explorer{next: next, seen: make(map[world]bool), reports: make(map[table.SettleAction]int)}
}

func (e *explorer) run(condition int8) *explorer {
	for _, row := range []uint8{0, 1} {
		e.visit(world{row: row, lastVersion: 1, condition: condition})
	}
	return e
}

func (e *explorer) visit(w world) {
	if e.seen[w] {
		return
	}
	e.seen[w] = true
	if !w.isTrue() {
		e.wrong = append(e.wrong, w)
		return
	}
	e.deliverLate(w)
	e.rival(w)
	e.step(w)
}

// isTrue is the observer: at most one effect, and what was reported holds in
// this state and in every one after it.
func (w world) isTrue() bool {
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

// receive is the service: it applies an id once. It returns whether it took
// the transaction or had taken the id before.
func (w world) receiveCommit() (world, table.SettleEvent) {
	if w.id != unused {
		return w, table.CommitApplied
	}
	if w.condition >= 0 && uint8(w.condition) != w.row {
		if w.condition > 0 {
			return w, table.CommitRefusedForGood
		}
		return w, table.CommitRefused
	}
	w.id = byTransaction
	w.effects++
	w.lastVersion++
	w.row = w.lastVersion
	return w, table.CommitApplied
}

func (w world) receiveFence() world {
	if w.id == unused {
		w.id = byFence
		w.fenceRow = true
	}
	return w
}

// deliverLate lets the network deliver a late request, once more or for the
// last time, or drop it.
func (e *explorer) deliverLate(w world) {
	if w.lateCommits > 0 {
		delivered, _ := w.receiveCommit()
		e.visit(delivered) // a duplicate stays on its way
		delivered.lateCommits--
		e.visit(delivered)
	}
	if w.lateFences > 0 {
		delivered := w.receiveFence()
		delivered.lateFences--
		e.visit(delivered)
	}
}

// rival lets another writer delete, create or change the row.
func (e *explorer) rival(w world) {
	if w.rivals == maxRivals {
		return
	}
	w.rivals++
	written := w
	written.lastVersion++
	written.row = written.lastVersion
	e.visit(written)
	if w.row != 0 {
		w.row = 0
		e.visit(w)
	}
}

// step lets the client go on, crash, or run out of time.
func (e *explorer) step(w world) {
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
	e.tell(w, table.DeadlinePassed)
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
		e.tell(w, table.ReadFailed)
		if w.fenceRow {
			e.tell(w, table.FenceRowFound)
		} else {
			e.tell(w, table.FenceRowAbsent)
		}
	}
}

func (e *explorer) sendCommit(w world) {
	e.tell(w, table.CommitNotSent)
	e.tell(w, table.CommitLost) // the request is lost
	received, answer := w.receiveCommit()
	e.tell(received, answer)
	e.tell(received, table.CommitLost) // the answer is lost
	if w.late < maxLate {
		w.late++
		w.lateCommits++
		e.tell(w, table.CommitLost) // the request is late
	}
}

func (e *explorer) sendFence(w world) {
	e.tell(w, table.FenceFailed)
	e.tell(w.receiveFence(), table.FenceApplied)
	e.tell(w.receiveFence(), table.FenceFailed)
	if w.late < maxLate {
		w.late++
		w.lateFences++
		e.tell(w, table.FenceFailed)
	}
}

// repeat lets the caller send an unsettled transaction again with its id.
func (e *explorer) repeat(w world) {
	if w.action != table.ReportUnsettled || w.repeats == maxRepeats {
		return
	}
	w.repeats++
	w.calls = 0
	if e.forgetful {
		w.client = table.Settlement{}
	}
	w.action = w.client.Start()
	e.visit(w)
}

func (e *explorer) tell(w world, event table.SettleEvent) {
	w.client, w.action = e.next(w.client, event)
	e.visit(w)
}

// conditions of the transaction: none, absence, a version.
var conditions = map[string]int8{"none": -1, "absent": 0, "version": 1}

func TestSettlementIsTrueInEveryInterleaving(t *testing.T) {
	for name, condition := range conditions {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := explore(table.Settlement.Next, condition)
			t.Logf("%d states, reports %v", len(e.seen), e.reports)
			g.Expect(e.wrong).To(HaveLen(0))
			g.Expect(e.reports).To(HaveKey(table.ReportApplied))
			g.Expect(e.reports).To(HaveKey(table.ReportUnsettled))
			if condition == 0 {
				g.Expect(e.reports).To(HaveKey(table.ReportFenced))
			}
		})
	}
}

// withoutFence believes a refusal after a lost answer.
func withoutFence(s table.Settlement, event table.SettleEvent) (table.Settlement, table.SettleAction) {
	if event == table.CommitRefused {
		return s, table.ReportRefused
	}
	return s.Next(event)
}

// lostMeansNotRun believes that what was not answered did not run.
func lostMeansNotRun(s table.Settlement, event table.SettleEvent) (table.Settlement, table.SettleAction) {
	if event == table.CommitLost {
		return s, table.ReportUnavailable
	}
	return s.Next(event)
}

// withoutFenceRow takes an answer to the fence for the transaction's own.
func withoutFenceRow(s table.Settlement, event table.SettleEvent) (table.Settlement, table.SettleAction) {
	if event == table.FenceApplied {
		return s, table.ReportApplied
	}
	return s.Next(event)
}

func TestExplorerFindsWrongSettlements(t *testing.T) {
	g := NewWithT(t)
	for name, wrong := range map[string]policy{
		"without fence":      withoutFence,
		"lost means not run": lostMeansNotRun,
		"without fence row":  withoutFenceRow,
	} {
		g.Expect(explore(wrong, 0).wrong).NotTo(BeEmpty(), name)
	}
	forgetful := newExplorer(table.Settlement.Next)
	forgetful.forgetful = true
	g.Expect(forgetful.run(0).wrong).NotTo(BeEmpty(), "a repeat that forgets the lost request")
}
