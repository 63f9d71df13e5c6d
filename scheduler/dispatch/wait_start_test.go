package dispatch_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// startDecision returns the decision of the next start, and whether there is one.
func (f *evidenceFixture) startDecision() (dispatch.Decision, bool) {
	for _, d := range f.core.Finish().Decisions {
		if d.Kind == dispatch.DecidedRunStarted {
			return d, true
		}
	}
	return dispatch.Decision{}, false
}

// Guards against a wait that seems short: each start that was refused began it anew.
func TestWaitOfATaskGoesOnThroughStartsThatWereRefused(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	for n := range 4 {
		f.advance(400 * time.Millisecond)
		f.core.HostPinged(evidenceHost, uint64(n+2))
		f.answer(dispatch.OrderStart, run, runs.ResultNoRoom, uint64(n+1))
		f.core.Finish()
		f.advance(400 * time.Millisecond)
		d, started := f.startDecision()
		g.Expect(started).To(BeTrue())
		g.Expect(d.Waited).To(Equal(time.Duration(n+1) * 800 * time.Millisecond))
		run = d.Run
	}
}

func TestWaitOfATaskBeginsAnewAfterARunThatBegan(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
	f.advance(500 * time.Millisecond)
	f.core.HostPinged(evidenceHost, 2)
	f.list(2, 2)
	d, started := f.startDecision()
	g.Expect(started).To(BeTrue())
	g.Expect(d.Waited).To(BeZero())
}

// Guards against LOST: tasks whose starts get no answer never counted as starved, so that no less
// suitable worker was tried.
func TestTaskWhoseStartsGetNoAnswerIsStarved(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000)
	sim.endlessLongRunning()
	sim.loseAnswer = func() (bool, time.Duration) { return true, time.Hour }
	sim.submit(1, 0, longRunningStep(1, 1000))
	sim.run(2500 * time.Millisecond)
	g.Expect(sim.record.Starts).To(BeEmpty())
	sim.loseAnswer = func() (bool, time.Duration) { return false, 0 }
	sim.run(500 * time.Millisecond)
	g.Expect(sim.record.Starts).NotTo(BeEmpty(), "the only worker is quarantined for the starts without an answer")
}

// Guards against LOST: a job of which nothing ran did not count as starved, since one of its
// starts had no answer and could not be withdrawn.
func TestJobWithAWithdrawnStartIsStarved(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	other := f.addHost("other")
	f.submitStep(f.task.Job, step(2, 5000))
	f.answer(dispatch.OrderStart, 1, runs.ResultUnknown, 1)
	answer := dispatch.OrderAnswer{
		Host: "other", Incarnation: other, Kind: dispatch.OrderStart,
		Task: carobkeel.TaskName{Job: f.task.Job, Index: 1}, Run: 1, Result: runs.ResultUnknown, Listing: 1,
	}
	f.core.ApplyAnswer(answer)
	f.core.Finish()
	answer.Kind, answer.Result = dispatch.OrderStop, runs.ResultOK
	f.core.ApplyAnswer(answer)
	f.advance(time.Second)
	f.core.HostPinged("other", 2)
	listing := dispatch.WorkerListing{Host: "other", Incarnation: other, Number: 2, Requested: 2, Full: true}
	f.core.ApplyListing(listing)
	g.Expect(f.starts()).To(BeEmpty(), "both workers are quarantined")
	f.advance(time.Second)
	g.Expect(f.starts()).To(Equal([]int{2}))
}

func TestConfirmedStartStatesTheWholeWait(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultNoRoom, 1)
	f.advance(400 * time.Millisecond)
	run = f.starts()[0]
	f.advance(100 * time.Millisecond)
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
	f.list(2, 2, run)
	confirmed := slices.DeleteFunc(f.core.Finish().Decisions, func(d dispatch.Decision) bool { return d.Kind != dispatch.DecidedRunConfirmed })
	g.Expect(confirmed).To(ConsistOf(And(HaveField("Run", run), HaveField("Waited", 500*time.Millisecond))))
}
