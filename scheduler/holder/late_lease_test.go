package holder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/worker/runs"
)

// lateLeaseWorker is a worker that can leave a listing call unanswered that extends its lease, and
// hang.
type lateLeaseWorker struct {
	*realTimeWorker
	loses, hangs atomic.Bool
	lost         atomic.Pointer[runs.Envelope]
}

func (w *lateLeaseWorker) List(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	if w.isHanging() {
		return runs.Listing{}, runs.Answer{}, context.DeadlineExceeded
	}
	if e.Deadline != 0 && w.loses.CompareAndSwap(true, false) {
		w.lost.Store(&e)
		return runs.Listing{}, runs.Answer{}, context.DeadlineExceeded
	}
	return w.realTimeWorker.List(ctx, e, acknowledged, wait)
}

func (w *lateLeaseWorker) Start(ctx context.Context, e runs.Envelope, order runs.Start) (runs.Answer, error) {
	if w.isHanging() {
		return runs.Answer{}, context.DeadlineExceeded
	}
	return w.realTimeWorker.Start(ctx, e, order)
}

func (w *lateLeaseWorker) Stop(ctx context.Context, e runs.Envelope, order runs.Stop) (runs.Answer, error) {
	if w.isHanging() {
		return runs.Answer{}, context.DeadlineExceeded
	}
	return w.realTimeWorker.Stop(ctx, e, order)
}

// isHanging reports whether the worker answers nothing. Its runs go on meanwhile.
func (w *lateLeaseWorker) isHanging() bool {
	w.countTasks()
	return w.hangs.Load()
}

// restartWithLateCall begins the worker anew, which carries the lost call out, and returns its
// description.
func (w *lateLeaseWorker) restartWithLateCall() runs.Description {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.worker.Crash()
	_, _, _ = w.worker.List(context.Background(), *w.lost.Load(), 0, 0)
	return w.worker.Description()
}

// Guards against TWICE: a listing call to a worker's earlier incarnation lengthened the lease of
// the next one, and the holder started its tasks elsewhere while they ran on.
func TestTasksUnderALeaseThatALateCallHasLengthenedRunOnce(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 1, 0)
	f.endless = true
	worker := &lateLeaseWorker{realTimeWorker: f.newWorker("host-0")}
	worker.worker.Advance(time.Minute) // its clock is far ahead of the next incarnation's
	a, _ := f.startSidecar(t, "host-0", worker)
	a.RecordHeartbeat(worker.worker.Description())
	worker.loses.Store(true)
	g.Eventually(worker.lost.Load, waitTimeout).ShouldNot(BeNil())
	a.RecordHeartbeat(worker.restartWithLateCall())
	f.submit(g, f.entries[0], 1)
	g.Eventually(worker.countTasks, waitTimeout).Should(Equal(3))
	other, _ := f.startWorker(t, "host-1")
	worker.hangs.Store(true)
	g.Eventually(other.countTasks, waitTimeout).Should(Equal(3))
	g.Expect(f.violations()).To(BeEmpty())
}
