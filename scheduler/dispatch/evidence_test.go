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

// evidenceFixture is a core with one worker and one job of one task, driven event by
// event.
type evidenceFixture struct {
	core        *dispatch.Core
	incarnation runs.Incarnation
	task        carobkeel.TaskName
	now         time.Duration
}

const evidenceHost = "h"

// newEvidenceFixture returns a core to which a worker has listed that it runs nothing.
func newEvidenceFixture() *evidenceFixture {
	f := &evidenceFixture{
		incarnation: runs.Incarnation{ID: "w", StartedAtMs: 1000}, now: time.Hour,
		task: carobkeel.TaskName{Job: "0000000000000001"},
	}
	f.core = dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: testLease, MaxLease: testMaxLease}, f.time(), nil)
	f.link(1, 1)
	f.core.DescribeWorker(evidenceHost, f.description(f.incarnation))
	f.list(1, 1)
	f.core.Finish()
	f.store() // a worker must be recorded before anything starts there
	return f
}

func (f *evidenceFixture) time() dispatch.Now {
	return dispatch.Now{Monotonic: f.now, Held: f.now, Wall: time.Unix(1_000_000, 0)}
}

func (f *evidenceFixture) description(i runs.Incarnation) runs.Description {
	return runs.Description{
		Incarnation: i, Service: testService, Sequence: 1,
		Capacity: carobkeel.Resources{MilliCPU: 8000, MemoryBytes: 64 << 30},
	}
}

func (f *evidenceFixture) link(id dispatch.LinkID, process carobkeel.Incarnation) {
	f.core.HostLinked(evidenceHost, dispatch.Link{ID: id, Process: process})
	f.core.HostPinged(evidenceHost, 1)
}

// store has the core's records stored.
func (f *evidenceFixture) store() {
	f.core.BatchStored(f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10}))
}

// submit accepts the job and returns the orders that follow.
func (f *evidenceFixture) submit() []dispatch.Order {
	f.core.AddJob(f.job(), false)
	return f.core.Finish().Orders
}

func (f *evidenceFixture) job() *carobkeel.JobSpec {
	return &carobkeel.JobSpec{
		ID: f.task.Job, Queue: testQueue(0, 3), Payload: "payload",
		Steps: []carobkeel.Step{{Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000}, Estimate: time.Second}},
	}
}

// advance lets time pass while the holder holds the shard.
func (f *evidenceFixture) advance(d time.Duration) {
	f.now += d
	f.core.Advance(f.time())
}

// list applies a full listing with the given runs of the task.
func (f *evidenceFixture) list(number, requested uint64, running ...int) {
	f.listing(dispatch.WorkerListing{Number: number, Requested: requested}, running...)
}

func (f *evidenceFixture) listing(l dispatch.WorkerListing, running ...int) {
	l.Host, l.Incarnation, l.Full = evidenceHost, f.incarnation, true
	for _, run := range running {
		l.Running = append(l.Running, runs.Running{Task: f.task, Run: run})
	}
	f.core.ApplyListing(l)
}

func (f *evidenceFixture) answer(kind dispatch.OrderKind, run int, result runs.Result, listing uint64) {
	f.core.ApplyAnswer(dispatch.OrderAnswer{
		Host: evidenceHost, Incarnation: f.incarnation, Kind: kind, Task: f.task, Run: run, Result: result, Listing: listing,
	})
}

// starts returns the runs whose start is ordered now.
func (f *evidenceFixture) starts() []int {
	var started []int
	for _, o := range f.core.Finish().Orders {
		if o.Kind == dispatch.OrderStart {
			started = append(started, o.Run)
		}
	}
	return started
}

// Guards against TWICE: the first listing over a new link was requested before the runs
// that it lacks, and they were started again.
func TestFirstListingOverANewLinkDoesNotReleaseLaterRuns(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	started := f.submit()
	g.Expect(started).To(HaveLen(1))
	run := started[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 5)
	f.link(2, 1)
	f.list(5, 5)
	g.Expect(f.starts()).To(BeEmpty(), "the listing was requested before the start")
	f.list(6, 6)
	g.Expect(f.starts()).To(HaveLen(1), "the run is gone")
}

