package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// repeatedJob returns a job that repeats, from a time of the simulation on.
func repeatedJob(sim *simulation, n, times int, first, period time.Duration, steps ...carobkeel.Step) *carobkeel.JobSpec {
	return &carobkeel.JobSpec{
		ID: carobkeel.JobID(fmt.Sprintf("%016x", n)), Queue: testQueue(0, 3), Payload: "payload", Steps: steps,
		Repeats: times, First: sim.time().Wall.Add(first), Period: period,
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against Fault: 64 small jobs once a minute for a week took more memory than an entry has.
func TestMemoryOfARepeatedJobDoesNotGrowWithItsTimes(t *testing.T) {
	g := NewWithT(t)
	const jobs, week = 64, 7 * 24 * 60
	sim := startedSimulation(32000)
	core := dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: testLease}, sim.time(), nil)
	before := heapBytes()
	for n := range jobs {
		core.AddJob(repeatedJob(sim, n, week, time.Hour, time.Minute, step(1, 100)), false)
	}
	core.Finish()
	g.Expect(heapBytes()).To(BeNumerically("<", before+jobs<<14))
	runtime.KeepAlive(core)
}

// playRepeated plays a repeated job over takeovers, and checks that each task runs once, not before
// its time, and that its record in the store stays small.
func playRepeated(g Gomega, times int, period time.Duration, takeovers ...int) {
	sim := startedSimulation(32000, 32000)
	sim.estimatedWork()
	second := step(1, 500)
	second.After = []int{0}
	spec := repeatedJob(sim, 1, times, 2*time.Second, period, step(2, 500), second)
	early := make(map[carobkeel.TaskName]bool)
	sim.record.OnStart = func(task carobkeel.TaskName, _ int) {
		early[task] = sim.time().Wall.Before(spec.First.Add(time.Duration(task.Occurrence) * period))
	}
	sim.accept(spec)
	end := sim.now + 2*time.Second + time.Duration(times)*period + 6*time.Second
	for tick := 0; sim.now < end; tick++ {
		for _, at := range takeovers {
			if at == tick {
				sim.holders[len(sim.holders)-1].ended = true
				sim.takeOver()
			}
		}
		sim.step()
		g.Expect(len(sim.store.progress[spec.ID].Tasks)).To(BeNumerically("<=", 3*(2+int(5*time.Second/period))))
	}
	g.Expect(sim.visibleStates).To(HaveKeyWithValue(spec.ID, carobkeel.JobCompleted))
	g.Expect(sim.record.Violations).To(BeEmpty())
	g.Expect(sim.record.Done).To(HaveLen(3 * times))
	for task, n := range sim.record.Starts {
		g.Expect(n).To(Equal(1), task.String())
		g.Expect(early[task]).To(BeFalse(), task.String())
	}
}

func TestEachOccurrenceRunsOnceWhenItIsDue(t *testing.T) {
	for name, period := range map[string]time.Duration{"apart": 3 * time.Second, "overlapping": 300 * time.Millisecond, "all at once": time.Millisecond} {
		t.Run(name, func(t *testing.T) { playRepeated(NewWithT(t), 30, period) })
	}
}

// Guards against TWICE: a new holder has to know which occurrences were dropped as done.
func TestEachOccurrenceRunsOnceAcrossTakeovers(t *testing.T) {
	for _, takeovers := range [][]int{{50}, {61, 140}, {45, 47, 120, 260}} {
		t.Run(fmt.Sprint(takeovers), func(t *testing.T) { playRepeated(NewWithT(t), 40, 500*time.Millisecond, takeovers...) })
	}
}

// An earlier holder whose clock is ahead has started an occurrence that is not due here.
func TestRunOfAnOccurrenceThatIsNotDueHereIsAdopted(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	job := f.job()
	job.Repeats, job.First, job.Period = 9, f.time().Wall.Add(time.Minute), time.Minute
	f.core.AddJob(job, true)
	f.task.Occurrence = 4
	f.list(2, 2, 7)
	g.Expect(f.core.Finish().Orders).To(BeEmpty())
	f.core.ApplyListing(dispatch.WorkerListing{
		Host: evidenceHost, Incarnation: f.incarnation, Number: 3, Requested: 3, Full: true,
		Ends: []runs.End{{Number: 1, Task: f.task, Run: 7, Outcome: runs.OutcomeDone}},
	})
	f.core.Finish()
	batch := f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 1 << 20})
	g.Expect(batch.Progress).To(HaveLen(1))
	g.Expect(batch.Progress[0].Tasks).To(Equal([]dispatch.TaskProgress{{Task: f.task, Done: true}}))
}

// Guards against completed jobs that run again: their occurrences aren't made anew for a late listing.
func TestLateListingOfACompletedRepeatedJobChangesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	job := f.job()
	job.Repeats, job.First, job.Period = 9, f.time().Wall.Add(-time.Hour), time.Second
	f.core.AddJob(job, true)
	f.core.Restore(dispatch.Progress{Job: job.ID, State: carobkeel.JobCompleted})
	f.task.Occurrence = 4
	f.list(2, 2, 7)
	g.Expect(f.core.Finish().Orders).To(ContainElement(HaveField("Kind", dispatch.OrderStop)))
	f.core.ApplyListing(dispatch.WorkerListing{
		Host: evidenceHost, Incarnation: f.incarnation, Number: 3, Requested: 3, Full: true,
		Ends: []runs.End{{Number: 1, Task: f.task, Run: 7, Outcome: runs.OutcomeDone}},
	})
	g.Expect(f.starts()).To(BeEmpty())
}
