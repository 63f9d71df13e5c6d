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

// runningJob returns a world in which one job runs.
func runningJob(t *testing.T, timing scheduler.Timing) (*world, carobkeel.JobID) {
	t.Helper()
	w := newWorldWith(t, timing)
	w.until("held", settleLimit, func() bool { return w.holder() != nil })
	id := w.submit("job")
	w.until("running", settleLimit, func() bool { return w.job(id).State == scheduler.StateRunning })
	return w, id
}

func TestRunningTaskOutlivesAnHourWithoutTheStore(t *testing.T) {
	w, id := runningJob(t, scheduler.DefaultTiming())
	waiting := w.submit("waiting-1")
	second := w.submit("waiting-2")
	w.rounds(2)
	for _, s := range w.sides {
		s.storeDown = true
	}
	for range int(time.Hour / testRound) {
		w.rounds(1)
		if w.record.Live(carobkeel.TaskID(id)) != 1 {
			t.Fatal("the task was ended during the outage")
		}
	}
	for _, s := range w.sides {
		s.heal()
	}
	w.rounds(int(scheduler.DefaultTiming().ShardLease / testRound))
	NewWithT(t).Expect(w.record.Starts(carobkeel.TaskID(id))).To(Equal(1))
	for _, other := range []carobkeel.JobID{id, waiting, second} {
		w.until("running", settleLimit, func() bool { return w.record.Live(carobkeel.TaskID(other)) == 1 })
		for _, worker := range w.workers {
			worker.Finish(carobkeel.TaskID(other))
		}
	}
	w.judge()
}

func TestRackLostInTheMiddleOfAnEviction(t *testing.T) {
	g := NewWithT(t)
	w, id := runningJob(t, testTiming())
	evict(w, id)
	w.until("resumed", settleLimit, func() bool { return w.job(id).Generation == 2 })
	whole := w.job(id).Checkpoint
	g.Expect(whole).To(Equal(store.CheckpointName(scheduler.TaskRef{Task: carobkeel.TaskID(id), Generation: 1}, 1)))
	w.until("running", settleLimit, func() bool { return w.job(id).State == scheduler.StateRunning })

	w.tornCheckpoints = true
	evict(w, id)
	w.rounds(1)
	lost := w.host(id)
	lost.Kill()
	w.until("resumed elsewhere", settleLimit, func() bool {
		return w.job(id).Generation == 3 && w.job(id).Worker != lost.ID()
	})
	g.Expect(w.objects).To(HaveLen(2), "the half-written checkpoint is there")
	g.Expect(w.job(id).Checkpoint).To(Equal(whole))
	w.until("running", settleLimit, func() bool { return w.record.Live(carobkeel.TaskID(id)) == 1 })
	w.judge()
}

func TestJobThatNeverFitsIsHeldUntilTheFleetChanges(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t)
	w.until("held", settleLimit, func() bool { return w.holder() != nil })
	id := scheduler.NewJobID(testShard, "large")
	large := carobkeel.Resources{MilliCPU: 64_000, MemoryBytes: 1 << 30}
	w.request(store.Request{Key: "large", Submitted: string(id), Jobs: []scheduler.Job{
		{ID: id, Entry: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: large},
	}})
	w.until("told", settleLimit, func() bool { return w.job(id).State == scheduler.StateHeld })
	g.Expect(w.job(id).Code).To(Equal(carobkeel.CodeNeverFits))
	g.Expect(w.job(id).Reason).To(ContainSubstring("64000"))

	w.workers[1].SetCapacity(large)
	w.until("running", settleLimit, func() bool { return w.job(id).State == scheduler.StateRunning })
	w.judge()
}

func TestJobThatFailsOnEveryWorkerEndsAndNamesThem(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t)
	for _, worker := range w.workers {
		worker.SetFailAfter(50 * time.Millisecond)
	}
	id := w.submit("job")
	w.until("given up", settleLimit, func() bool { return w.job(id).State == scheduler.StateFailed })
	g.Expect(w.job(id).FailedOn).To(HaveLen(2))
	g.Expect(w.job(id).Reason).To(ContainSubstring("exit status 1"))
	w.judge()
}

func TestWaveOfCancellations(t *testing.T) {
	const wave = 1000
	g := NewWithT(t)
	w := newWorld(t)
	w.until("held", settleLimit, func() bool { return w.holder() != nil })
	request := store.Request{Key: "wave", Submitted: string(scheduler.NewJobID(testShard, "wave-"))}
	for i := range wave {
		id := scheduler.NewJobID(testShard, fmt.Sprintf("wave-%d", i))
		request.Jobs = append(request.Jobs, scheduler.Job{ID: id, Entry: "sample", Owner: "o", Demand: oneTask, Class: carobkeel.ClassBatch})
	}
	w.request(request)
	w.rounds(3)
	cancel := store.Request{Key: "wave-cancel"}
	for i := range request.Jobs {
		cancel.Cancelled = append(cancel.Cancelled, request.Jobs[i].ID)
	}
	w.request(cancel)
	w.until("cancelled", settleLimit, func() bool {
		jobs, err := store.New(w.rows, testShard).Jobs(t.Context(), "")
		g.Expect(err).NotTo(HaveOccurred())
		for i := range jobs {
			if jobs[i].State != scheduler.StateCancelled {
				return false
			}
		}
		return true
	})
	inbox, err := store.New(w.rows, testShard).Inbox(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(inbox).To(BeEmpty())
	for i := range request.Jobs {
		g.Expect(w.record.Live(carobkeel.TaskID(request.Jobs[i].ID))).To(BeZero())
	}
	w.judge()
}
