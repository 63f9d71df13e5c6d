package runner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/store"
)

// runningJob returns a cluster with one running job, and the job's id.
func runningJob(t *testing.T, timing scheduler.Timing) (*cluster, carobkeel.JobID) {
	t.Helper()
	c := newClusterWithTiming(t, timing)
	c.until("held", settleLimit, func() bool { return c.holder() != nil })
	id := c.submit("job")
	c.until("running", settleLimit, func() bool { return c.job(id).State == scheduler.StateRunning })
	return c, id
}

func TestRunningTaskOutlivesAnHourWithoutTheStore(t *testing.T) {
	c, id := runningJob(t, scheduler.DefaultTiming())
	waiting := c.submit("waiting-1")
	second := c.submit("waiting-2")
	c.rounds(2)
	for _, s := range c.schedulers {
		s.storeDown = true
	}
	for range int(time.Hour / testRound) {
		c.rounds(1)
		if c.record.Running(carobkeel.TaskID(id)) != 1 {
			t.Fatal("the task did not keep running during the outage")
		}
	}
	for _, s := range c.schedulers {
		s.heal()
	}
	c.rounds(int(scheduler.DefaultTiming().ShardLease / testRound))
	NewWithT(t).Expect(c.record.Starts(carobkeel.TaskID(id))).To(Equal(1))
	for _, other := range []carobkeel.JobID{id, waiting, second} {
		c.until("running", settleLimit, func() bool { return c.record.Running(carobkeel.TaskID(other)) == 1 })
		for _, worker := range c.workers {
			worker.Finish(carobkeel.TaskID(other))
		}
	}
	c.checkBreaches()
}

func TestRackLostInTheMiddleOfAnEviction(t *testing.T) {
	g := NewWithT(t)
	c, id := runningJob(t, testTiming())
	evict(c, id)
	c.until("resumed", settleLimit, func() bool { return c.job(id).Run == 2 })
	complete := c.job(id).Checkpoint
	g.Expect(complete).To(Equal(store.CheckpointName(scheduler.RunRef{Task: carobkeel.TaskID(id), Run: 1}, 1)))
	c.until("running", settleLimit, func() bool { return c.job(id).State == scheduler.StateRunning })

	c.truncateCheckpoints = true
	evict(c, id)
	c.rounds(1)
	lost := c.workerOfOrFirst(id)
	lost.Kill()
	c.until("resumed elsewhere", settleLimit, func() bool {
		return c.job(id).Run == 3 && c.job(id).Worker != lost.ID()
	})
	g.Expect(c.objects).To(HaveLen(2), "the half-written checkpoint is there")
	g.Expect(c.job(id).Checkpoint).To(Equal(complete))
	c.until("running", settleLimit, func() bool { return c.record.Running(carobkeel.TaskID(id)) == 1 })
	c.checkBreaches()
}

func TestJobThatNeverFitsIsHeldUntilTheFleetChanges(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t)
	c.until("held", settleLimit, func() bool { return c.holder() != nil })
	id := scheduler.NewJobID(testShard, "large")
	large := carobkeel.Resources{MilliCPU: 64_000, MemoryBytes: 1 << 30}
	c.request(store.Request{Key: "large", Submitted: string(id), Jobs: []scheduler.Job{
		{ID: id, Entry: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: large},
	}})
	c.until("held", settleLimit, func() bool { return c.job(id).State == scheduler.StateHeld })
	g.Expect(c.job(id).Code).To(Equal(carobkeel.CodeNeverFits))
	g.Expect(c.job(id).Reason).To(ContainSubstring("64000"))

	c.workers[1].SetCapacity(large)
	c.until("running", settleLimit, func() bool { return c.job(id).State == scheduler.StateRunning })
	c.checkBreaches()
}

func TestJobThatFailsOnEveryWorkerEndsAndNamesThem(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t)
	for _, worker := range c.workers {
		worker.SetFailAfter(50 * time.Millisecond)
	}
	id := c.submit("job")
	c.until("failed", settleLimit, func() bool { return c.job(id).State == scheduler.StateFailed })
	g.Expect(c.job(id).FailedOn).To(HaveLen(2))
	g.Expect(c.job(id).Reason).To(ContainSubstring("exit status 1"))
	c.checkBreaches()
}

func TestWaveOfCancellations(t *testing.T) {
	const wave = 1000
	g := NewWithT(t)
	c := newCluster(t)
	c.until("held", settleLimit, func() bool { return c.holder() != nil })
	request := store.Request{Key: "wave", Submitted: string(scheduler.NewJobID(testShard, "wave-"))}
	for i := range wave {
		id := scheduler.NewJobID(testShard, fmt.Sprintf("wave-%d", i))
		request.Jobs = append(request.Jobs, scheduler.Job{ID: id, Entry: "sample", Owner: "o", Demand: oneTask, Class: carobkeel.ClassBatch})
	}
	c.request(request)
	c.rounds(3)
	cancel := store.Request{Key: "wave-cancel"}
	for i := range request.Jobs {
		cancel.Cancelled = append(cancel.Cancelled, request.Jobs[i].ID)
	}
	c.request(cancel)
	c.until("cancelled", settleLimit, func() bool {
		jobs, err := store.New(c.rows, testShard).Jobs(t.Context(), "")
		g.Expect(err).NotTo(HaveOccurred())
		for i := range jobs {
			if jobs[i].State != scheduler.StateCancelled {
				return false
			}
		}
		return true
	})
	inbox, err := store.New(c.rows, testShard).Inbox(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(inbox).To(BeEmpty())
	for i := range request.Jobs {
		g.Expect(c.record.Running(carobkeel.TaskID(request.Jobs[i].ID))).To(BeZero())
	}
	c.checkBreaches()
}
