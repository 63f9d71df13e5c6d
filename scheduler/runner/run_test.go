package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/jobs"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/worker/standin"
)

// TestSubmittedJobRunsToItsEnd runs the loop as an entry does. A job is submitted,
// throttled, evicted, resumed and succeeds. At the end the lease is released.
func TestSubmittedJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows, record, begun := memory.New(), standin.NewRecord(), time.Now()
		now := func() scheduler.Instant { return scheduler.Instant(time.Since(begun)) }
		worker := standin.New(standin.Config{
			ID: "worker-1", Location: carobkeel.Location{DataCentre: "east"}, Capacity: oneTask,
			Timing: scheduler.DefaultTiming(), RunTime: time.Minute, Now: now, Record: record,
		})
		r := New(Config{
			Shard: testShard, Self: "scheduler-1", Timing: scheduler.DefaultTiming(), Table: rows,
			Workers: NewLocal(worker), Now: now, WallClock: time.Now, RoundInterval: DefaultRoundInterval, HeartbeatInterval: DefaultHeartbeatInterval,
			MaxBatchRows: DefaultMaxBatchRows, MaxPlacements: DefaultMaxPlacements,
			Metrics: NewMetrics(tally.NoopScope), Log: logging.Discard().For("scheduler"),
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		service, err := jobs.New(ctx, jobs.Config{
			Table: rows, Incarnation: 1, Shards: []scheduler.ShardID{testShard}, Delay: jobs.DefaultDelay,
			Timeout: jobs.DefaultTimeout, MaxJobs: jobs.DefaultMaxJobs, MaxRequests: jobs.DefaultMaxRequests,
		})
		g.Expect(err).NotTo(HaveOccurred())
		job, err := service.Submit(ctx, &carobkeel.Entry{
			Name: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: oneTask,
		})
		g.Expect(err).NotTo(HaveOccurred())
		// The clock of the synctest bubble advances only while all goroutines are
		// blocked.
		state := func(after time.Duration) scheduler.State {
			<-time.After(after)
			found, err := service.Get(ctx, job.ID)
			g.Expect(err).NotTo(HaveOccurred())
			return found.State
		}
		g.Expect(state(5 * time.Second)).To(Equal(scheduler.StateRunning))
		g.Expect(r.Throttle(job.Ref().Task, 50)).To(BeTrue())
		g.Expect(r.Evict(job.Ref().Task)).To(BeTrue())
		g.Expect(state(time.Minute)).To(Equal(scheduler.StateRunning))
		g.Expect(state(2 * time.Minute)).To(Equal(scheduler.StateSucceeded))
		g.Expect(record.Starts(job.Ref().Task)).To(Equal(2))
		g.Expect(record.Violations()).To(BeEmpty())

		g.Expect(r.Status().Held).To(BeTrue())
		cancel()
		g.Expect(<-ended).NotTo(HaveOccurred())
		lease, err := store.New(rows, testShard).Lease(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(lease.Epoch.Released).To(BeTrue())
	})
}
