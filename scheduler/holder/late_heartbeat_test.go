package holder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// slowAnswer is how long a slow worker takes to answer a listing.
const slowAnswer = 50 * time.Millisecond

// slowWorker takes a while to answer listings, as one that has just begun.
type slowWorker struct {
	*lateLeaseWorker
	slow atomic.Bool
	// answering is the number of listings that are under way.
	answering atomic.Int64
}

func (w *slowWorker) List(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	listing, answer, err := w.lateLeaseWorker.List(ctx, e, acknowledged, wait)
	if w.slow.Load() {
		w.answering.Add(1)
		defer w.answering.Add(-1)
		_ = clock.Sleep(ctx, slowAnswer)
	}
	return listing, answer, err
}

// Guards against TWICE: a heartbeat of the earlier incarnation that was delayed arrived while the next one
// answered its first listing. The holder got that listing without word of the late lease.
func TestTasksRunOnceThoughALateHeartbeatComesDuringTheFirstListing(t *testing.T) {
	for name, delayed := range map[string]bool{"no late heartbeat": false, "late heartbeat": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := startCluster(t, 1, 0)
			f.endless = true
			worker := &slowWorker{lateLeaseWorker: &lateLeaseWorker{realTimeWorker: f.newWorker("host-0")}}
			worker.worker.Advance(time.Minute) // its clock is far ahead of the next incarnation's
			a, _ := f.startSidecar(t, "host-0", worker)
			earlier := worker.worker.Description()
			a.RecordHeartbeat(earlier)
			worker.loses.Store(true)
			g.Eventually(worker.lost.Load, waitTimeout).ShouldNot(BeNil())
			worker.slow.Store(true)
			a.RecordHeartbeat(worker.restartWithLateCall())
			if delayed {
				g.Eventually(worker.answering.Load, waitTimeout, time.Millisecond).Should(BeNumerically(">", 0))
				earlier.Sequence += 100
				a.RecordHeartbeat(earlier)
			}
			f.submit(g, f.entries[0], 1)
			g.Eventually(worker.countTasks, waitTimeout).Should(Equal(3))
			other, _ := f.startWorker(t, "host-1")
			worker.hangs.Store(true)
			g.Eventually(other.countTasks, waitTimeout).Should(Equal(3))
			g.Expect(f.violations()).To(BeEmpty())
		})
	}
}
