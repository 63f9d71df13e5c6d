package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// otherIncarnations are those that a heartbeat may name which reaches the sidecar of a worker
// that lives.
var otherIncarnations = map[string]runs.Incarnation{
	"another ID, born later":         {ID: "v", StartedAtMs: 2000},
	"another ID, born earlier":       {ID: "v", StartedAtMs: 500},
	"the worker's ID, born later":    {ID: "w", StartedAtMs: 2000},
	"the worker's ID, born earlier":  {ID: "w", StartedAtMs: 500},
	"another ID, born with this one": {ID: "v", StartedAtMs: 1000},
}

// runTask starts the task on the worker, and returns its run.
func (f *evidenceFixture) runTask() int {
	run := f.submit()[0].Run
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
	return run
}

// describe has the sidecar describe an incarnation of the worker.
func (f *evidenceFixture) describe(i runs.Incarnation) {
	f.core.DescribeWorker(evidenceHost, f.description(i))
}

// addFreeHost links another host, whose worker runs nothing.
func (f *evidenceFixture) addFreeHost() {
	const host = "free"
	d := f.description(runs.Incarnation{ID: host, StartedAtMs: 7})
	f.core.HostLinked(host, dispatch.Link{ID: 9, Process: 9})
	f.core.HostPinged(host, 1)
	f.core.DescribeWorker(host, d)
	f.core.ApplyListing(dispatch.WorkerListing{Host: host, Incarnation: d.Incarnation, Number: 1, Requested: 1, Full: true})
	f.core.Finish()
	f.store()
}

// takeOver replaces the holder by one that knows of the given worker records and the job.
func (f *evidenceFixture) takeOver(records ...dispatch.WorkerRecord) {
	config := dispatch.Config{Epoch: 2, WorkerLease: testLease, InheritedLease: testAuthority + testLease}
	f.core = dispatch.New(config, f.time(), records)
	f.core.AddJob(f.job(), true)
	f.addFreeHost()
	f.link(2, 1)
	f.core.HostFollows(evidenceHost)
}

// forgotten returns the incarnations whose records are removed, or marked as ended, now.
func (f *evidenceFixture) forgotten() []runs.Incarnation {
	f.core.Finish()
	batch := f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10})
	f.core.BatchStored(batch)
	forgotten := batch.Forgotten
	for _, record := range batch.Ended {
		forgotten = append(forgotten, record.Incarnation)
	}
	return forgotten
}

// Guards against TWICE: heartbeats of another worker released the runs of a live one.
func TestDescriptionsOfAnotherIncarnationReleaseNothing(t *testing.T) {
	for name, other := range otherIncarnations {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newEvidenceFixture()
			run := f.runTask()
			f.addFreeHost()
			for number := uint64(2); number < 20; number++ {
				f.describe(other)
				g.Expect(f.starts()).To(BeEmpty())
				f.advance(300 * time.Millisecond)
				f.core.HostPinged(evidenceHost, number)
				f.core.HostPinged("free", number)
				f.describe(f.incarnation)
				f.list(number, number, run)
				g.Expect(f.starts()).To(BeEmpty())
			}
		})
	}
}

func TestWorkerGetsNothingNewWhileItIsDescribedAsAnother(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.describe(otherIncarnations["another ID, born later"])
	g.Expect(f.submit()).To(BeEmpty())
	f.describe(f.incarnation)
	f.list(2, 2)
	g.Expect(f.starts()).To(HaveLen(1))
}

// The answers of the sidecar's requests may overtake each other.
func TestIncarnationThatListsAfterALateListingOfTheEarlierOneReplacesIt(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.runTask()
	f.addFreeHost()
	other := otherIncarnations["another ID, born later"]
	f.describe(other)
	f.list(2, 3, run)
	g.Expect(f.starts()).To(BeEmpty())
	f.incarnation = other
	f.list(3, 3)
	g.Expect(f.starts()).To(Equal([]int{run + 1}))
}

// A call names the ID of the incarnation that it is sent to.
func TestRunOfAWorkerIsOverAtTheFirstListingOfOneWithAnotherID(t *testing.T) {
	for _, other := range []runs.Incarnation{{ID: "v", StartedAtMs: 2000}, {ID: "v", StartedAtMs: 500}} {
		g := NewWithT(t)
		f := newEvidenceFixture()
		f.runTask()
		f.describe(other)
		g.Expect(f.core.Finish().Decisions).NotTo(ContainElement(HaveField("Kind", BeElementOf(dispatch.DecidedRunEnded, dispatch.DecidedRunGivenUp))))
		f.core.ApplyListing(dispatch.WorkerListing{Host: evidenceHost, Incarnation: other, Number: 2, Requested: 2})
		g.Expect(f.core.Finish().Decisions).To(ContainElements(
			And(HaveField("Kind", dispatch.DecidedWorkerRestarted), HaveField("Detail", HavePrefix("w then v, started "))),
			And(HaveField("Kind", dispatch.DecidedRunGivenUp), HaveField("Detail", "worker restarted: w then v"))))
	}
}

// Guards against TWICE: the lease of a worker was taken for that of another one.
func TestLeaseLeftOfAnotherIncarnationIsNotThatOfTheKnownOne(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.runTask()
	f.addFreeHost()
	f.describe(otherIncarnations["another ID, born later"])
	f.core.WorkerUnreachable(evidenceHost, 0)
	f.advance(testLease)
	g.Expect(f.starts()).To(BeEmpty())
	f.core.HostPinged("free", 2)
	f.advance(time.Second)
	g.Expect(f.starts()).To(HaveLen(1), "its lease is over, and the sidecar reaches no worker")
}