// Guards against TWICE: a listing that was overtaken by a later one releases what began
// between the two.
func TestOvertakenListingDoesNotReleaseARunThatALaterOneHas(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.list(3, 4, run) // answered when the fourth listing was requested already
	f.list(4, 4)
	g.Expect(f.starts()).To(BeEmpty(), "the two may have overtaken each other")
	f.list(5, 5)
	g.Expect(f.starts()).To(HaveLen(1))
}

// A new process of the sidecar numbers its listings from one, and has requested all of them
// after the runs that its predecessor confirmed.
func TestListingOfANewSidecarProcessReleasesRunsOfAnEarlierOne(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 500)
	f.link(2, 2)
	f.list(1, 1)
	g.Expect(f.starts()).To(HaveLen(1))
}

// Orders that were decided on a link are not sent over another, so they are repeated there.
func TestOrdersAreRepeatedForTheNewLink(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	order := f.submit()[0]
	g.Expect(order.Link).To(Equal(dispatch.LinkID(1)))
	f.link(2, 1)
	f.list(2, 2)
	orders := f.core.Finish().Orders
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Run).To(Equal(order.Run))
	g.Expect(orders[0].Link).To(Equal(dispatch.LinkID(2)))
}

// An acknowledgement may be lost with its link.
func TestAcknowledgementIsRepeatedForTheNewLink(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Ends: []runs.End{{Number: 1, Task: f.task, Run: run}}})
	f.core.Finish()
	f.store()
	acknowledged := func() bool {
		for _, o := range f.core.Finish().Orders {
			if o.Kind == dispatch.OrderAcknowledge && o.Acknowledged == 1 {
				return true
			}
		}
		return false
	}
	g.Expect(acknowledged()).To(BeTrue())
	f.list(3, 3)
	g.Expect(acknowledged()).To(BeFalse())
	f.link(2, 1)
	f.list(4, 4)
	g.Expect(acknowledged()).To(BeTrue())
}

// Guards against TWICE: while the store is away a worker has more ends than it lists at a
// time, and the runs of the others were taken as lost and run again.
func TestPartialListingReleasesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
	f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Partial: true})
	g.Expect(f.starts()).To(BeEmpty(), "the run may be among the ends that are not listed")
	f.core.Cancel(f.task.Job)
	f.core.Finish()
	f.answer(dispatch.OrderStop, run, runs.ResultOK, 2)
	f.listing(dispatch.WorkerListing{Number: 3, Requested: 3, Partial: true})
	for _, d := range f.core.Finish().Decisions {
		g.Expect(d.Kind).NotTo(BeElementOf(dispatch.DecidedRunEnded, dispatch.DecidedRunGivenUp))
	}
	f.list(4, 4)
	g.Expect(f.core.Finish().Decisions).To(ContainElement(And(
		HaveField("Kind", dispatch.DecidedRunGivenUp),
		HaveField("Detail", "stopped before it started: listing 4 of link 1, after 2"))))
}

// Guards against TWICE: a late heartbeat of a worker's earlier incarnation, described by a new
// process of its sidecar, was taken for a restart.
func TestDescriptionOfAnEarlierIncarnationIsNoRestart(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
	f.link(2, 2)
	f.core.DescribeWorker(evidenceHost, f.description(runs.Incarnation{ID: "w", StartedAtMs: 500}))
	g.Expect(f.core.Finish().Decisions).NotTo(ContainElement(HaveField("Kind", BeElementOf(dispatch.DecidedRunEnded, dispatch.DecidedRunGivenUp))))
	f.core.DescribeWorker(evidenceHost, f.description(f.incarnation))
	f.list(1, 1, run)
	f.advance(2 * testLease)
	g.Expect(f.starts()).To(BeEmpty(), "the worker lists the run")
}

// The time of day was set back between the two incarnations.
func TestEarlierIncarnationIsAcceptedOnceTheLeaseOfTheKnownOneIsOver(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
	earlier := runs.Incarnation{ID: "w", StartedAtMs: 500}
	f.core.DescribeWorker(evidenceHost, f.description(earlier))
	f.advance(testLease)
	f.core.HostPinged(evidenceHost, 2)
	f.core.DescribeWorker(evidenceHost, f.description(earlier))
	g.Expect(f.starts()).To(BeEmpty())
	f.advance(testLease)
	f.incarnation = earlier
	f.list(2, 2)
	f.core.Finish()
	f.store()
	g.Expect(f.starts()).To(HaveLen(1))
}

