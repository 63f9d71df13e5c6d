package holder_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// sharedAddress passes each call on to the worker that it names.
type sharedAddress map[string]*realTimeWorker

func (s sharedAddress) Start(ctx context.Context, e runs.Envelope, order runs.Start) (runs.Answer, error) {
	return s[e.Incarnation.ID].Start(ctx, e, order)
}

func (s sharedAddress) Stop(ctx context.Context, e runs.Envelope, order runs.Stop) (runs.Answer, error) {
	return s[e.Incarnation.ID].Stop(ctx, e, order)
}

func (s sharedAddress) Pace(ctx context.Context, e runs.Envelope, order runs.Pace) (runs.Answer, error) {
	return s[e.Incarnation.ID].Pace(ctx, e, order)
}

func (s sharedAddress) List(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	return s[e.Incarnation.ID].List(ctx, e, acknowledged, wait)
}

// Guards against TWICE: at a release the new worker of a host replaced the old one, which ran on.
func TestNewWorkerBesideTheOldOneDoesNotRunItsTasksTwice(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 1, 0)
	old, next := f.newWorker("host-0"), f.newWorker("next")
	address := sharedAddress{"w-host-0": old, "w-next": next}
	a, _ := f.startSidecar(t, "host-0", address)
	a.RecordHeartbeat(old.worker.Description())
	g.Expect(f.entries[0].jobs.Submit(context.Background(), longRunningJob())).To(Succeed())
	g.Eventually(old.countTasks, waitTimeout).Should(Equal(1))
	a.RecordHeartbeat(next.worker.Description())
	starts := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.record.Starts[carobkeel.TaskName{Job: longRunningJobID}]
	}
	g.Consistently(starts, time.Second).Should(Equal(1))
	g.Expect(f.violations()).To(BeEmpty())
}
