package dispatch_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// recordDecisions returns the trace lines of a simulation that contain a text.
func recordDecisions(sim *simulation, text string) *[]string {
	lines := &[]string{}
	sim.trace = func(line string) {
		if strings.Contains(line, text) {
			*lines = append(*lines, line)
		}
	}
	return lines
}

func TestWaitingTaskIsReportedWithItsReason(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000)
	lines := recordDecisions(sim, "task waiting")
	sim.submit(1, 0, step(1, 8000))
	sim.run(3 * time.Second)
	g.Expect(len(*lines)).To(BeNumerically("~", 2, 1), "one report a second, after the first second")
	g.Expect((*lines)[0]).To(HaveSuffix("needs_mcpu=8000 full=1 free_mcpu=4000 largest_free_mcpu=4000"), "counts of zero would push the task out of a cut line")
}

func TestJobsHeldBackAtATakeoverAreReported(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(4000, 4000)
	sim.submit(1, 0, step(1, 1000))
	sim.run(200 * time.Millisecond)
	sim.workers["host-0"].partitioned = true
	sim.holders[0].ended = true
	sim.takeOver()
	lines := recordDecisions(sim, "inherited jobs held back")
	sim.run(2 * time.Second)
	g.Expect(*lines).NotTo(BeEmpty())
	g.Expect((*lines)[0]).To(ContainSubstring("host-0 jobs=1 unreported=1"))
}