// Guards against TWICE: a new holder took a late heartbeat of an earlier incarnation for the
// end of the one that an earlier holder had used.
func TestEarlierIncarnationDoesNotEndTheWaitForALaterOne(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.core = dispatch.New(dispatch.Config{Epoch: 2, WorkerLease: testLease, InheritedLease: testAuthority + testLease}, f.time(),
		[]dispatch.WorkerRecord{{Incarnation: f.incarnation, Host: evidenceHost}})
	f.core.AddJob(f.job(), true)
	f.link(1, 1)
	present := f.incarnation
	f.incarnation = runs.Incarnation{ID: "w", StartedAtMs: 500}
	f.core.DescribeWorker(evidenceHost, f.description(f.incarnation))
	f.core.Finish()
	g.Expect(f.core.HasBatch()).To(BeFalse(), "the record of the present incarnation is not dropped")
	f.incarnation = present
	f.core.DescribeWorker(evidenceHost, f.description(present))
	f.list(1, 1, 1)
	g.Expect(f.starts()).To(BeEmpty(), "its run is adopted")
}

// Guards against TWICE: the sidecar reported that its worker answers again on a link that was
// replaced before the holder had read it, and had its next ping answered.
func TestPingOnAReplacedLinkExtendsTheLeaseOfAnUnresponsiveWorker(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
	f.core.WorkerUnreachable(evidenceHost, time.Second)
	f.core.LeaseExtended(evidenceHost)
	f.core.HostLost(evidenceHost)
	f.advance(2 * time.Second)
	g.Expect(f.core.Finish().Decisions).NotTo(ContainElement(HaveField("Kind", dispatch.DecidedLeaseExpired)))
	f.advance(2 * time.Second)
	g.Expect(f.core.Finish().Decisions).To(ContainElement(HaveField("Kind", dispatch.DecidedLeaseExpired)))
}

// Guards against TWICE: a worker that had restarted under its ID began a run that was sent to
// its earlier incarnation, and the task was started elsewhere.
func TestRunSentToAnEarlierIncarnationIsKeptUntilTheNextOneHasListed(t *testing.T) {
	next := runs.Incarnation{ID: "w", StartedAtMs: 2000}
	restart := func(wait time.Duration) (*evidenceFixture, int) {
		f := newEvidenceFixture()
		run := f.submit()[0].Run
		f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
		f.advance(wait)
		f.core.DescribeWorker(evidenceHost, f.description(next))
		f.incarnation = next
		return f, run
	}
	for _, wait := range []time.Duration{0, 3 * time.Second} {
		g := NewWithT(t)
		f, run := restart(wait)
		g.Expect(f.starts()).To(BeEmpty(), "the next incarnation may begin it")
		f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Partial: true})
		f.store()
		g.Expect(f.starts()).To(BeEmpty(), "the listing may lack it")
		f.list(3, 3, run)
		g.Expect(f.starts()).To(BeEmpty(), "the next incarnation runs it")
		f.list(4, 4)
		g.Expect(f.starts()).To(Equal([]int{run + 1}))

		f, run = restart(wait)
		f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Ends: []runs.End{{Number: 1, Task: f.task, Run: run}}})
		f.store()
		g.Expect(f.starts()).To(BeEmpty(), "the next incarnation has run it")

		f, run = restart(wait)
		f.list(2, 2)
		f.core.Finish()
		f.store()
		g.Expect(f.starts()).To(Equal([]int{run + 1}), "the calls to the earlier incarnation are refused from now on")
	}
}

