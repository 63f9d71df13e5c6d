package holder_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// recordedCalls keeps the calls to a worker, so that each can be carried out once more, late.
type recordedCalls struct {
	*realTimeWorker

	calls sync.Mutex
	late  []func() runs.Result
}

func (w *recordedCalls) record(call func() runs.Result) {
	w.calls.Lock()
	defer w.calls.Unlock()
	w.late = append(w.late, call)
}

func (w *recordedCalls) Start(ctx context.Context, e runs.Envelope, order runs.Start) (runs.Answer, error) {
	w.record(func() runs.Result {
		answer, _ := w.realTimeWorker.Start(context.Background(), e, order)
		return answer.Result
	})
	return w.realTimeWorker.Start(ctx, e, order)
}

func (w *recordedCalls) List(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	w.record(func() runs.Result {
		_, answer, _ := w.realTimeWorker.List(context.Background(), e, acknowledged, 0)
		return answer.Result
	})
	return w.realTimeWorker.List(ctx, e, acknowledged, wait)
}

// takeLate returns the calls since the last time.
func (w *recordedCalls) takeLate() []func() runs.Result {
	w.calls.Lock()
	defer w.calls.Unlock()
	late := w.late
	w.late = nil
	return late
}

// Guards against TWICE: calls that a worker's earlier incarnation had received were carried out
// by the next one, which began runs that were done and forgot ends that nobody had read.
func TestCallsToAnEarlierIncarnationOfAWorkerHaveNoEffectOnTheNext(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 1, 0)
	worker := &recordedCalls{realTimeWorker: f.newWorker("host-0")}
	a, _ := f.startSidecar(t, "host-0", worker)
	a.RecordHeartbeat(worker.worker.Description())
	first := f.submit(g, f.entries[0], 1)
	g.Eventually(state(f.entries[0], first), waitTimeout).Should(Equal(carobkeel.JobCompleted))

	f.mu.Lock()
	worker.worker.Crash()
	next := worker.worker.Description()
	f.mu.Unlock()
	late := worker.takeLate()
	a.RecordHeartbeat(next)
	second := f.submit(g, f.entries[0], 2)
	g.Eventually(state(f.entries[0], second), waitTimeout).Should(Equal(carobkeel.JobCompleted))
	for _, call := range late {
		g.Expect(call()).To(Equal(runs.ResultStaleEpoch))
	}
	g.Expect(f.violations()).To(BeEmpty())
}

// countLate returns the number of calls since the last time.
func (w *recordedCalls) countLate() int {
	w.calls.Lock()
	defer w.calls.Unlock()
	return len(w.late)
}

// Guards against TWICE: the worker of a host that came back carried out what its earlier
// incarnation had been sent, until its first heartbeat reached the sidecar.
func TestLateCallsAreRefusedBeforeTheFirstHeartbeatAfterARestartOfTheHost(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 1, 0)
	worker := &recordedCalls{realTimeWorker: f.newWorker("host-0")}
	a, stop := f.startSidecar(t, "host-0", worker)
	a.RecordHeartbeat(worker.worker.Description())
	job := f.submit(g, f.entries[0], 1)
	g.Eventually(state(f.entries[0], job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
	stop()
	f.mu.Lock()
	worker.worker.Crash()
	f.mu.Unlock()
	late := worker.takeLate()
	f.startSidecar(t, "host-0", worker)
	g.Eventually(worker.countLate, waitTimeout).Should(BeNumerically(">", 1))
	for _, call := range late {
		g.Expect(call()).To(Equal(runs.ResultStaleEpoch))
	}
	g.Expect(f.violations()).To(BeEmpty())
}
