package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/worker/runs"
)

// addressedWorker is an incarnation at the worker's address. It compares the ID that a request
// names, and states its start.
type addressedWorker struct {
	scriptedWorker
	incarnation runs.Incarnation
	// failure is why nothing is answered, nil if requests are.
	failure error
	fences  []runs.Fence
}

func (w *addressedWorker) List(_ context.Context, e runs.Envelope, _ uint64, _ time.Duration) (runs.Listing, runs.Answer, error) {
	switch {
	case w.failure != nil:
		return runs.Listing{}, runs.Answer{}, w.failure
	case e.Incarnation.ID != w.incarnation.ID:
		return runs.Listing{}, runs.Answer{Result: runs.ResultOtherIncarnation}, nil
	}
	w.fences = append(w.fences, e.Fence)
	return runs.Listing{StartedAtMs: w.incarnation.StartedAtMs}, runs.Answer{Result: runs.ResultOK, Clock: time.Minute}, nil
}

const ownAddress, otherAddress = "10.0.0.1:80", "10.0.0.2:80"

// others are incarnations that are not the known one.
var others = map[string]runs.Incarnation{
	"another ID, born later":        {ID: "x", StartedAtMs: testIncarnation.StartedAtMs + 1},
	"another ID, born earlier":      {ID: "x", StartedAtMs: testIncarnation.StartedAtMs - 1},
	"the worker's ID, born later":   {ID: testIncarnation.ID, StartedAtMs: testIncarnation.StartedAtMs + 1},
	"the worker's ID, born earlier": {ID: testIncarnation.ID, StartedAtMs: testIncarnation.StartedAtMs - 1},
}

// Guards against TWICE: a heartbeat of another worker replaced a live one, whose runs were given up.
func TestHeartbeatOfAnotherWorkerIsRefusedWhileTheKnownOneAnswers(t *testing.T) {
	for name, other := range others {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := linkedAgent(&addressedWorker{incarnation: testIncarnation})
			for sequence := range uint64(3) {
				g.Expect(a.RecordHeartbeat(runs.Description{Incarnation: other, Address: ownAddress, Sequence: sequence + 1})).To(BeFalse())
				g.Expect(a.state.Load().Is(testIncarnation)).To(BeTrue())
				g.Expect(a.state.Load().Confirmed).To(BeTrue(), "starts go on")
			}
			g.Expect(a.RecordHeartbeat(runs.Description{Incarnation: testIncarnation, Sequence: 2})).To(BeTrue())
		})
	}
}

// Guards against TWICE: the neighbour of a slow or stopped sidecar took its worker in.
func TestHeartbeatThatNamesAnotherAddressIsRefusedWhileNothingAnswers(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&addressedWorker{failure: context.DeadlineExceeded})
	a.config.WorkerAddress = ownAddress
	other := runs.Description{Incarnation: runs.Incarnation{ID: "x", StartedAtMs: 9}, Address: otherAddress, Sequence: 1}
	g.Expect(a.RecordHeartbeat(other)).To(BeFalse())
	a.unresponsive.Store(true)
	a.deadline.Store(int64(time.Second))
	g.Expect(a.workerIsGone()).To(BeTrue())
	g.Expect(a.RecordHeartbeat(other)).To(BeFalse())
	g.Expect(a.state.Load().Describes(testIncarnation)).To(BeTrue())
}

func TestKnownWorkerIsKeptUntilItsSuccessorAnswers(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{failure: context.DeadlineExceeded}
	a, _ := linkedAgent(worker)
	next := runs.Incarnation{ID: "x", StartedAtMs: 9}
	g.Expect(a.RecordHeartbeat(runs.Description{Incarnation: next, Address: ownAddress, Sequence: 1})).To(BeTrue())
	g.Expect(a.state.Load().Describes(testIncarnation)).To(BeTrue())
	worker.failure, worker.incarnation = nil, next
	(&lister{agent: a}).listOnce(t.Context(), a.state.Load())
	g.Expect(a.state.Load().Describes(next)).To(BeTrue(), "without another heartbeat")
	g.Expect(a.state.Load().Verified).To(BeTrue())
}

// A restarted worker has seen no fence, so the first call that reaches it keeps earlier ones off.
func TestFirstCallToARestartedWorkerHasAHigherGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		next := runs.Incarnation{ID: testIncarnation.ID, StartedAtMs: testIncarnation.StartedAtMs + 1}
		worker := &addressedWorker{incarnation: next}
		a, _ := linkedAgent(worker)
		before := a.state.Load().Generation
		g.Expect(a.RecordHeartbeat(runs.Description{Incarnation: next, Sequence: 1})).To(BeTrue())
		synctest.Wait() // for the listing that follows the replacement
		g.Expect(worker.fences[0].Generation).To(BeNumerically(">", before))
		g.Expect(a.state.Load().Describes(next)).To(BeTrue())
	})
}

// Guards against TWICE: a new process of a sidecar described a foreign worker to the holder.
func TestHolderHearsOfAWorkerOnceItHasAnswered(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{failure: context.DeadlineExceeded}
	a, _ := linkedAgent(worker)
	fresh := New(a.config, worker, nil, a.metrics, a.log)
	fresh.RecordHeartbeat(runs.Description{Incarnation: testIncarnation, Sequence: 1})
	g.Expect(fresh.state.Load().Describes(testIncarnation)).To(BeTrue())
	g.Expect(fresh.state.Load().Verified).To(BeFalse())
	worker.failure, worker.incarnation = nil, testIncarnation
	(&lister{agent: fresh}).listOnce(t.Context(), fresh.state.Load())
	g.Expect(fresh.state.Load().Verified).To(BeTrue())
}

// Guards against runs that are given up on the word of a late or foreign departure.
func TestDepartureOfAWorkerThatStillAnswersIsNotReported(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{incarnation: testIncarnation}
	a, _ := linkedAgent(worker)
	l := &lister{agent: a}
	a.Deregister(testIncarnation.ID)
	l.listOnce(t.Context(), a.state.Load())
	worker.failure = context.DeadlineExceeded
	l.listOnce(t.Context(), a.state.Load())
	g.Expect(a.leftIncarnation.Load()).To(BeNil())
	worker.failure = runs.ErrNotListening
	l.listOnce(t.Context(), a.state.Load())
	g.Expect(*a.leftIncarnation.Load()).To(Equal(testIncarnation))
}

func TestHeartbeatAfterAMistakenDepartureTakesItBack(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{incarnation: testIncarnation}
	a, _ := linkedAgent(worker)
	a.Deregister(testIncarnation.ID)
	a.RecordHeartbeat(runs.Description{Incarnation: testIncarnation, Sequence: 2})
	g.Expect(a.state.Load().Description.Draining).To(BeFalse())
	worker.failure = runs.ErrNotListening
	(&lister{agent: a}).listOnce(t.Context(), a.state.Load())
	g.Expect(a.leftIncarnation.Load()).To(BeNil(), "it has crashed, and its lease may last")
}

func TestSuccessorAtTheSameAddressCompletesAShutdown(t *testing.T) {
	g := NewWithT(t)
	next := runs.Incarnation{ID: "x", StartedAtMs: 9}
	worker := &addressedWorker{incarnation: testIncarnation}
	a, _ := linkedAgent(worker)
	a.Deregister(testIncarnation.ID)
	worker.incarnation = next
	a.RecordHeartbeat(runs.Description{Incarnation: next, Sequence: 1})
	g.Expect(a.state.Load().Describes(next)).To(BeTrue())
	g.Expect(*a.leftIncarnation.Load()).To(Equal(testIncarnation))
}
