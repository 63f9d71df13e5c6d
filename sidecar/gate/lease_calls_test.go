package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestLeaseCallMayReachAWorkerUntilItIsSettled(t *testing.T) {
	g := NewWithT(t)
	var calls LeaseCalls
	g.Expect(calls.MayReach("w", time.Minute)).To(BeFalse())
	sent := calls.Add(LeaseCall{Number: 1, WorkerID: "w", Sent: time.Minute}, 10*time.Second)
	g.Expect(sent.MayReach("w", time.Hour)).To(BeTrue(), "it has not ended")
	g.Expect(sent.MayReach("v", time.Minute)).To(BeFalse())
	g.Expect(sent.Settle(1).MayReach("w", time.Minute)).To(BeFalse())
	lost := sent.Lose(1)
	g.Expect(lost.MayReach("w", time.Minute+runs.LongestCallDelay)).To(BeTrue())
	g.Expect(lost.MayReach("w", time.Minute+runs.LongestCallDelay+1)).To(BeFalse())
	g.Expect(lost.Add(LeaseCall{Number: 2, WorkerID: "v", Sent: time.Hour}, 10*time.Second)).To(HaveLen(1))
}

// Guards against TWICE: the answer to a call's second try was taken for one to the first, which was
// carried out later.
func TestAnswerToASecondTryDoesNotSettleTheFirst(t *testing.T) {
	g := NewWithT(t)
	calls := LeaseCalls{}.Add(LeaseCall{Number: 1, WorkerID: "w", Sent: time.Minute}, 10*time.Second).Lose(1)
	calls = calls.Add(LeaseCall{Number: 2, WorkerID: "w", Sent: time.Minute + time.Second}, 10*time.Second).Settle(2)
	g.Expect(calls.MayReach("w", time.Minute+runs.LongestCallDelay)).To(BeTrue())
	g.Expect(calls.MayReach("w", time.Minute+runs.LongestCallDelay+1)).To(BeFalse())
}

// Guards against TWICE: a call was carried out just before it was too old, and the sidecar reached the worker
// just after that.
func TestLeaseOfACallThatIsTooOldMayStillLast(t *testing.T) {
	g := NewWithT(t)
	const maxLease = 10 * time.Second
	calls := LeaseCalls{}.Add(LeaseCall{Number: 1, WorkerID: "w", Sent: time.Minute}, maxLease).Lose(1)
	last := time.Minute + runs.LongestCallDelay + LongestLease(maxLease)
	calls = calls.Add(LeaseCall{Number: 2, WorkerID: "v", Sent: last}, maxLease).Settle(2)
	g.Expect(calls.LateCallsTo("w", 0, last, maxLease)).To(Equal(UnansweredLateCalls))
	g.Expect(calls.LateCallsTo("w", 0, last+1, maxLease)).To(Equal(NoLateCalls))
	g.Expect(calls.Add(LeaseCall{Number: 3, WorkerID: "v", Sent: last + 1}, maxLease)).To(HaveLen(1))
}

func TestLostLeaseCallsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var calls LeaseCalls
	for n := uint64(1); n <= 1000; n++ {
		calls = calls.Add(LeaseCall{Number: n, WorkerID: "w", Sent: time.Duration(n) * time.Millisecond}, 10*time.Second).Lose(n)
	}
	g.Expect(calls).To(HaveLen(1))
	g.Expect(calls[0].Sent).To(Equal(time.Second))
	g.Expect(calls.Lose(7)).To(Equal(calls), "it is not among them any more")
}

