package holder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
)

// testLeaseOnHolder is the longest time that a holder counts for an ordinary lease.
const testLeaseOnHolder = testWorkerLease + 250*time.Millisecond

// Guards against TWICE: a host was dark for longer than its worker's lease, and the holder that knew of
// the worker's earlier incarnation was gone when a late call lengthened the lease of the next one.
func TestTasksOfAHostThatWasDarkRunOnceAlthoughTheHolderHasChanged(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 2, 0)
	f.endless = true
	worker := &lateLeaseWorker{realTimeWorker: f.newWorker("host-0")}
	worker.worker.Advance(time.Minute) // its clock is far ahead of the next incarnation's
	a, stop := f.startSidecar(t, "host-0", worker)
	a.RecordHeartbeat(worker.worker.Description())
	worker.loses.Store(true)
	g.Eventually(worker.lost.Load, waitTimeout).ShouldNot(BeNil())

	stop() // the host is dark
	g.Expect(clock.Sleep(t.Context(), testLeaseOnHolder+time.Second)).To(Succeed())
	first := f.leader()
	first.stop()
	second := f.otherThan(first)
	g.Eventually(second.node.Leading, waitTimeout).Should(BeTrue())

	next := worker.restartWithLateCall()
	a, _ = f.startSidecar(t, "host-0", worker)
	a.RecordHeartbeat(next)
	f.submit(g, second, 1)
	g.Eventually(worker.countTasks, waitTimeout).Should(Equal(3))
	other, _ := f.startWorker(t, "host-1")
	worker.hangs.Store(true)
	g.Eventually(other.countTasks, waitTimeout).Should(Equal(3))
	g.Expect(f.violations()).To(BeEmpty())
}

// otherThan returns an entry that is not the given one.
func (f *cluster) otherThan(ended *entry) *entry {
	for _, e := range f.entries {
		if e != ended {
			return e
		}
	}
	return nil
}
