package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// step returns a step of tasks of one second.
func step(count int, milliCPU int64) carobkeel.Step {
	return carobkeel.Step{Count: count, Demand: carobkeel.Resources{MilliCPU: milliCPU, MemoryBytes: 1 << 30}, Estimate: time.Second}
}

func (w *world) submit(n, priority int, steps ...carobkeel.Step) carobkeel.JobID {
	spec := &carobkeel.JobSpec{
		ID: carobkeel.JobID(fmt.Sprintf("%016x", n)), Queue: testQueue(priority, 3), Payload: "payload", Steps: steps,
	}
	w.accept(spec)
	return spec.ID
}

// hostsOf returns how many tasks of a job run on each host.
func (w *world) hostsOf(job carobkeel.JobID) map[string]int {
	found := make(map[string]int)
	for _, name := range w.hosts {
		for _, task := range w.workers[name].worker.Tasks() {
			if task.Job == job {
				found[name]++
			}
		}
	}
	return found
}

func startedWorld(capacities ...int64) *world {
	w := newWorld(capacities...)
	w.takeOver()
	w.run(time.Second)
	return w
}

func TestEachAttemptGoesToAnotherWorker(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(8000, 8000, 8000)
	tried := make(map[string]bool)
	w.work = func(task carobkeel.TaskName, run int) standin.Work {
		return standin.Work{Duration: 100 * time.Millisecond, Outcome: runs.OutcomeFailed}
	}
	job := w.submit(1, 0, step(1, 1000))
	for range 20 {
		w.step()
		for host := range w.hostsOf(job) {
			tried[host] = true
		}
	}
	g.Expect(w.store.progress[job].State).To(Equal(carobkeel.JobFailed))
	g.Expect(tried).To(HaveLen(3), "a job that fails everywhere is told from a worker that fails everything")
}

func TestTasksKeepToLabelsAndToTheirNumberOnAWorker(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(8000, 8000, 8000, 8000)
	labelled := step(2, 1000)
	labelled.RequiredLabel = "r1"
	apart := step(3, 1000)
	apart.MaxPerWorker = 1
	first, second := w.submit(1, 0, labelled), w.submit(2, 0, apart)
	w.run(200 * time.Millisecond)
	for host := range w.hostsOf(first) {
		d := w.workers[host].worker.Description()
		g.Expect(d.HasLabel("r1")).To(BeTrue())
	}
	g.Expect(w.hostsOf(second)).To(HaveLen(3))
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(4000, 4000)
	w.work = func(carobkeel.TaskName, int) standin.Work {
		return standin.Work{Duration: 2 * time.Second, Outcome: runs.OutcomeDone}
	}
	w.submit(1, 0, step(2, 3000))
	w.run(200 * time.Millisecond)
	gang := step(3, 2000)
	gang.Gang = true
	job := w.submit(2, 0, gang)
	for range 30 {
		w.step()
		g.Expect(w.hostsOf(job)).To(Or(BeEmpty(), HaveLen(2)))
	}
	w.run(2 * time.Second)
	g.Expect(w.hostsOf(job)).To(HaveLen(2))
}

func TestTaskThatLastsPreemptsLessUrgentOnes(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(8000)
	w.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	w.submit(1, 2, step(4, 2000))
	w.run(200 * time.Millisecond)
	lasting := step(1, 4000)
	lasting.Perpetual = true
	job := w.submit(2, 0, lasting)
	w.run(200*time.Millisecond + testStopGrace + 3*tick)
	g.Expect(w.hostsOf(job)).To(HaveLen(1))
	checkRoom(w)
	g.Expect(w.record.Wrong).To(BeEmpty())
}

func TestUrgentTasksComeFirst(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(4000)
	w.submit(1, 2, step(4, 1000))
	w.run(100 * time.Millisecond)
	batch := w.submit(2, 2, step(4, 1000))
	urgent := w.submit(3, 0, step(4, 1000))
	for len(w.hostsOf(urgent)) == 0 {
		w.step()
		g.Expect(w.hostsOf(batch)).To(BeEmpty())
	}
}

func TestDrainingWorkerGetsNothingAndHandsOnWhatLasts(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(8000, 8000)
	w.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	lasting := step(1, 1000)
	lasting.Perpetual = true
	job := w.submit(1, 0, lasting)
	w.run(200 * time.Millisecond)
	var from string
	for from = range w.hostsOf(job) {
		w.workers[from].worker.Drain(5 * time.Second)
	}
	w.run(testStopGrace + 300*time.Millisecond)
	g.Expect(w.hostsOf(job)).To(HaveLen(1))
	g.Expect(w.hostsOf(job)).NotTo(HaveKey(from))
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(8000)
	due := w.time().Wall.Add(2 * time.Second)
	spec := &carobkeel.JobSpec{
		ID: "00000000000000bb", Queue: testQueue(0, 3), Steps: []carobkeel.Step{step(1, 1000)},
		Repeats: 2, First: due, Period: time.Second,
	}
	starts := 0
	w.record.OnStart = func(task carobkeel.TaskName, _ int) {
		starts++
		g.Expect(w.time().Wall).To(BeTemporally(">=", due.Add(time.Duration(task.Occurrence)*time.Second)))
	}
	w.accept(spec)
	w.run(6 * time.Second)
	g.Expect(starts).To(Equal(2))
	g.Expect(w.store.progress[spec.ID].State).To(Equal(carobkeel.JobCompleted))
}

func TestCancelledJobStopsAndStartsNothing(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(2000)
	w.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	job := w.submit(1, 0, step(4, 1000))
	w.run(200 * time.Millisecond)
	g.Expect(w.hostsOf(job)).NotTo(BeEmpty())
	w.store.cancel[job] = true
	w.run(testStopGrace + 200*time.Millisecond)
	g.Expect(w.hostsOf(job)).To(BeEmpty())
	w.run(time.Second)
	g.Expect(w.hostsOf(job)).To(BeEmpty())
	g.Expect(w.shown[job]).To(Equal(carobkeel.JobCancelled))
}