// Guards against TWICE: a new holder did not wait for what the worker, restarted under its ID,
// may have begun of the runs of an earlier holder.
func TestNewHolderWaitsForTheListingOfARestartedWorker(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.core = dispatch.New(dispatch.Config{Epoch: 2, WorkerLease: testLease, InheritedLease: testAuthority + testLease}, f.time(),
		[]dispatch.WorkerRecord{{Incarnation: f.incarnation, Host: evidenceHost}, {Incarnation: runs.Incarnation{ID: "other", StartedAtMs: 5}, Host: "other"}})
	f.core.AddJob(f.job(), true)
	f.core.HostLinked("free", dispatch.Link{ID: 9, Process: 9})
	f.core.HostPinged("free", 1)
	free := f.description(runs.Incarnation{ID: "free", StartedAtMs: 7})
	f.core.DescribeWorker("free", free)
	f.core.ApplyListing(dispatch.WorkerListing{Host: "free", Incarnation: free.Incarnation, Number: 1, Requested: 1, Full: true})
	f.core.WorkerShutDown("other", runs.Incarnation{ID: "other", StartedAtMs: 5})
	f.advance(justAfterExit)
	f.core.Finish()
	f.store()
	f.link(1, 1)
	f.incarnation = runs.Incarnation{ID: "w", StartedAtMs: 2000}
	f.core.DescribeWorker(evidenceHost, f.description(f.incarnation))
	g.Expect(f.starts()).To(BeEmpty(), "the worker may have begun a run late")
	f.list(1, 1)
	g.Expect(f.starts()).To(HaveLen(1))
}

// Guards against TWICE: a late heartbeat of an earlier incarnation came between two of the
// present one, whose record was then dropped, so that a later holder did not wait for it.
func TestIncarnationThatIsDescribedAgainStaysRecorded(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.core.DescribeWorker(evidenceHost, f.description(runs.Incarnation{ID: "w", StartedAtMs: 500}))
	f.core.DescribeWorker(evidenceHost, f.description(f.incarnation))
	f.list(2, 2)
	f.core.Finish()
	batch := f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10})
	g.Expect(batch.Forgotten).NotTo(ContainElement(f.incarnation))
	f.core.BatchStored(batch)
	g.Expect(f.submit()).To(HaveLen(1), "tasks start on the worker")
}

// Guards against UNASKED: a stop was refused while the sidecar took the worker for another
// incarnation, for one odd listing, and was never sent again.
func TestStopRefusedForAnotherIncarnationIsRepeatedOnceTheWorkerLists(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultUnknown, 1)
	g.Expect(f.core.Finish().Orders).To(ContainElement(HaveField("Kind", dispatch.OrderStop)))
	f.answer(dispatch.OrderStop, run, runs.ResultOtherIncarnation, 2)
	f.list(3, 3, run)
	g.Expect(f.core.Finish().Orders).To(ContainElement(HaveField("Kind", dispatch.OrderStop)))
}

// Guards against TWICE that can't be traced: ends that a worker forgot unread leave a line.
func TestEndsThatWereForgottenUnreadAreReported(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	missed := func(number uint64) []dispatch.Decision {
		f.listing(dispatch.WorkerListing{Number: number, Requested: number, Ends: []runs.End{{Number: number, Task: f.task, Run: 99}}})
		return slices.DeleteFunc(f.core.Finish().Decisions, func(d dispatch.Decision) bool { return d.Kind != dispatch.DecidedEndsMissed })
	}
	g.Expect(missed(6)).To(BeEmpty(), "an earlier holder has read the ends before")
	g.Expect(missed(10)).To(ConsistOf(HaveField("Detail", "7 to 9")))
	f.incarnation = runs.Incarnation{ID: "w", StartedAtMs: 2000}
	f.core.DescribeWorker(evidenceHost, f.description(f.incarnation))
	g.Expect(missed(2)).To(ConsistOf(HaveField("Detail", "1 to 1")), "the next incarnation numbers its ends anew")
}

func TestRunThatBeginsAfterItWasGivenUpIsNamedSo(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultUnhealthy, 1)
	f.core.Finish()
	f.list(2, 2, run)
	g.Expect(f.core.Finish().Decisions).To(ContainElement(And(
		HaveField("Kind", dispatch.DecidedRunAdopted), HaveField("Detail", "given up before"))))
}

func TestStartToAnUnconfirmedWorkerIsNoReasonForAQuarantine(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.answer(dispatch.OrderStart, f.submit()[0].Run, runs.ResultUnconfirmed, 1)
	decisions := f.core.Finish().Decisions
	g.Expect(decisions).To(ContainElement(HaveField("Detail", "start refused: unconfirmed")))
	g.Expect(decisions).NotTo(ContainElement(HaveField("Kind", dispatch.DecidedWorkerQuarantined)))
}
