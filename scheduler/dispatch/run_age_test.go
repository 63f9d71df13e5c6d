package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// submitStep accepts a job of one step.
func (f *evidenceFixture) submitStep(job carobkeel.JobID, s carobkeel.Step) {
	f.core.AddJob(&carobkeel.JobSpec{ID: job, Queue: testQueue(0, 3), Payload: "payload", Steps: []carobkeel.Step{s}}, false)
	f.core.Finish()
}

// addHost adds a host whose worker lists that it runs nothing.
func (f *evidenceFixture) addHost(host string) runs.Incarnation {
	incarnation := runs.Incarnation{ID: host, StartedAtMs: 1000}
	f.core.HostLinked(host, dispatch.Link{ID: 2, Process: 2})
	f.core.HostPinged(host, 1)
	f.core.DescribeWorker(host, f.description(incarnation))
	f.core.ApplyListing(dispatch.WorkerListing{Host: host, Incarnation: incarnation, Number: 1, Requested: 1, Full: true})
	f.core.Finish()
	f.store()
	return incarnation
}

// Guards against a quarantine: a run that began late was taken as stalled by the time since its
// order.
func TestRunIsNotStalledByTheTimeBeforeItBegan(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	slow := step(1, 1000)
	slow.Estimate = 100 * time.Second
	f.submitStep("0000000000000002", slow)
	slowRun := runs.Running{Task: carobkeel.TaskName{Job: "0000000000000002"}, Run: 1}
	f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Running: []runs.Running{slowRun}})
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultLate, 2)
	f.advance(2 * time.Second)
	f.core.HostPinged(evidenceHost, 2)
	f.listing(dispatch.WorkerListing{Number: 3, Requested: 3, Running: []runs.Running{slowRun}})
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 3)
	f.listing(dispatch.WorkerListing{Number: 4, Requested: 4, Running: []runs.Running{slowRun}}, run)
	g.Expect(f.core.Finish().Decisions).NotTo(ContainElement(HaveField("Kind", dispatch.DecidedWorkerQuarantined)))
}

// Guards against double work: a run that began late was taken as slow, and run a second time.
func TestRunThatBeganLateIsNoStraggler(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	other := f.addHost("other")
	s := step(2, 5000)
	s.AllowsDuplicates = true
	f.submitStep(f.task.Job, s)
	second := carobkeel.TaskName{Job: f.task.Job, Index: 1}
	f.answer(dispatch.OrderStart, 1, runs.ResultLate, 1)
	f.advance(time.Second)
	f.core.ApplyListing(dispatch.WorkerListing{
		Host: "other", Incarnation: other, Number: 2, Requested: 2, Full: true, Ends: []runs.End{{Number: 1, Task: second, Run: 1}},
	})
	f.advance(time.Second)
	f.answer(dispatch.OrderStart, 1, runs.ResultOK, 2)
	f.core.HostPinged(evidenceHost, 2)
	f.core.HostPinged("other", 2)
	f.advance(200 * time.Millisecond)
	f.listing(dispatch.WorkerListing{Number: 3, Requested: 3, Running: []runs.Running{{Task: f.task, Run: 1, Percent: 20}}})
	g.Expect(f.starts()).To(BeEmpty(), "the run has done a fifth of its work in 200 ms")
	f.advance(2 * time.Second)
	f.listing(dispatch.WorkerListing{Number: 4, Requested: 4, Running: []runs.Running{{Task: f.task, Run: 1, Percent: 21}}})
	g.Expect(f.starts()).To(HaveLen(1), "it has done little more in 2 s")
}
