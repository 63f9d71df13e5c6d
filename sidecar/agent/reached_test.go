package agent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// An answer to a call that keeps no earlier one off is not the end of the time in which an
// incarnation carries those out.
func TestIncarnationIsReachedByTheFirstCallWithAHigherFence(t *testing.T) {
	g := NewWithT(t)
	worker := newRestartingWorker()
	a, _ := linkedAgent(worker)
	ask := func() int64 {
		state := a.state.Load()
		a.list(t.Context(), envelopeWithoutLease(state, testTerm), 0, 0)
		return a.reached.Load().startedAtMs
	}
	g.Expect(ask()).To(Equal(testIncarnation.StartedAtMs))
	worker.restart()
	g.Expect(ask()).To(Equal(testIncarnation.StartedAtMs), "the earlier incarnation has answered calls with this fence")
	a.updateState(gate.Worker.Suspect)
	g.Expect(ask()).To(Equal(testIncarnation.StartedAtMs + 1))
}

func TestAnswersInNoParticularOrderReachAnIncarnationOnce(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&scriptedWorker{})
	fence := func(doubts uint32) runs.Envelope {
		return runs.Envelope{Fence: runs.Fence{Epoch: testTerm.Epoch, Generation: runs.NewGeneration(1, doubts)}}
	}
	answer := runs.Answer{Clock: time.Second}
	a.noteAnswer(fence(1), 1, answer)
	a.noteAnswer(fence(3), 2, answer)
	a.noteAnswer(fence(2), 1, answer) // that of the earlier incarnation comes late
	g.Expect(a.reached.Load().startedAtMs).To(Equal(int64(2)))
	a.noteAnswer(runs.Envelope{Fence: runs.Fence{Epoch: testTerm.Epoch + 1}}, 3, answer)
	g.Expect(a.reached.Load().startedAtMs).To(Equal(int64(2)), "a process without a number")
}
