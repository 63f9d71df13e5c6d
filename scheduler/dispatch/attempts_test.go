package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// Guards against gangs that are started without an end: the failures of each member were counted by
// themselves, and each attempt of the gang failed by another member.
func TestGangFailsAfterItsAttemptsWhicheverMemberFails(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(16000)
	attempts := 0
	sim.work = func(task carobkeel.TaskName, _ int) standin.Work {
		if task.Index == 0 {
			attempts++
		}
		if task.Index == (attempts-1)%4 {
			return standin.Work{Duration: 100 * time.Millisecond, Outcome: runs.OutcomeFailed}
		}
		return standin.Work{Duration: 100 * time.Millisecond, Outcome: runs.OutcomeGangEnded}
	}
	job := sim.submit(1, 0, gangStep(4, 1000))
	sim.run(20 * time.Second)
	g.Expect(sim.visibleStates).To(HaveKeyWithValue(job, carobkeel.JobFailed))
	g.Expect(attempts).To(Equal(3))
}
