package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// stalledSimulation has two workers with tasks of two seconds. One of the
// workers stalls after half a second.
func stalledSimulation() (sim *simulation, job carobkeel.JobID) {
	sim = startedSimulation(8000, 8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: 2 * time.Second} }
	job = sim.submit(1, 0, step(12, 1000))
	sim.run(500 * time.Millisecond)
	sim.workers["host-0"].worker.Stall(true)
	return sim, job
}

func TestTasksOfAStalledWorkerStartElsewhere(t *testing.T) {
	g := NewWithT(t)
	sim, job := stalledSimulation()
	sim.run(6 * time.Second)
	g.Expect(sim.store.progress[job].State).To(Equal(carobkeel.JobCompleted))
	g.Expect(sim.record.Violations).To(BeEmpty())
}

func TestRecoveredWorkerGetsTasksAgain(t *testing.T) {
	g := NewWithT(t)
	sim, _ := stalledSimulation()
	sim.run(3 * time.Second)
	sim.workers["host-0"].worker.Stall(false)
	sim.run(3 * time.Second)
	job := sim.submit(2, 0, step(16, 1000))
	sim.run(500 * time.Millisecond)
	g.Expect(sim.hostsOf(job)).To(HaveKey("host-0"))
}

func TestSlowProgressIsNotAStall(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: 60 * time.Second} }
	job := sim.submit(1, 0, step(4, 1000))
	long := step(1, 1000)
	long.Estimate = 40 * time.Second
	sim.submit(2, 0, long)
	sim.run(30 * time.Second)
	for task, starts := range sim.record.Starts {
		g.Expect(starts).To(Equal(1), task.String())
	}
	g.Expect(sim.hostsOf(job)).To(HaveKeyWithValue("host-0", 4))
}

// Only the new run is expected to progress, since the pace of the other one drops.
func TestNewRunIsNotStalledByTheTimeBeforeItsStart(t *testing.T) {
	g := NewWithT(t)
	sim, _ := sharingSimulation(g)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: time.Minute} }
	quarantines := recordDecisions(sim, "no run makes progress")
	sim.submitDue(2, time.Second, bestEffort("heavy", 1))
	sim.run(5 * time.Second)
	sim.submitDue(4, time.Minute, bestEffort("heavy", 1))
	sim.run(2500 * time.Millisecond)
	g.Expect(*quarantines).To(BeEmpty())
}
