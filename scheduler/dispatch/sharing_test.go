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

const (
	sharingCapacity = 16000
	latencyTarget   = 45 * time.Millisecond
	idleLatency     = 10.0 // milliseconds
	baseLoad        = 0.4
)

// sharingSimulation has one worker with latency-critical tasks of one image.
// Best-effort tasks of the image "heavy" raise the utilization of these by
// twice the processors that they use; those of the image "light" do not. It
// counts in overTarget the listings in which a latency-critical task exceeds
// its target.
func sharingSimulation(g *WithT) (sim *simulation, overTarget *int) {
	sim = startedSimulation(sharingCapacity)
	overTarget = new(int)
	sim.work = func(task carobkeel.TaskName, _ int) standin.Work {
		if task.Job == latencyCriticalJob {
			return standin.Work{Endless: true}
		}
		return standin.Work{Duration: 2 * time.Second, Outcome: runs.OutcomeDone}
	}
	sim.loadMetric = func(task carobkeel.TaskName, paces map[carobkeel.TaskName]int) int {
		if task.Job != latencyCriticalJob {
			return bestEffortMilliCPU * paces[task] / 100
		}
		load := baseLoad
		for other, pace := range paces {
			if other.Job != latencyCriticalJob && other.Job != lightJob {
				load += 2.0 * bestEffortMilliCPU / sharingCapacity * float64(pace) / 100
			}
		}
		latency := idleLatency / (1 - min(0.97, load))
		if latency > float64(latencyTarget.Milliseconds()) {
			*overTarget++
		}
		return int(latency)
	}
	latencyCritical := step(2, 2000)
	latencyCritical.LongRunning, latencyCritical.Image, latencyCritical.LatencyTarget = true, "desk", latencyTarget
	g.Expect(sim.submit(1, 0, latencyCritical)).To(Equal(latencyCriticalJob))
	sim.run(2 * time.Second)
	return sim, overTarget
}

const (
	latencyCriticalJob = carobkeel.JobID("0000000000000001")
	heavyJob           = carobkeel.JobID("0000000000000002")
	lightJob           = carobkeel.JobID("0000000000000003")
	bestEffortMilliCPU = 2000 // thousandths of a core
)

func bestEffort(image string, count int) carobkeel.Step {
	s := step(count, bestEffortMilliCPU)
	s.BestEffort, s.SavesProgress, s.Image = true, true, image
	return s
}

// TestInterferingBestEffortTasksAreSlowedDown runs 40 heavy and 40 light
// best-effort tasks beside latency-critical ones. It counts the listings in
// which a latency-critical task exceeds its target; each covers half a second.
func TestInterferingBestEffortTasksAreSlowedDown(t *testing.T) {
	g := NewWithT(t)
	sim, overTarget := sharingSimulation(g)
	sim.submit(2, 2, bestEffort("heavy", 40))
	sim.submit(3, 2, bestEffort("light", 40))
	sim.run(20 * time.Second)
	listed := *overTarget
	sim.run(20 * time.Second)
	g.Expect(*overTarget-listed).To(BeZero(), "no target is exceeded after the interference has been learned")
	g.Expect(sim.store.progress[lightJob].State).To(Equal(carobkeel.JobCompleted))
}

// TestLearnedInterferenceSurvivesTakeover replaces the holder while more heavy
// best-effort tasks wait. The new holder must not have to learn again.
func TestLearnedInterferenceSurvivesTakeover(t *testing.T) {
	g := NewWithT(t)
	sim, overTarget := sharingSimulation(g)
	sim.submit(2, 2, bestEffort("heavy", 60))
	sim.run(10 * time.Second)
	sim.submit(3, 2, bestEffort("light", 4)) // its end is stored together with the learned model
	sim.run(5 * time.Second)
	g.Expect(sim.store.learned).NotTo(BeEmpty())
	sim.holders[0].ended = true
	sim.takeOver()
	overBefore := *overTarget
	sim.run(10 * time.Second)
	g.Expect(*overTarget - overBefore).To(BeNumerically("<=", 2))
}

// submitDue submits a best-effort job that is due after its estimated work plus
// objective.
func (sim *simulation) submitDue(n int, objective time.Duration, steps ...carobkeel.Step) {
	spec := &carobkeel.JobSpec{ID: carobkeel.JobID(fmt.Sprintf("%016x", n)), Queue: testQueue(2, 3), Steps: steps}
	spec.Queue.Name = carobkeel.QueueName(fmt.Sprint("due-", n))
	spec.Queue.SlowdownFactor, spec.Queue.Objective = 1, objective
	sim.accept(spec)
}

// TestOnTimeJobGetsPaceBeforeLateJob runs two heavy jobs of which only one can
// work at a time.
func TestOnTimeJobGetsPaceBeforeLateJob(t *testing.T) {
	g := NewWithT(t)
	sim, _ := sharingSimulation(g)
	sim.work = func(task carobkeel.TaskName, _ int) standin.Work { return standin.Work{Duration: time.Minute} }
	sim.submitDue(2, time.Second, bestEffort("heavy", 1))
	sim.run(5 * time.Second)
	sim.submitDue(4, time.Minute, bestEffort("heavy", 1))
	sim.run(5 * time.Second)
	paces := sim.workers["host-0"].worker.Paces()
	g.Expect(paces[carobkeel.TaskName{Job: onTimeJob}]).To(Equal(100))
	g.Expect(paces[carobkeel.TaskName{Job: heavyJob}]).To(BeNumerically("<", 60))
}

const onTimeJob = carobkeel.JobID("0000000000000004")
