package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// step returns a step whose tasks are estimated at one second.
func step(count int, milliCPU int64) carobkeel.Step {
	return carobkeel.Step{Count: count, Demand: carobkeel.Resources{MilliCPU: milliCPU, MemoryBytes: 1 << 30}, Estimate: time.Second}
}

func (sim *simulation) submit(n, priority int, steps ...carobkeel.Step) carobkeel.JobID {
	spec := &carobkeel.JobSpec{
		ID: carobkeel.JobID(fmt.Sprintf("%016x", n)), Queue: testQueue(priority, 3), Payload: "payload", Steps: steps,
	}
	sim.accept(spec)
	return spec.ID
}

// hostsOf returns the number of tasks of a job that run on each host.
func (sim *simulation) hostsOf(job carobkeel.JobID) map[string]int {
	found := make(map[string]int)
	for _, name := range sim.hosts {
		for _, task := range sim.workers[name].worker.Tasks() {
			if task.Job == job {
				found[name]++
			}
		}
	}
	return found
}

func startedSimulation(capacities ...int64) *simulation {
	sim := newSimulation(capacities...)
	sim.takeOver()
	sim.run(time.Second)
	return sim
}

func TestEachRunAfterAFailureUsesAnotherWorker(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000, 8000)
	hosts := make(map[string]bool)
	sim.work = func(task carobkeel.TaskName, run int) standin.Work {
		return standin.Work{Duration: 100 * time.Millisecond, Outcome: runs.OutcomeFailed}
	}
	job := sim.submit(1, 0, step(1, 1000))
	for range 20 {
		sim.step()
		for host := range sim.hostsOf(job) {
			hosts[host] = true
		}
	}
	g.Expect(sim.store.progress[job].State).To(Equal(carobkeel.JobFailed))
	g.Expect(hosts).To(HaveLen(3), "each attempt uses another worker, so that a failing job is distinguished from a failing worker")
}

func TestPlacementKeepsLabelsAndMaxPerWorker(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000, 8000, 8000)
	labelled := step(2, 1000)
	labelled.RequiredLabel = "r1"
	spread := step(3, 1000)
	spread.MaxPerWorker = 1
	first, second := sim.submit(1, 0, labelled), sim.submit(2, 0, spread)
	sim.run(200 * time.Millisecond)
	for host := range sim.hostsOf(first) {
		d := sim.workers[host].worker.Description()
		g.Expect(d.HasLabel("r1")).To(BeTrue())
	}
	g.Expect(sim.hostsOf(second)).To(HaveLen(3))
}

func TestGangStartsAllTasksOrNone(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000, 4000)
	sim.work = func(carobkeel.TaskName, int) standin.Work {
		return standin.Work{Duration: 2 * time.Second, Outcome: runs.OutcomeDone}
	}
	sim.submit(1, 0, step(2, 3000))
	sim.run(200 * time.Millisecond)
	gang := step(3, 2000)
	gang.Gang = true
	job := sim.submit(2, 0, gang)
	for range 30 {
		sim.step()
		g.Expect(sim.hostsOf(job)).To(Or(BeEmpty(), HaveLen(2)))
	}
	sim.run(2 * time.Second)
	g.Expect(sim.hostsOf(job)).To(HaveLen(2))
}

func TestLongRunningTaskPreemptsLowerPriority(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	sim.submit(1, 2, step(4, 2000))
	sim.run(200 * time.Millisecond)
	longRunning := step(1, 4000)
	longRunning.LongRunning = true
	job := sim.submit(2, 0, longRunning)
	sim.run(200*time.Millisecond + testStopGrace + 3*tick)
	g.Expect(sim.hostsOf(job)).To(HaveLen(1))
	checkCapacity(sim)
	g.Expect(sim.record.Violations).To(BeEmpty())
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000)
	sim.submit(1, 2, step(4, 1000))
	sim.run(100 * time.Millisecond)
	batch := sim.submit(2, 2, step(4, 1000))
	urgent := sim.submit(3, 0, step(4, 1000))
	for len(sim.hostsOf(urgent)) == 0 {
		sim.step()
		g.Expect(sim.hostsOf(batch)).To(BeEmpty())
	}
}

