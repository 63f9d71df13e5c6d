package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// newTakeoverFixture returns a fixture whose holder has taken over from one that used its worker,
// which has not listed yet.
func newTakeoverFixture() *evidenceFixture {
	f := newEvidenceFixture()
	f.takeOver(dispatch.WorkerRecord{Incarnation: f.incarnation, Host: evidenceHost})
	f.describe(f.incarnation)
	return f
}

// Guards against TWICE: a worker had more ends than it lists at a time when a new holder came,
// which started the tasks of the others again.
func TestPartialListingDoesNotEndTheWaitOfANewHolder(t *testing.T) {
	g := NewWithT(t)
	f := newTakeoverFixture()
	f.listing(dispatch.WorkerListing{Number: 1, Requested: 1, Partial: true})
	g.Expect(f.starts()).To(BeEmpty(), "the task's run may be among the ends that are not listed")
	f.list(2, 2)
	g.Expect(f.starts()).To(HaveLen(1))
}

// Guards against LOST: a row that can't be decoded makes all listings of a worker partial.
func TestListingsThatStayPartialHoldBackInheritedTasksForAWhileOnly(t *testing.T) {
	g := NewWithT(t)
	f := newTakeoverFixture()
	started := 0
	for number := uint64(1); number < 40; number++ {
		f.core.HostPinged(evidenceHost, number)
		f.core.HostPinged("free", number)
		f.listing(dispatch.WorkerListing{Number: number, Requested: number, Partial: true})
		f.advance(300 * time.Millisecond)
		started += len(f.starts())
		g.Expect(f.forgotten()).To(BeEmpty(), "the worker has listed")
		if time.Duration(number)*300*time.Millisecond < testAuthority+testLease {
			g.Expect(started).To(BeZero())
		}
	}
	g.Expect(started).To(BeNumerically(">", 0))
}

// expectNoStartFor lets time pass in which all hosts ping and nothing is to start.
func (f *evidenceFixture) expectNoStartFor(g Gomega, d time.Duration) {
	const interval = 100 * time.Millisecond
	for ; d > 0; d -= interval {
		f.advance(interval)
		f.core.HostPinged(evidenceHost, 1)
		f.core.HostPinged("free", 1)
		g.Expect(f.starts()).To(BeEmpty())
	}
}

// Guards against TWICE: a first listing that was partial came shortly before the leases of earlier
// holders ended, and the tasks of the ends that it lacked were started again.
func TestPartialListingHoldsBackInheritedTasksForOneLease(t *testing.T) {
	g := NewWithT(t)
	f := newTakeoverFixture()
	f.expectNoStartFor(g, testAuthority+testLease)
	f.listing(dispatch.WorkerListing{Number: 1, Requested: 1, Partial: true})
	f.expectNoStartFor(g, testLease)
	f.list(2, 2)
	g.Expect(f.starts()).To(HaveLen(1))
}

// Guards against TWICE: the link ended after a first listing that was partial.
func TestTasksOfAPartlyListedWorkerWaitForItsLease(t *testing.T) {
	g := NewWithT(t)
	f := newTakeoverFixture()
	f.expectNoStartFor(g, testAuthority)
	f.listing(dispatch.WorkerListing{Number: 1, Requested: 1, Partial: true})
	f.expectNoStartFor(g, testLease)
	f.core.HostLost(evidenceHost)
	f.advance(testLease)
	g.Expect(f.starts()).To(BeEmpty())
	f.core.HostPinged("free", 1)
	f.advance(300 * time.Millisecond)
	g.Expect(f.starts()).To(HaveLen(1))
}

// Guards against TWICE: a worker took longer than a lease to list its ends, some at a time.
func TestPartialListingsThatNameFurtherInheritedEndsGoOnHoldingBack(t *testing.T) {
	g := NewWithT(t)
	f := newTakeoverFixture()
	f.expectNoStartFor(g, testAuthority+testLease)
	for number := uint64(1); number < 4; number++ {
		end := runs.End{Number: number, Task: carobkeel.TaskName{Job: "0000000000000002"}, Run: 1, Outcome: runs.OutcomeDone}
		f.listing(dispatch.WorkerListing{Number: number, Requested: number, Partial: true, Ends: []runs.End{end}})
		f.expectNoStartFor(g, testLease)
	}
}

// Guards against TWICE: time alone released what a worker had not listed, while its next listing
// was under way.
func TestPartlyListedWorkerHoldsBackInheritedTasksUntilItsNextListing(t *testing.T) {
	g := NewWithT(t)
	f := newTakeoverFixture()
	f.listing(dispatch.WorkerListing{Number: 1, Requested: 1, Partial: true})
	f.expectNoStartFor(g, testAuthority+2*testLease)
	f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Partial: true})
	g.Expect(f.starts()).To(HaveLen(1))
}

// Guards against TWICE: the first listing over the next link was as partial as the one before.
func TestPartlyListedWorkerHasALeaseToListTheRestOverItsNextLink(t *testing.T) {
	g := NewWithT(t)
	f := newTakeoverFixture()
	f.expectNoStartFor(g, testAuthority)
	f.listing(dispatch.WorkerListing{Number: 1, Requested: 1, Partial: true})
	f.expectNoStartFor(g, testLease)
	f.core.HostLost(evidenceHost)
	f.advance(testLease)
	f.link(3, 1)
	f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Partial: true})
	f.expectNoStartFor(g, testLease)
	f.list(3, 3)
	g.Expect(f.starts()).To(HaveLen(1))
}
