package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// pacedSimulation is a sharingSimulation in which heavy best-effort tasks have just been accepted.
func pacedSimulation(g *WithT) (sim *simulation, overTarget *int) {
	sim, overTarget = sharingSimulation(g)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: time.Minute} }
	sim.submit(2, 2, bestEffort("heavy", 2))
	return sim, overTarget
}

// Guards against best-effort tasks that stay slowed down by an earlier holder.
func TestPaceThatAnEarlierHolderSetIsNotTakenForTheFullOne(t *testing.T) {
	g := NewWithT(t)
	sim, _ := pacedSimulation(g)
	sim.run(5 * time.Second)
	paces := sim.workers["host-0"].worker.Paces()
	g.Expect(paces).To(ContainElement(BeNumerically("<", 60)))
	sim.holders[0].ended = true
	sim.store.cancel[latencyCriticalJob] = true
	sim.takeOver()
	sim.run(5 * time.Second)
	for task, pace := range sim.workers["host-0"].worker.Paces() {
		g.Expect(pace).To(Equal(100), task.String())
	}
}

// Guards against HARM: paces that were ordered and not set counted as set.
func TestPaceThatWasNotSetIsOrderedAgain(t *testing.T) {
	losses := map[string]func(*simulation, *host){
		"refused":            func(_ *simulation, s *host) { s.refusesOrders = true },
		"lost with the link": func(sim *simulation, s *host) { sim.delay, s.linked = 2*tick, nil },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim, overTarget := pacedSimulation(g)
			s := sim.workers["host-0"]
			for len(s.worker.Paces()) < 3 {
				sim.step()
			}
			for range 100 {
				lose(sim, s)
				sim.step()
			}
			sim.delay, s.refusesOrders = 0, false
			sim.run(5 * time.Second)
			before := *overTarget
			sim.run(5 * time.Second)
			g.Expect(*overTarget - before).To(BeZero())
		})
	}
}
