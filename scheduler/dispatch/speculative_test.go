package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// slowFirstRun makes the first run of task 0 take ten seconds, and all other
// runs one second.
func slowFirstRun(task carobkeel.TaskName, run int) standin.Work {
	if task.Index == 0 && run == 1 {
		return standin.Work{Duration: 10 * time.Second}
	}
	return standin.Work{Duration: time.Second}
}

func TestStragglerGetsASpeculativeRun(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000, 4000)
	sim.work = slowFirstRun
	s := step(4, 1000)
	s.AllowsDuplicates = true
	job := sim.submit(1, 0, s)
	sim.run(4 * time.Second)
	g.Expect(sim.store.progress[job].State).To(Equal(carobkeel.JobCompleted))
	sim.run(time.Second)
	g.Expect(sim.hostsOf(job)).To(BeEmpty(), "the slow run is stopped")
	g.Expect(sim.record.Violations).To(BeEmpty())
}

func TestStragglerWithoutDuplicatesRunsOnce(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000, 4000)
	sim.work = slowFirstRun
	sim.submit(1, 0, step(4, 1000))
	sim.run(5 * time.Second)
	for task, starts := range sim.record.Starts {
		g.Expect(starts).To(Equal(1), task.String())
	}
}

func TestTasksOfTypicalSpeedGetNoSpeculativeRun(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000, 4000)
	sim.work = func(task carobkeel.TaskName, _ int) standin.Work {
		return standin.Work{Duration: time.Second + time.Duration(task.Index)*50*time.Millisecond}
	}
	s := step(8, 1000)
	s.AllowsDuplicates = true
	sim.submit(1, 0, s)
	sim.run(5 * time.Second)
	for task, starts := range sim.record.Starts {
		g.Expect(starts).To(Equal(1), task.String())
	}
}
