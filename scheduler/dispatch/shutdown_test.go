package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// The sidecar stays on the host after its worker has shut down.
func TestRunsOfAWorkerThatShutDownAreKeptWhileItsSidecarPings(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	job := sim.submit(1, 0, step(1, 1000))
	sim.run(200 * time.Millisecond)
	var left *host
	for name := range sim.hostsOf(job) {
		left = sim.workers[name]
	}
	sim.holders[0].core.WorkerShutDown(left.name, left.worker.Description().Incarnation)
	left.crash()
	left.departed = true
	sim.run(time.Second)
	g.Expect(sim.hostsOf(job)).To(HaveLen(1))
}
