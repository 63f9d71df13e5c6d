package holder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// cutOffWorker is a worker whose host is cut off from the holder of an epoch once it has carried
// out the first request for a listing, before the holder has that.
type cutOffWorker struct {
	*realTimeWorker

	epoch carobkeel.Epoch
	cut   func()
	// extended counts the requests under that epoch that extended the lease.
	extended atomic.Int64
}

func (w *cutOffWorker) List(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	listing, answer, err := w.realTimeWorker.List(ctx, e, acknowledged, wait)
	if e.Fence.Epoch == w.epoch {
		w.cut()
		if e.Deadline > 0 {
			w.extended.Add(1)
		}
	}
	return listing, answer, err
}

// remainingLease returns the rest of the worker's lease.
func (w *realTimeWorker) remainingLease() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.worker.Lease()
}

// Guards against TWICE: a new holder started the tasks of a worker elsewhere once the leases of
// earlier holders had ended, while the worker had one by a request whose listing was lost.
func TestTaskWaitsForTheLeaseOfAFirstListingThatIsLost(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 0, 0)
	old, _, oldAddress, _ := f.startNode(t, 1)
	g.Eventually(old.node.Leading, waitTimeout).Should(BeTrue())
	next, _, nextAddress, _ := f.startNode(t, 2)
	route := startRelay(t, nextAddress)
	route.cut.Store(true)
	silent := &cutOffWorker{realTimeWorker: f.newWorker("host-0"), epoch: 2, cut: func() { route.cut.Store(true) }}
	f.record.OnStart = func(carobkeel.TaskName, int) { silent.advance() } // its lease may have expired
	a, _ := f.startSidecarOf(t, "host-0", silent, oldAddress, route.address)
	a.RecordHeartbeat(silent.worker.Description())
	g.Expect(old.jobs.Submit(t.Context(), longRunningJob())).To(Succeed())
	g.Eventually(silent.countTasks, waitTimeout).Should(Equal(1))
	other := f.startWorkerOf(t, "host-1", oldAddress, nextAddress)

	old.node.Resign()
	g.Eventually(silent.remainingLease, waitTimeout).Should(BeNumerically("<", testWorkerLease/2))
	g.Eventually(next.node.Leading, waitTimeout).Should(BeTrue())
	route.cut.Store(false)
	route.breakLinks()
	g.Eventually(silent.extended.Load, waitTimeout).Should(BeNumerically(">", 0))
	g.Eventually(other.countTasks, waitTimeout).Should(Equal(1))
	g.Expect(f.violations()).To(BeEmpty())
}
