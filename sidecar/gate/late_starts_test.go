package gate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const testMaxLease = 10 * time.Second

// startedTask returns a task of a start.
func startedTask(index int) carobkeel.TaskName {
	return carobkeel.TaskName{Job: "0000000000000001", Index: index}
}

// lostStarts returns calls that start the given number of tasks, one a millisecond from sent on, which got
// no answer.
func lostStarts(sent time.Duration, n int) LeaseCalls {
	var calls LeaseCalls
	for i := range n {
		call := LeaseCall{Number: uint64(i + 1), WorkerID: "w", Start: startedTask(i), Sent: sent + time.Duration(i)*time.Millisecond}
		calls = calls.Add(call, testMaxLease).Lose(call.Number)
	}
	return calls
}

// Guards against TWICE: a later lost call took the place of a start, whose task was not known any more.
func TestLostStartOfEachTaskIsKept(t *testing.T) {
	g := NewWithT(t)
	calls := lostStarts(time.Minute, 3)
	calls = calls.Add(LeaseCall{Number: 9, WorkerID: "w", Sent: time.Minute + time.Second}, testMaxLease).Lose(9)
	calls = calls.Add(LeaseCall{Number: 10, WorkerID: "w", Start: startedTask(1), Sent: time.Minute + time.Second}, testMaxLease).Lose(10)
	g.Expect(calls).To(HaveLen(4), "of each task and of the listings the last one")
	g.Expect(calls.startsSentFrom("w", 0, time.Minute, testMaxLease)).To(ConsistOf(startedTask(0), startedTask(1), startedTask(2)))
	g.Expect(calls.startsSentFrom("v", 0, time.Minute, testMaxLease)).To(BeEmpty())
}

// Guards against TWICE: a start was answered on its second try, and the first one was carried out later.
func TestStartAnsweredOnItsSecondTryMayStillBeCarriedOut(t *testing.T) {
	g := NewWithT(t)
	calls := lostStarts(time.Minute, 1)
	calls = calls.Add(LeaseCall{Number: 2, WorkerID: "w", Start: startedTask(0), Sent: time.Minute + time.Second}, testMaxLease).Settle(2)
	last := time.Minute + runs.LongestCallDelay + LongestLease(testMaxLease)
	g.Expect(calls.startsSentFrom("w", 0, last, testMaxLease)).To(HaveLen(1))
	g.Expect(calls.startsSentFrom("w", 0, last+1, testMaxLease)).To(BeEmpty())
}

func TestLateStartsOfAWorkerThatDoesNotAnswer(t *testing.T) {
	noAnswer := errors.New("no answer in time")
	described := Worker{}.Describe(&runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 1}})
	fence := described.Fence(Term{Epoch: 1, Process: 1})
	listed := described.Confirm(fence).Answered(time.Minute + time.Second)
	lateReached := described.Confirm(fence).Reach(fence, time.Minute, UnansweredLateCalls).Answered(time.Minute + time.Second)
	for name, c := range map[string]struct {
		worker Worker
		err    error
		want   int
	}{
		"it has not answered since":            {described.Answered(time.Minute), noAnswer, 1},
		"it has listed since":                  {listed, noAnswer, 0},
		"it has listed since and may be gone":  {listed.Unanswered(errors.Wrap(runs.ErrBroken, "reset")), noAnswer, 1},
		"it was not reached and may be gone":   {listed.Unanswered(errors.Wrap(runs.ErrNotListening, "refused")), noAnswer, 1},
		"it may have a longer lease by a call": {lateReached, noAnswer, 1},
		"nothing listens":                      {described, runs.ErrNotListening, 0},
		"it has answered after that":           {listed.Unanswered(runs.ErrBroken).Answered(time.Minute + time.Second), noAnswer, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Minute + 2*time.Second
			tasks := c.worker.LateStarts(lostStarts(time.Minute, 1), c.err, now, now, testMaxLease)
			NewWithT(t).Expect(tasks).To(HaveLen(c.want))
		})
	}
}

func TestSidecarStopsRunsWithALongerLeaseBeforeTheHolderCountsItAsOver(t *testing.T) {
	const workerLease = 3 * time.Second
	g := NewWithT(t)
	w := Worker{}.Describe(&runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 1}})
	fence := w.Fence(Term{Epoch: 1, Process: 1})
	sound := w.Confirm(fence).Reach(fence, time.Minute, NoLateCalls)
	late := w.Confirm(fence).Reach(fence, time.Minute, UnansweredLateCalls)
	holder := Holder{Confirmed: time.Minute, Known: true}
	due := time.Minute + workerLease - StopMargin
	g.Expect(late.MustStop(holder, due, workerLease, testMaxLease)).To(BeFalse(), "a holder may follow in time")
	g.Expect(late.MustStop(holder, due+1, workerLease, testMaxLease)).To(BeTrue())
	g.Expect(sound.MustStop(holder, due+1, workerLease, testMaxLease)).To(BeFalse(), "its lease ends by itself")
	g.Expect(late.MustStop(holder, time.Minute+LongestLease(testMaxLease), workerLease, testMaxLease)).To(BeFalse(), "the longer lease is over")
}