// Guards against TWICE: a late start gave a restarted worker a lease by the earlier clock, and the
// holder took it for expired by its own count.
func TestLeaseThatALateStartHasLengthenedIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	run := f.runTask()
	f.addFreeHost()
	f.incarnation = otherIncarnations["the worker's ID, born later"]
	f.describe(f.incarnation)
	f.list(2, 2, run)
	f.core.WorkerUnreachable(evidenceHost, 0)
	for range 9 {
		f.core.HostPinged("free", 2)
		f.advance(time.Second)
		g.Expect(f.starts()).To(BeEmpty())
	}
	f.core.HostPinged("free", 2)
	f.advance(2 * time.Second)
	g.Expect(f.starts()).To(Equal([]int{run + 1}))
}

// Guards against ends that are handled anew, and records that are dropped, after a heartbeat of
// another worker.
func TestStateOfAWorkerSurvivesDescriptionsOfAnotherOne(t *testing.T) {
	for name, other := range otherIncarnations {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newEvidenceFixture()
			ends := []runs.End{{Number: 1, Task: f.task, Run: f.runTask()}}
			f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Ends: ends})
			f.describe(other)
			f.describe(f.incarnation)
			f.list(3, 3)
			g.Expect(f.forgotten()).To(BeEmpty())
			out := f.core.Finish()
			g.Expect(out.Orders).To(ConsistOf(HaveField("Acknowledged", uint64(1))))
			ends = []runs.End{{Number: 2, Task: f.task, Run: 99}}
			f.listing(dispatch.WorkerListing{Number: 4, Requested: 4, Ends: ends})
			g.Expect(f.core.Finish().Decisions).NotTo(ContainElement(HaveField("Kind", dispatch.DecidedEndsMissed)))
		})
	}
}

// Guards against TWICE: a new holder took a heartbeat of another worker for the end of the one
// that an earlier holder had used.
func TestDescriptionOfAnotherIncarnationDoesNotEndTheWaitOfANewHolder(t *testing.T) {
	for name, other := range otherIncarnations {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newEvidenceFixture()
			f.takeOver(dispatch.WorkerRecord{Incarnation: f.incarnation, Host: evidenceHost})
			f.describe(other)
			f.core.WorkerUnreachable(evidenceHost, 0)
			f.advance(testLease)
			f.core.HostPinged("free", 2)
			g.Expect(f.starts()).To(BeEmpty())
			g.Expect(f.forgotten()).To(BeEmpty())
			f.describe(f.incarnation)
			f.list(1, 1, 1)
			g.Expect(f.starts()).To(BeEmpty(), "its run is adopted")
			g.Expect(f.forgotten()).NotTo(ContainElement(f.incarnation))
		})
	}
}

// Guards against TWICE: a worker's heartbeat reached the sidecar of another host, and the record
// of the worker was dropped, so that a later holder did not wait for it.
func TestRecordOfAnotherHostsWorkerIsKept(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	neighbour := runs.Incarnation{ID: "free", StartedAtMs: 7}
	f.takeOver(dispatch.WorkerRecord{Incarnation: neighbour, Host: "free"})
	f.describe(neighbour)
	f.describe(f.incarnation)
	f.list(1, 1)
	g.Expect(f.forgotten()).To(BeEmpty())
	f.describe(neighbour)
	f.core.WorkerUnreachable(evidenceHost, -1)
	f.advance(2 * testLease)
	g.Expect(f.forgotten()).To(ConsistOf(f.incarnation))
}

// Guards against TWICE: a worker whose record was dropped before it listed its runs got tasks
// without a record, so that a later holder did not wait for it.
func TestWorkerThatListsAfterItsRecordWasDroppedIsRecordedAgain(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.takeOver(dispatch.WorkerRecord{Incarnation: f.incarnation, Host: evidenceHost})
	f.describe(f.incarnation)
	f.advance(testAuthority + 2*testLease)
	g.Expect(f.forgotten()).To(ConsistOf(f.incarnation))
	f.core.HostPinged(evidenceHost, 2)
	f.list(1, 1)
	g.Expect(f.starts()).To(BeEmpty())
	f.store()
	g.Expect(f.starts()).To(HaveLen(1))
}

// Guards against TWICE: the removal of a worker's record was stored after the record that
// followed it, so that a later holder did not wait for the worker.
func TestRemovalOfARecordIsNotStoredAfterALaterRecord(t *testing.T) {
	for _, failed := range []bool{false, true} {
		g := NewWithT(t)
		f := newEvidenceFixture()
		f.core.HostLost(evidenceHost)
		f.advance(2 * testLease)
		single := dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10, Single: true}
		removal := dispatch.Batch{}
		if failed {
			removal = f.core.NextBatch(single)
		}
		f.link(2, 1)
		f.list(2, 2)
		f.core.BatchFailed(removal)
		record := f.core.NextBatch(single)
		g.Expect(record.Workers).To(HaveLen(1))
		f.core.BatchStored(record)
		g.Expect(f.forgotten()).To(BeEmpty())
	}
}

// Guards against LOST: after a heartbeat of another worker, a new holder waited for a lease that
// the sidecar knew to be over.
func TestNewHolderBelievesTheLeaseLeftOfTheWorkerDescribedLast(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	f.takeOver(dispatch.WorkerRecord{Incarnation: f.incarnation, Host: evidenceHost})
	f.describe(otherIncarnations["another ID, born later"])
	f.describe(f.incarnation)
	f.core.WorkerUnreachable(evidenceHost, 0)
	g.Expect(f.starts()).To(BeEmpty())
	f.advance(200 * time.Millisecond)
	g.Expect(f.starts()).To(HaveLen(1))
}
