package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against jobs that wait for a lease that nobody has extended, again after each new link.
func TestNoLeaseIsLeftOnAWorkerThatThisProcessHasNeverReached(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{failure: context.DeadlineExceeded}
	known, _ := linkedAgent(worker)
	a := New(known.config, worker, nil, known.metrics, known.log)
	a.RecordHeartbeat(runs.Description{Incarnation: testIncarnation, Sequence: 1})
	g.Expect(a.leaseRemaining()).To(BeNumerically("~", a.config.WorkerLease, a.config.WorkerLease/10), "of an earlier process")
	a.started = clock.Boottime() - time.Hour
	g.Expect(a.leaseRemaining()).To(BeZero())
}

// Guards against TWICE: a call extended the lease of a worker that no holder had recorded, was lost, and
// lengthened the lease of the next incarnation, which nobody knew to follow another one.
func TestLeaseOfAWorkerThatIsNotRecordedIsNotExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := newLateWorker()
		a := startProcess(worker)
		l := answerAsHolder(a, 3, 1)
		a.holderLink.Store(l)
		for range 3 {
			listOnce(t, a)
			a.listForNewHolder(l)
		}
		g.Expect(isConfirmed(a)).To(BeTrue())
		g.Expect(worker.Lease()).To(BeZero())
		g.Expect(*a.leaseCalls.Load()).To(BeEmpty())

		start := runs.Start{Task: carobkeel.TaskName{Job: "j"}, Run: 1}
		_, err := a.start(t.Context(), a.envelope(a.state.Load(), testTerm), start)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(worker.Lease()).To(BeNumerically(">", 0))
		listOnce(t, a)
		g.Expect(a.extendedFor.Load()).To(BeZero())
		listOnce(t, a)
		g.Expect(a.extendedFor.Load()).To(BeNumerically(">", 0), "the last listing has shown the run")
	})
}

// Guards against TWICE: what an earlier holder had recorded was taken for a record of the present one's.
func TestLeaseIsExtendedOnceThePresentHolderHasRecordedTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := newLateWorker()
		a := startProcess(worker)
		l := answerAsHolder(a, 3, 1)
		a.holderLink.Store(l)
		listOnce(t, a)
		a.acknowledge(receivedOrder{link: &entryLink{}, order: dispatch.Order{Incarnation: testIncarnation}})
		listOnce(t, a)
		g.Expect(worker.Lease()).To(BeZero(), "another link")
		a.acknowledge(receivedOrder{link: l, order: dispatch.Order{Incarnation: runs.Incarnation{ID: testIncarnation.ID, StartedAtMs: 99}}})
		listOnce(t, a)
		g.Expect(worker.Lease()).To(BeZero(), "another incarnation")
		a.acknowledge(receivedOrder{link: l, order: dispatch.Order{Incarnation: testIncarnation}})
		listOnce(t, a)
		g.Expect(worker.Lease()).To(BeNumerically(">", 0))
	})
}