// Guards against TWICE: the answer of the next incarnation to a call that was meant for the one
// before was taken for that of the latter.
func TestAnswerWithAnEarlierClockDoesNotSettleALeaseCall(t *testing.T) {
	known := Clock{Reading: time.Minute, Received: time.Hour, Known: true}
	sent := time.Hour + time.Second
	for name, c := range map[string]struct {
		answer  runs.Answer
		clock   Clock
		settled bool
	}{
		"its own clock":            {runs.Answer{Clock: time.Minute + time.Second}, known, true},
		"slow by the drift":        {runs.Answer{Clock: time.Minute + 981*time.Millisecond}, known, true},
		"clock that begins anew":   {runs.Answer{Clock: 50 * time.Millisecond}, known, false},
		"refused for room, anew":   {runs.Answer{Result: runs.ResultNoRoom, Clock: time.Second}, known, false},
		"no clock to compare with": {runs.Answer{Clock: time.Minute}, Clock{}, false},
		"another incarnation":      {runs.Answer{Result: runs.ResultOtherIncarnation}, known, true},
		"refused for its fence":    {runs.Answer{Result: runs.ResultStaleEpoch, Clock: 1}, known, true},
		"unhealthy":                {runs.Answer{Result: runs.ResultUnhealthy}, known, true},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(IsSettled(c.answer, c.clock, sent)).To(Equal(c.settled))
		})
	}
}

func TestYoungProcessCannotSpeakForEarlierOnes(t *testing.T) {
	g := NewWithT(t)
	const started, maxLease = time.Hour, 10 * time.Second
	old := started + runs.LongestCallDelay + LongestLease(maxLease)
	g.Expect(LeaseCalls{}.LateCallsTo("w", started, old-1, maxLease)).To(Equal(LateCallsOfOthers))
	g.Expect(LeaseCalls{}.LateCallsTo("w", started, old, maxLease)).To(Equal(NoLateCalls))
	calls := LeaseCalls{}.Add(LeaseCall{Number: 1, WorkerID: "w", Sent: old}, maxLease)
	g.Expect(calls.LateCallsTo("w", started, old, maxLease)).To(Equal(UnansweredLateCalls))
}

func TestLateLeaseCountsFromTheFirstCallThatKeepsOthersOff(t *testing.T) {
	g := NewWithT(t)
	term := Term{Epoch: 3, Process: 1}
	w := Worker{}.Describe(&runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 1}})
	numberless := w.Fence(Term{Epoch: 3})
	w = w.Confirm(numberless).Reach(numberless, time.Hour, UnansweredLateCalls)
	g.Expect(w.ReachedAt).To(BeZero(), "calls of an earlier process may still be let in")
	fence := w.Fence(term)
	w = w.Confirm(fence).Reach(fence, time.Hour, UnansweredLateCalls)
	w = w.Reach(fence, 2*time.Hour, NoLateCalls)
	g.Expect(w.LateLease(time.Hour+time.Second, 10*time.Second)).To(Equal(runs.LateLease{Remaining: 9200 * time.Millisecond, Unanswered: true}))
	g.Expect(w.LateLease(time.Hour+11*time.Second, 10*time.Second).Remaining).To(BeZero())
	next := w.Describe(&runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 2}})
	g.Expect(next.LateLease(time.Hour, 10*time.Second)).To(Equal(runs.LateLease{}))
}

// Guards against LOST: a worker states its clock in whole milliseconds, and an answer within one of
// the reading before was taken for that of another incarnation.
func TestAnswerInTheSameMillisecondSettlesALeaseCall(t *testing.T) {
	known := Clock{Reading: time.Minute, Received: time.Hour, Known: true}
	for _, elapsed := range []time.Duration{0, time.Microsecond, 300 * time.Microsecond, 999 * time.Microsecond} {
		settled := IsSettled(runs.Answer{Clock: time.Minute}, known, time.Hour+elapsed)
		NewWithT(t).Expect(settled).To(BeTrue(), "sent %v after the reading", elapsed)
	}
	elapsed := time.Millisecond + 100*time.Microsecond
	NewWithT(t).Expect(IsSettled(runs.Answer{Clock: time.Minute}, known, time.Hour+elapsed)).To(BeFalse(), "its clock stands still")
}
