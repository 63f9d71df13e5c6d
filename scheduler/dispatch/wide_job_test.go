package dispatch_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	wideJobs  = 16
	wideTasks = 120_000
	// wideBytesPerTask bounds the memory of a task that waits or is done: all tasks of all wide jobs
	// take less than 4 MB, where an entry has some hundreds.
	wideBytesPerTask = 2
)

// wideJob returns a job with one step of many tasks.
func wideJob(n, tasks int) *carobkeel.JobSpec {
	return &carobkeel.JobSpec{
		ID: carobkeel.JobID(fmt.Sprintf("%016x", n)), Queue: testQueue(0, 3), Payload: "payload",
		Steps: []carobkeel.Step{{Count: tasks, Demand: carobkeel.Resources{MilliCPU: 10, MemoryBytes: 1 << 20}, Estimate: time.Second}},
	}
}

// Guards against Fault: 16 jobs of 120,000 waiting tasks took more memory than an entry has, and a new holder
// read them again.
func TestMemoryOfAJobDoesNotGrowWithItsWaitingTasks(t *testing.T) {
	for name, restore := range map[string]func(core *dispatch.Core, job *carobkeel.JobSpec){
		"accepted": func(*dispatch.Core, *carobkeel.JobSpec) {},
		"taken over, some tasks done": func(core *dispatch.Core, job *carobkeel.JobSpec) {
			p := dispatch.Progress{Job: job.ID, State: carobkeel.JobActive}
			for i := range 1000 {
				p.Tasks = append(p.Tasks, dispatch.TaskProgress{Task: carobkeel.TaskName{Job: job.ID, Index: 3 * i}, Done: true})
			}
			core.Restore(p)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim := startedSimulation(32000)
			core := dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: testLease}, sim.time(), nil)
			before := heapBytes()
			for n := range wideJobs {
				job := wideJob(n, wideTasks)
				core.AddJob(job, false)
				restore(core, job)
			}
			core.Finish()
			core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 1 << 20})
			g.Expect(heapBytes()).To(BeNumerically("<", before+wideJobs*wideTasks*wideBytesPerTask))
			runtime.KeepAlive(core)
		})
	}
}

// Guards against Fault: the bound on accepted jobs counted less than they take.
func TestFootprintCoversWhatJobsTake(t *testing.T) {
	const jobs = 5000
	for name, payload := range map[string]int{"small": 10, "largest payload": 4000} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim := startedSimulation(32000)
			core := dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: testLease}, sim.time(), nil)
			before := heapBytes()
			for n := range jobs {
				job := wideJob(n, wideTasks)
				job.Payload = strings.Repeat("p", payload)
				core.AddJob(job, false)
			}
			core.Finish()
			g.Expect(core.Footprint()).To(BeNumerically(">", heapBytes()-before))
			runtime.KeepAlive(core)
		})
	}
}

// Guards against Fault: the progress of a job named each task that was done, at each write.
func TestProgressOfDoneTasksIsStoredByRanges(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	job := f.job()
	job.Steps[0].Count = wideTasks
	f.core.AddJob(job, true)
	task := func(index int) carobkeel.TaskName { return carobkeel.TaskName{Job: job.ID, Index: index} }
	stored := []dispatch.TaskProgress{
		{Task: task(7), Done: true, Count: 100_000},
		{Task: task(110_000), FailedRuns: []int{4}},
		{Task: task(110_001), Done: true},
	}
	f.core.Restore(dispatch.Progress{Job: job.ID, State: carobkeel.JobActive, Tasks: stored})
	f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Ends: []runs.End{{Number: 1, Task: task(6), Run: 2, Outcome: runs.OutcomeDone}}})
	batch := f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 1 << 20})
	g.Expect(batch.Progress).To(HaveLen(1))
	stored[0] = dispatch.TaskProgress{Task: task(6), Done: true, Count: 100_001}
	g.Expect(batch.Progress[0].Tasks).To(Equal(stored))
}

// Guards against LOST: a round started all tasks of a large job at once, while leases, listings and ends of others
// waited for it.
func TestRoundOrdersABoundedNumberOfStarts(t *testing.T) {
	const mostStarts, workers, perWorker = 256, 8, 100
	g := NewWithT(t)
	z := newZone(workers)
	z.core.AddJob(wideJob(1, wideTasks), false)
	started := make(map[carobkeel.TaskName]bool)
	for rounds := 0; len(started) < workers*perWorker; rounds++ {
		g.Expect(rounds).To(BeNumerically("<", workers*perWorker/mostStarts+2))
		out := z.core.Finish()
		for _, o := range out.Orders {
			started[o.Task] = true
		}
		g.Expect(len(out.Orders)).To(BeNumerically("<=", mostStarts))
		if len(out.Orders) == mostStarts {
			g.Expect(out.Wake).To(BeNumerically("<=", z.now), "the next round follows at once")
		}
	}
	for index := range workers * perWorker {
		g.Expect(started).To(HaveKey(carobkeel.TaskName{Job: wideJob(1, 1).ID, Index: index}), "in their order")
	}
}

// Guards against LOST: a large job kept an urgent one of others from starting.
func TestUrgentTasksStartBesideALargeJob(t *testing.T) {
	g := NewWithT(t)
	z := newZone(8)
	z.core.AddJob(wideJob(1, wideTasks), false)
	urgent := wideJob(2, 3)
	urgent.Queue = testQueue(0, 3)
	large := wideJob(3, wideTasks)
	large.Queue = testQueue(2, 3)
	z.core.AddJob(large, false)
	z.core.AddJob(urgent, false)
	orders := z.core.Finish().Orders
	count := 0
	for _, o := range orders {
		if o.Task.Job == urgent.ID {
			count++
		}
		g.Expect(o.Task.Job).NotTo(Equal(large.ID), "less urgent")
	}
	g.Expect(count).To(Equal(3))
}

// BenchmarkStartBesideWaitingTasks measures a round of placement that fills three workers, by the number of
// tasks of the step.
func BenchmarkStartBesideWaitingTasks(b *testing.B) {
	for _, tasks := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			starts := 0
			for range b.N {
				b.StopTimer()
				z := newZone(3)
				z.core.AddJob(wideJob(1, tasks), false)
				b.StartTimer()
				starts += len(z.core.Finish().Orders)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(starts), "ns/start")
		})
	}
}
