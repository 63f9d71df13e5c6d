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

// adviceService allows each step on some workers only, with tickets that are
// valid for a limited time.
type adviceService struct {
	simulation *simulation
	allowed    map[string]bool
	validity   time.Duration
	// unresponsive makes the service give no answers.
	unresponsive bool
	questions    []dispatch.AdviceQuestion
}

func newAdviceService(sim *simulation, hosts ...string) *adviceService {
	a := &adviceService{simulation: sim, allowed: make(map[string]bool), validity: 3 * time.Second}
	for _, host := range hosts {
		a.allowed[host] = true
	}
	sim.advise = a.answer
	sim.admits = a.admits
	return a
}

func (a *adviceService) ticket(step string, incarnation runs.Incarnation, at time.Duration) string {
	return fmt.Sprint(step, "/", incarnation.ID, "/", int64(at))
}

func (a *adviceService) answer(q dispatch.AdviceQuestion) dispatch.Advice {
	a.questions = append(a.questions, q)
	advice := dispatch.Advice{Question: q, Failed: a.unresponsive, Tickets: make(map[runs.Incarnation]string)}
	for _, incarnation := range q.Workers {
		if a.allowed[incarnation.ID] {
			advice.Tickets[incarnation] = a.ticket(q.Step, incarnation, a.simulation.now)
		}
	}
	return advice
}

// admits checks a ticket as the worker of a host does.
func (a *adviceService) admits(host string, task carobkeel.TaskName, ticket string) bool {
	incarnation := a.simulation.workers[host].worker.Description().Incarnation
	for at := a.simulation.now; at > a.simulation.now-a.validity; at -= tick {
		if ticket == a.ticket(task.StepName(), incarnation, at) {
			return a.allowed[incarnation.ID]
		}
	}
	return false
}

func (sim *simulation) submitAdvised(n int, steps ...carobkeel.Step) carobkeel.JobID {
	spec := &carobkeel.JobSpec{ID: carobkeel.JobID(fmt.Sprintf("%016x", n)), Queue: testQueue(0, 3), Steps: steps}
	spec.Queue.Name = "advised"
	spec.Queue.Advice = &carobkeel.AdvicePolicy{BaseDelay: 20 * time.Millisecond, DelayPerWorker: time.Millisecond, Validity: 3 * time.Second}
	sim.accept(spec)
	return spec.ID
}

func TestStepsRunOnlyOnAdvisedWorkers(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(2000, 2000, 2000, 2000)
	a := newAdviceService(sim, "w-host-1", "w-host-3")
	second := step(4, 1000)
	second.After = []int{0}
	job := sim.submitAdvised(1, step(8, 1000), second)
	for range 200 {
		sim.step()
		for host := range sim.hostsOf(job) {
			g.Expect(host).To(BeElementOf("host-1", "host-3"))
		}
	}
	g.Expect(sim.store.progress[job].State).To(Equal(carobkeel.JobCompleted))
	g.Expect(len(a.questions)).To(BeNumerically("<=", 4), "a denied worker is not asked about again")
}

func TestExpiredTicketIsRequestedAgain(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(1000)
	newAdviceService(sim, "w-host-0")
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: 2 * time.Second} }
	job := sim.submitAdvised(1, step(4, 1000))
	sim.run(10 * time.Second)
	g.Expect(sim.store.progress[job].State).To(Equal(carobkeel.JobCompleted))
}

func TestUnresponsiveAdviceServiceDelaysOnlyAdvisedSteps(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000, 4000)
	a := newAdviceService(sim, "w-host-0")
	a.unresponsive = true
	sim.admits = nil
	advised := sim.submitAdvised(1, step(2, 1000))
	other := sim.submit(2, 2, step(2, 1000))
	sim.run(3 * time.Second)
	g.Expect(sim.store.progress[other].State).To(Equal(carobkeel.JobCompleted))
	g.Expect(sim.hostsOf(advised)).To(BeEmpty())
	a.unresponsive = false
	sim.run(3 * time.Second)
	g.Expect(sim.store.progress[advised].State).To(Equal(carobkeel.JobCompleted))
}

func TestAdviceQuestionNamesAtMostThirtyWorkers(t *testing.T) {
	g := NewWithT(t)
	capacities := make([]int64, 40)
	for i := range capacities {
		capacities[i] = 4000
	}
	sim := startedSimulation(capacities...)
	a := newAdviceService(sim, "w-host-39")
	job := sim.submitAdvised(1, step(2, 1000))
	sim.run(5 * time.Second)
	g.Expect(sim.store.progress[job].State).To(Equal(carobkeel.JobCompleted))
	for _, q := range a.questions {
		g.Expect(len(q.Workers)).To(BeNumerically("<=", 30))
	}
}