func TestLongRunningTaskMovesFromDrainingWorker(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	job := sim.submit(1, 0, longRunning)
	sim.run(200 * time.Millisecond)
	var from string
	for from = range sim.hostsOf(job) {
		sim.workers[from].worker.Drain(5 * time.Second)
	}
	sim.run(testStopGrace + 300*time.Millisecond)
	g.Expect(sim.hostsOf(job)).To(HaveLen(1))
	g.Expect(sim.hostsOf(job)).NotTo(HaveKey(from))
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000)
	due := sim.time().Wall.Add(2 * time.Second)
	spec := &carobkeel.JobSpec{
		ID: "00000000000000bb", Queue: testQueue(0, 3), Steps: []carobkeel.Step{step(1, 1000)},
		Repeats: 2, First: due, Period: time.Second,
	}
	starts := 0
	sim.record.OnStart = func(task carobkeel.TaskName, _ int) {
		starts++
		g.Expect(sim.time().Wall).To(BeTemporally(">=", due.Add(time.Duration(task.Occurrence)*time.Second)))
	}
	sim.accept(spec)
	sim.run(6 * time.Second)
	g.Expect(starts).To(Equal(2))
	g.Expect(sim.store.progress[spec.ID].State).To(Equal(carobkeel.JobCompleted))
}

func TestCancelledJobStopsAndStartsNothing(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(2000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	job := sim.submit(1, 0, step(4, 1000))
	sim.run(200 * time.Millisecond)
	g.Expect(sim.hostsOf(job)).NotTo(BeEmpty())
	sim.store.cancel[job] = true
	sim.run(testStopGrace + 200*time.Millisecond)
	g.Expect(sim.hostsOf(job)).To(BeEmpty())
	sim.run(time.Second)
	g.Expect(sim.hostsOf(job)).To(BeEmpty())
	g.Expect(sim.visibleStates[job]).To(Equal(carobkeel.JobCancelled))
}

func TestTasksWithoutDemandDoNotFillOneListing(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000)
	free := carobkeel.Step{Count: 2000, Estimate: time.Second}
	job := sim.submit(1, 0, free)
	most := 0
	for range 100 {
		sim.run(100 * time.Millisecond)
		most = max(most, sim.hostsOf(job)["host-0"])
	}
	g.Expect(most).To(Equal(dispatch.MaxRunsPerWorker))
	g.Expect(sim.visibleStates[job]).To(Equal(carobkeel.JobCompleted))
	gang := free
	gang.Gang = true
	job = sim.submit(2, 0, gang)
	sim.run(2 * time.Second)
	g.Expect(sim.hostsOf(job)).To(BeEmpty())
}

// A more urgent gang reserves all free room.
func TestLongRunningTaskWaitsForAGangWithoutRoom(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	busy := step(2, 5000)
	busy.LongRunning = true
	sim.submit(1, 0, busy)
	sim.run(200 * time.Millisecond)
	gang := step(4, 3000)
	gang.Gang = true
	sim.submit(2, 0, gang)
	sim.run(1200 * time.Millisecond)
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	job := sim.submit(3, 1, longRunning)
	sim.run(2500 * time.Millisecond)
	g.Expect(sim.hostsOf(job)).To(HaveLen(1))
}

func TestJobWaitsForAGangThatCanNeverFit(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	gang := step(5, 4000)
	gang.Gang = true
	sim.submit(1, 0, gang)
	sim.run(1200 * time.Millisecond)
	job := sim.submit(2, 1, step(1, 1000))
	sim.run(time.Second)
	g.Expect(sim.hostsOf(job)).To(HaveLen(1))
}
