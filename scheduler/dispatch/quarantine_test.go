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

// quarantinedSimulation has workers that have just been quarantined for their
// second stall, for 4 s.
func quarantinedSimulation(g *WithT, capacities ...int64) *simulation {
	sim := startedSimulation(capacities...)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: 5 * time.Second} }
	quarantines := recordDecisions(sim, "worker quarantined")
	for _, s := range sim.workers {
		s.worker.Stall(true)
	}
	sim.submit(1, 2, step(2*len(capacities), 3000))
	for len(*quarantines) < 2*len(capacities) {
		g.Expect(sim.now).To(BeNumerically("<", time.Hour+20*time.Second))
		sim.step()
	}
	sim.store.cancel["0000000000000001"] = true
	return sim
}

func TestLongRunningTaskWaitsForTheEndOfAQuarantine(t *testing.T) {
	g := NewWithT(t)
	sim := quarantinedSimulation(g, 8000)
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	job := sim.submit(2, 1, longRunning)
	sim.run(2 * time.Second)
	g.Expect(sim.hostsOf(job)).To(HaveLen(1))
}

func TestJobWaitsWhileMostWorkersAreQuarantined(t *testing.T) {
	g := NewWithT(t)
	sim := quarantinedSimulation(g, 8000, 8000)
	job := sim.submit(2, 1, step(1, 1000))
	sim.run(2 * time.Second)
	g.Expect(sim.hostsOf(job)).To(HaveLen(1))
}

func TestGangWaitsWhileMostWorkersAreQuarantined(t *testing.T) {
	g := NewWithT(t)
	sim := quarantinedSimulation(g, 8000, 8000)
	gang := step(2, 1000)
	gang.Gang = true
	job := sim.submit(2, 1, gang)
	sim.run(2 * time.Second)
	tasks := 0
	for _, n := range sim.hostsOf(job) {
		tasks += n
	}
	g.Expect(tasks).To(Equal(2))
}

// Placement prefers workers that refuse all starts.
func TestTaskReturnsToRefusingWorkersBeforeASoundOne(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000, 8000, 8000, 8000, 8000, 8000, 8000, 16000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	for _, name := range sim.hosts[:8] {
		sim.workers[name].setFault(refusing)
	}
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	job := sim.submit(1, 0, longRunning)
	sim.run(2500 * time.Millisecond)
	g.Expect(sim.hostsOf(job)).To(HaveKey("host-8"))
}

func TestTaskReturnsToAWorkerThatDidNotAnswer(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 16000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	orders := 0
	sim.loseAnswer = func() (bool, time.Duration) { orders++; return orders == 1, 100 * time.Millisecond }
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	job := sim.submit(1, 0, longRunning)
	sim.run(2 * time.Second)
	g.Expect(sim.hostsOf(job)).To(HaveKey("host-1"))
}

func TestJobsThatCannotSucceedQuarantineSoundWorkers(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000, 8000, 8000)
	const hopeless = 8
	sim.work = func(task carobkeel.TaskName, _ int) standin.Work {
		if task.Job <= carobkeel.JobID(fmt.Sprintf("%016x", hopeless)) {
			return standin.Work{Duration: 200 * time.Millisecond, Outcome: runs.OutcomeFailed}
		}
		return standin.Work{Endless: true}
	}
	for n := range hopeless {
		sim.submit(n+1, 1, step(4, 500))
	}
	sim.run(1500 * time.Millisecond)
	job := sim.submit(hopeless+1, 1, step(16, 2000))
	sim.run(200 * time.Millisecond)
	g.Expect(sim.hostsOf(job)).To(HaveLen(4))
}

func TestWorkerThatFailsItsRunsIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000, 8000, 8000)
	started := 0
	sim.workOn = func(host string, _ carobkeel.TaskName, _ int) standin.Work {
		if host == "host-0" {
			started++
			return standin.Work{Duration: 200 * time.Millisecond, Outcome: runs.OutcomeFailed}
		}
		return standin.Work{Duration: 300 * time.Millisecond}
	}
	for n := range 40 {
		sim.submit(n, 1, step(4, 500))
		sim.run(100 * time.Millisecond)
	}
	g.Expect(started).To(BeNumerically("<", 20))
	for _, spec := range sim.store.jobs {
		g.Expect(sim.store.progress[spec.ID].State).NotTo(Equal(carobkeel.JobFailed))
	}
}

// Placement prefers workers that fail all runs.
func TestLongRunningTaskAlternatesBetweenFailingWorkers(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000, 8000, 16000)
	sim.workOn = func(host string, _ carobkeel.TaskName, _ int) standin.Work {
		if host != "host-3" {
			return standin.Work{Duration: 200 * time.Millisecond, Outcome: runs.OutcomeFailed}
		}
		return standin.Work{Endless: true}
	}
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	job := sim.submit(1, 0, longRunning)
	sim.run(3 * time.Second)
	g.Expect(sim.hostsOf(job)).To(HaveKey("host-3"))
}

// Of the four workers left, hopeless jobs may quarantine half.
func TestHostsThatAreGoneLetMoreWorkersBeQuarantined(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000, 8000, 8000, 8000, 8000, 8000, 8000)
	for _, name := range sim.hosts[4:] {
		sim.workers[name].partitioned = true
	}
	sim.run(10 * time.Second)
	sim.work = func(carobkeel.TaskName, int) standin.Work {
		return standin.Work{Duration: 200 * time.Millisecond, Outcome: runs.OutcomeFailed}
	}
	quarantines := recordDecisions(sim, "worker quarantined")
	for n := range 16 {
		sim.submit(n, 1, step(2, 1000))
	}
	sim.run(400 * time.Millisecond)
	g.Expect(*quarantines).To(HaveLen(2))
}
