package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// jobView follows what callers see of the job of a fixture.
type jobView struct {
	*evidenceFixture
	// states are the states that callers have seen, in their order.
	states []carobkeel.JobState
	// run is the run whose start was ordered last.
	run int
}

// newJobView submits the job of a fixture.
func newJobView() *jobView {
	v := &jobView{evidenceFixture: newEvidenceFixture()}
	v.core.AddJob(v.job(), false)
	v.update()
	return v
}

// update has decisions made and records stored, until no records are left.
func (v *jobView) update() {
	for {
		out := v.core.Finish()
		for _, o := range out.Orders {
			if o.Kind == dispatch.OrderStart {
				v.run = o.Run
			}
		}
		for _, s := range out.StateChanges {
			v.states = append(v.states, s.State)
		}
		if !v.core.HasBatch() {
			return
		}
		v.store()
	}
}

// end applies a full listing with an end of the run.
func (v *jobView) end(outcome runs.Outcome) {
	v.listing(dispatch.WorkerListing{
		Number: 9, Requested: 9, Ends: []runs.End{{Number: 1, Task: v.task, Run: v.run, Outcome: outcome}},
	})
}

// Guards against MIXED: a job was shown as active, and did not count as waiting, since a start
// had been ordered that never took place.
func TestJobIsPendingWhileNoStartIsConfirmed(t *testing.T) {
	for _, result := range []runs.Result{
		runs.ResultUnknown, runs.ResultUnhealthy, runs.ResultNoRoom, runs.ResultLate, runs.ResultOtherIncarnation,
	} {
		g := NewWithT(t)
		v := newJobView()
		g.Expect(v.run).To(Equal(1), "a start is ordered")
		v.answer(dispatch.OrderStart, v.run, result, 1)
		v.update()
		v.answer(dispatch.OrderStop, v.run, runs.ResultOK, 1)
		v.list(2, 2)
		v.update()
		g.Expect(v.states).To(Equal([]carobkeel.JobState{carobkeel.JobPending}), result.String())
	}
}

func TestJobIsActiveOnceAStartIsConfirmed(t *testing.T) {
	for evidence, apply := range map[string]func(*jobView){
		"answer":       func(v *jobView) { v.answer(dispatch.OrderStart, v.run, runs.ResultOK, 1) },
		"listing":      func(v *jobView) { v.list(2, 2, v.run) },
		"failed run":   func(v *jobView) { v.end(runs.OutcomeFailed) },
		"stopped run":  func(v *jobView) { v.end(runs.OutcomeStopped) },
		"late listing": func(v *jobView) { v.giveUp(); v.list(4, 4, v.run) },
		"late end":     func(v *jobView) { v.giveUp(); v.end(runs.OutcomeExpired) },
	} {
		g := NewWithT(t)
		v := newJobView()
		apply(v)
		v.advance(time.Second)
		v.update()
		g.Expect(v.states).To(Equal([]carobkeel.JobState{carobkeel.JobPending, carobkeel.JobActive}), evidence)
	}
}

// giveUp has the holder give up the run after a start without an answer.
func (v *jobView) giveUp() {
	v.answer(dispatch.OrderStart, v.run, runs.ResultUnknown, 1)
	v.update()
	v.answer(dispatch.OrderStop, v.run, runs.ResultOK, 1)
	v.list(2, 2)
}

// Guards against MIXED: the same with a worker that loses all orders.
func TestJobWhoseOrdersAreLostWaitsUntilItStarts(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000)
	sim.loseAnswer = func() (bool, time.Duration) { return true, time.Hour }
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: time.Minute} }
	job := sim.submit(1, 0, step(1, 1000))
	for range 6 {
		sim.run(time.Second)
		g.Expect(sim.visibleStates).To(HaveKeyWithValue(job, carobkeel.JobPending))
	}
	g.Expect(sim.record.Starts).To(BeEmpty())
	sim.endFaults(2 * time.Second)
	g.Expect(sim.visibleStates).To(HaveKeyWithValue(job, carobkeel.JobActive))
}

// Guards against a job that callers saw as active being shown as pending by the next holder,
// whose links to the worker of its run are cut or not yet open.
func TestActiveJobStaysActiveAcrossATakeover(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000)
	job := sim.submit(1, 0, longRunningStep(1, 1000))
	sim.endlessLongRunning()
	sim.run(1500 * time.Millisecond)
	g.Expect(sim.visibleStates).To(HaveKeyWithValue(job, carobkeel.JobActive))
	sim.workers["host-0"].partitioned = true
	sim.holders[0].ended = true
	sim.takeOver()
	sim.run(time.Second)
	g.Expect(sim.visibleStates).To(HaveKeyWithValue(job, carobkeel.JobActive))
}

// What callers have seen is stored, so the moment of the takeover does not matter.
func TestJobIsShownAsActiveOnceThatIsStored(t *testing.T) {
	g := NewWithT(t)
	v := newJobView()
	v.answer(dispatch.OrderStart, v.run, runs.ResultOK, 1)
	out := v.core.Finish()
	g.Expect(out.StateChanges).To(BeEmpty())
	g.Expect(v.core.HasBatch()).To(BeFalse(), "other records may come")
	v.advance(out.Wake - v.now)
	g.Expect(v.core.HasBatch()).To(BeTrue())
	batch := v.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10})
	g.Expect(batch.Progress).To(ConsistOf(HaveField("State", carobkeel.JobActive)))
	v.core.BatchStored(batch)
	g.Expect(v.core.Finish().StateChanges).To(ConsistOf(HaveField("State", carobkeel.JobActive)))
	v.list(2, 2, v.run)
	v.end(runs.OutcomeStopped)
	v.advance(time.Second)
	g.Expect(v.core.HasBatch()).To(BeFalse(), "a job begins once")
}

func TestStartIsStoredAtOnceWithAnEnd(t *testing.T) {
	g := NewWithT(t)
	v := newJobView()
	v.end(runs.OutcomeStopped)
	v.core.Finish()
	g.Expect(v.core.HasBatch()).To(BeTrue(), "the worker waits for the acknowledgement")
	v.store()
	g.Expect(v.core.Finish().Orders).To(ContainElement(HaveField("Kind", dispatch.OrderAcknowledge)))
}

// checkStates records a violation if a job is shown as active although no worker has begun a
// task of it, or as pending after it was shown as active.
func (sim *simulation) checkStates(changes []dispatch.StateChange) {
	latest := make(map[carobkeel.JobID]carobkeel.JobState)
	for _, v := range changes {
		if !v.Removed {
			latest[v.Job] = v.State
		}
	}
	for job, state := range latest {
		seen := sim.visibleStates[job]
		if state == carobkeel.JobPending && seen == carobkeel.JobActive {
			sim.record.Violations = append(sim.record.Violations, fmt.Sprintf("%s is pending again", job))
		}
		if state == carobkeel.JobActive && seen == carobkeel.JobPending && !sim.hasBegun(job) {
			sim.record.Violations = append(sim.record.Violations, fmt.Sprintf("%s is active and has not begun", job))
		}
	}
}

// hasBegun reports whether a worker has begun a task of the job.
func (sim *simulation) hasBegun(job carobkeel.JobID) bool {
	for task := range sim.record.Starts {
		if task.Job == job {
			return true
		}
	}
	return false
}
