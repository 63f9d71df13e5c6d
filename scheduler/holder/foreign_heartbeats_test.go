package holder_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// foreignInterval is the time between two heartbeats, and foreignTime how long those of
	// another worker come. It is longer than a lease.
	foreignInterval = 150 * time.Millisecond
	foreignTime     = 5 * time.Second
)

// Guards against TWICE: a heartbeat of another worker released the runs of a live one.
func TestHeartbeatsOfAnotherWorkerDoNotRunTasksTwice(t *testing.T) {
	for name, other := range map[string]runs.Incarnation{
		"another ID":                  {ID: "w-other", StartedAtMs: 2},
		"the worker's ID, born later": {ID: "w-host-0", StartedAtMs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := startCluster(t, 1, 1)
			g.Expect(f.entries[0].jobs.Submit(context.Background(), longRunningJob())).To(Succeed())
			g.Eventually(f.clients[0].countTasks, waitTimeout).Should(Equal(1))
			f.startWorker(t, "host-1")
			g.Consistently(f.beatInTurn(other), foreignTime, foreignInterval).Should(Equal(1))
			g.Expect(f.violations()).To(BeEmpty())
		})
	}
}

// beatInTurn returns a function that sends a heartbeat to the first sidecar, of another worker
// and of its own in turn, and returns how often the task has been started.
func (f *cluster) beatInTurn(other runs.Incarnation) func() int {
	own := f.workers[0].Description()
	foreign := own
	foreign.Incarnation = other
	next, last := &foreign, &own
	return func() int {
		next.Sequence++
		f.agents[0].RecordHeartbeat(*next)
		next, last = last, next
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.record.Starts[carobkeel.TaskName{Job: longRunningJobID}]
	}
}
