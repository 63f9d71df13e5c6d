package gate_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

var (
	firstWorker = &runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 1}}
	firstTerm   = gate.Term{Epoch: 3, Process: 1}
	nextProcess = gate.Term{Epoch: 3, Process: 2}
)

// confirm returns w after the described incarnation has listed its runs in the term.
func confirm(w gate.Worker, term gate.Term) gate.Worker { return w.Confirm(w.Fence(term)) }

// isConfirmed reports whether calls in the term may extend the lease.
func isConfirmed(w gate.Worker, term gate.Term) bool { return w.IsConfirmed(w.Fence(term)) }

// Guards against TWICE: a call to an earlier incarnation of a worker was carried out by the next.
func TestGenerationRisesWheneverAnotherIncarnationMayHaveBegun(t *testing.T) {
	g := NewWithT(t)
	w := gate.Worker{}.Describe(firstWorker)
	rises := func(next gate.Worker) {
		t.Helper()
		g.Expect(w.Fence(firstTerm).Less(next.Fence(firstTerm))).To(BeTrue())
		g.Expect(isConfirmed(next, firstTerm)).To(BeFalse())
		w = confirm(next, firstTerm)
		g.Expect(isConfirmed(w, firstTerm)).To(BeTrue())
	}
	rises(w.Describe(&runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 2}}))
	rises(w.Describe(firstWorker))
	rises(w.Suspect())
	rises(w.Deny())
	g.Expect(w.Describe(&runs.Description{Incarnation: firstWorker.Incarnation, Sequence: 7}).Fence(firstTerm)).
		To(Equal(w.Fence(firstTerm)), "another heartbeat of the same incarnation")
}

// Guards against TWICE: calls of an earlier process of the sidecar were above those of the next.
func TestGenerationsOfALaterSidecarProcessAreHigher(t *testing.T) {
	g := NewWithT(t)
	w := gate.Worker{}
	for range runs.MaxDoubts + 10 {
		w = confirm(w, firstTerm).Suspect()
	}
	g.Expect(w.Doubts).To(Equal(runs.MaxDoubts))
	next := gate.Worker{}.Fence(nextProcess)
	g.Expect(w.Fence(firstTerm).Less(next)).To(BeTrue())
	last := w.Fence(gate.Term{Epoch: 3, Process: runs.MaxProcessNumber})
	g.Expect(next.Less(last)).To(BeTrue())
	g.Expect(last.Less(gate.Worker{}.Fence(gate.Term{Epoch: 4}))).To(BeTrue())
}

// Guards against calls before and after a doubt that have the same fence.
func TestWorkerIsNotConfirmedOnceTheDoubtsAreUsedUp(t *testing.T) {
	g := NewWithT(t)
	w := confirm(gate.Worker{Description: firstWorker, Doubts: runs.MaxDoubts - 1}, firstTerm)
	g.Expect(isConfirmed(w, firstTerm)).To(BeTrue())
	w = confirm(w.Suspect(), firstTerm)
	g.Expect(isConfirmed(w, firstTerm)).To(BeFalse())
	g.Expect(w.HasListed(w.Fence(firstTerm))).To(BeTrue(), "its listings need not hurry")
}

// Guards against a host that is not used any more after its worker was away for two days.
func TestWorkerThatIsAwayDoesNotUseTheDoubtsUp(t *testing.T) {
	g := NewWithT(t)
	w := gate.Worker{}.Describe(firstWorker)
	for range 2 * runs.MaxDoubts {
		w = w.Suspect()
	}
	w = w.Describe(&runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 2}})
	w = confirm(w, firstTerm)
	g.Expect(isConfirmed(w, firstTerm)).To(BeTrue())
	next := w.Suspect()
	g.Expect(w.Fence(firstTerm).Less(next.Fence(firstTerm))).To(BeTrue(), "there were calls to be kept off")
	g.Expect(isConfirmed(next, firstTerm)).To(BeFalse())
}

// Guards against TWICE: a process that the holder had not numbered extended leases and sent
// starts, and calls of an earlier process were above its own.
func TestWorkerIsConfirmedInATermWithANumberOnly(t *testing.T) {
	g := NewWithT(t)
	unnumbered := gate.Term{Epoch: firstTerm.Epoch}
	w := confirm(gate.Worker{}.Describe(firstWorker), unnumbered)
	g.Expect(w.Verified).To(BeTrue())
	g.Expect(isConfirmed(w, unnumbered)).To(BeFalse())
	g.Expect(isConfirmed(w, firstTerm)).To(BeFalse(), "it has not listed under the number")
	w = confirm(w, firstTerm)
	g.Expect(isConfirmed(w, firstTerm)).To(BeTrue())
	g.Expect(isConfirmed(w, nextProcess)).To(BeFalse(), "the process has got another number")
	g.Expect(isConfirmed(w, gate.Term{Epoch: 4, Process: 1})).To(BeFalse(), "another holder")
	g.Expect(isConfirmed(confirm(w, unnumbered), firstTerm)).To(BeTrue(), "a late answer to a listing of before")
}

func TestLateConfirmationOfAnEarlierGenerationDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	w := gate.Worker{}.Describe(firstWorker)
	next := confirm(w, firstTerm).Deny().Confirm(w.Fence(firstTerm))
	g.Expect(isConfirmed(next, firstTerm)).To(BeFalse())
	g.Expect(next.Is(firstWorker.Incarnation)).To(BeFalse())
	g.Expect(confirm(next, firstTerm).Is(firstWorker.Incarnation)).To(BeTrue())
}

// Guards against generations that are used up by a worker that is away.
func TestMissedCallIsADoubtOnlyOnceTheIncarnationHasListed(t *testing.T) {
	g := NewWithT(t)
	w := confirm(gate.Worker{}.Describe(firstWorker), firstTerm)
	first := w.Miss()
	g.Expect(w.Fence(firstTerm).Less(first.Fence(firstTerm))).To(BeTrue())
	second := first.Miss()
	g.Expect(second.Fence(firstTerm)).To(Equal(first.Fence(firstTerm)))
	g.Expect(isConfirmed(confirm(second, firstTerm).Miss(), firstTerm)).To(BeFalse())
}

// Guards against TWICE: an answer of the incarnation before confirmed the worker.
func TestAnswerToACallFromBeforeAMissDoesNotConfirm(t *testing.T) {
	g := NewWithT(t)
	asked := gate.Worker{}.Describe(firstWorker)
	missed := asked.Miss()
	answered := missed.ConfirmAsked(&asked, asked.Fence(firstTerm))
	g.Expect(answered.Verified).To(BeTrue())
	g.Expect(isConfirmed(answered, firstTerm)).To(BeFalse())
	g.Expect(isConfirmed(missed.ConfirmAsked(&missed, missed.Fence(firstTerm)), firstTerm)).To(BeTrue())
}
