package agent

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
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
				g.Expect(isConfirmed(a)).To(BeTrue(), "starts go on")
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
		before := a.state.Load().Fence(testTerm).Generation
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

// Guards against starts that are sent to a worker that leaves, and refused by its sidecar.
func TestHolderHearsOfADepartureThatIsAnnounced(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&addressedWorker{incarnation: testIncarnation})
	_, received := captureLink(t, a)
	a.Deregister(testIncarnation.ID)
	g.Eventually(received).Should(Receive(Equal(frame.Type(wire.TypeDescription))))
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

// Guards against a lease that is cut with each new link after a departure that was mistaken.
func TestDepartureOfAWorkerThatIsBackIsNotReportedAgain(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{incarnation: testIncarnation, failure: runs.ErrNotListening}
	a, _ := linkedAgent(worker)
	a.Deregister(testIncarnation.ID)
	(&lister{agent: a}).listOnce(t.Context(), a.state.Load())
	g.Expect(a.leftIncarnation.Load()).NotTo(BeNil())
	a.RecordHeartbeat(runs.Description{Incarnation: testIncarnation, Sequence: 2})
	g.Expect(a.leftIncarnation.Load()).To(BeNil())
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

// Guards against a sidecar that turns its own worker away, whose other address its heartbeats name.
func TestOwnWorkerThatRefusesAnEarlierFenceIsNotTurnedAway(t *testing.T) {
	g := NewWithT(t)
	worker := &listingWorker{result: runs.ResultStaleEpoch}
	a, _ := linkedAgent(worker)
	fresh := New(a.config, worker, nil, a.metrics, a.log)
	fresh.config.WorkerAddress = ownAddress
	heartbeat := runs.Description{Incarnation: testIncarnation, Address: otherAddress, Sequence: 1}
	g.Expect(fresh.RecordHeartbeat(heartbeat)).To(BeTrue())
	g.Expect(fresh.state.Load().Describes(testIncarnation)).To(BeTrue())
	g.Expect(fresh.state.Load().Verified).To(BeFalse(), "its start is not known")
}

// sharedAddress answers for two incarnations, as at a release whose workers share a port.
type sharedAddress struct {
	scriptedWorker
	living map[string]runs.Incarnation
}

func (w *sharedAddress) List(_ context.Context, e runs.Envelope, _ uint64, _ time.Duration) (runs.Listing, runs.Answer, error) {
	found, lives := w.living[e.Incarnation.ID]
	if !lives {
		return runs.Listing{}, runs.Answer{Result: runs.ResultOtherIncarnation}, nil
	}
	return runs.Listing{StartedAtMs: found.StartedAtMs}, runs.Answer{Result: runs.ResultOK, Clock: time.Minute}, nil
}

// Guards against TWICE: the successor of a worker that still runs its tasks replaced it.
func TestWorkerThatStillAnswersIsKeptBesideItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	next := runs.Incarnation{ID: "x", StartedAtMs: 9}
	address := &sharedAddress{living: map[string]runs.Incarnation{"w": testIncarnation, "x": next}}
	a, _ := linkedAgent(address)
	heartbeat := runs.Description{Incarnation: next, Address: ownAddress, Sequence: 1}
	g.Expect(a.RecordHeartbeat(heartbeat)).To(BeTrue(), "it lives at the worker's address")
	g.Expect(a.state.Load().Is(testIncarnation)).To(BeTrue())
	g.Expect(isConfirmed(a)).To(BeTrue())
	delete(address.living, testIncarnation.ID)
	(&lister{agent: a}).listOnce(t.Context(), a.state.Load())
	g.Expect(a.state.Load().Describes(next)).To(BeTrue(), "the known one has denied itself")
}

// Guards against runs that are given up: that a worker is not at this host's address says
// nothing if it never was.
func TestDepartureOfAWorkerThatNeverAnsweredIsNotReported(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{failure: context.DeadlineExceeded}
	a, _ := linkedAgent(worker)
	fresh := New(a.config, worker, nil, a.metrics, a.log)
	neighbour := runs.Incarnation{ID: "x", StartedAtMs: 9}
	fresh.RecordHeartbeat(runs.Description{Incarnation: neighbour, Sequence: 1})
	fresh.Deregister(neighbour.ID)
	worker.failure, worker.incarnation = nil, testIncarnation
	(&lister{agent: fresh}).listOnce(t.Context(), fresh.state.Load())
	g.Expect(fresh.leftIncarnation.Load()).To(BeNil())
}

// Guards against a start that is refused for the failures of the incarnation before.
func TestSuccessorIsNotUnresponsiveByTheFailuresBeforeIt(t *testing.T) {
	g := NewWithT(t)
	worker := &addressedWorker{failure: context.DeadlineExceeded}
	a, _ := linkedAgent(worker)
	next := runs.Incarnation{ID: "x", StartedAtMs: 9}
	l := &lister{agent: a}
	l.listOnce(t.Context(), a.state.Load())
	a.RecordHeartbeat(runs.Description{Incarnation: next, Address: ownAddress, Sequence: 1})
	worker.failure, worker.incarnation = nil, next
	l.listOnce(t.Context(), a.state.Load())
	g.Expect(a.state.Load().Describes(next)).To(BeTrue())
	g.Expect(a.unresponsive.Load()).To(BeFalse())
}

// Guards against late calls that are not kept off: the generation ran ahead of that of the next
// process of the sidecar.
func TestHeartbeatsOfOthersRaiseTheGenerationNoFasterThanTime(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&addressedWorker{incarnation: testIncarnation})
	other := runs.Incarnation{ID: testIncarnation.ID, StartedAtMs: testIncarnation.StartedAtMs + 1}
	began := a.state.Load().Doubts
	for sequence := range uint64(50) {
		g.Expect(a.RecordHeartbeat(runs.Description{Incarnation: other, Sequence: sequence + 1})).To(BeFalse())
	}
	g.Expect(a.state.Load().Doubts).To(BeNumerically("<=", began+5))
	next := gate.Worker{}.Fence(gate.Term{Epoch: testTerm.Epoch, Process: testTerm.Process + 1})
	g.Expect(a.state.Load().Fence(testTerm).Less(next)).To(BeTrue())
}

// isConfirmed reports whether calls to the worker may extend its lease.
func isConfirmed(a *Agent) bool {
	state := a.state.Load()
	return state.IsConfirmed(state.Fence(a.holder.Load().Term))
}

// captureLink replaces the link to the holder, and returns it with the types of the messages on it.
func captureLink(t *testing.T, a *Agent) (*entryLink, <-chan frame.Type) {
	near, far := net.Pipe()
	holderLink := &entryLink{agent: a, link: link.New(near, link.DefaultConfig())}
	holderLink.setTerm(testTerm)
	a.holderLink.Store(holderLink)
	received := make(chan frame.Type, 8)
	go func() { _ = holderLink.link.Run(t.Context(), func(frame.Frame) error { return nil }) }()
	go func() {
		_ = link.New(far, link.DefaultConfig()).Run(t.Context(), func(f frame.Frame) error {
			received <- f.Type
			return nil
		})
	}()
	return holderLink, received
}

// Guards against listings that the holder ignores, as it knows nothing of the incarnation yet.
func TestHolderHearsOfAWorkerBeforeItsFirstListing(t *testing.T) {
	g := NewWithT(t)
	next := runs.Incarnation{ID: "x", StartedAtMs: 9}
	a, _ := linkedAgent(&addressedWorker{incarnation: next})
	holderLink, received := captureLink(t, a)
	verified := a.state.Load().Describe(&runs.Description{Incarnation: next, Sequence: 1})
	verified.Verified = true
	a.state.Store(&verified) // and the description is still to be sent
	(&lister{agent: a, lastFullLink: holderLink, lastFullAt: clock.Boottime()}).listOnce(t.Context(), &verified)
	g.Eventually(received).Should(Receive(Equal(frame.Type(wire.TypeDescription))))
	g.Eventually(received).Should(Receive(Equal(frame.Type(wire.TypeListing))))
}

// Guards against a successor that is turned away for a heartbeat from before it took the place.
func TestSuccessorIsTakenInAtOnceAfterARefusedHeartbeat(t *testing.T) {
	g := NewWithT(t)
	next := runs.Incarnation{ID: "x", StartedAtMs: 9}
	worker := &addressedWorker{incarnation: testIncarnation}
	a, _ := linkedAgent(worker)
	g.Expect(a.RecordHeartbeat(runs.Description{Incarnation: next, Address: otherAddress, Sequence: 1})).To(BeFalse())
	worker.incarnation = next
	g.Expect(a.RecordHeartbeat(runs.Description{Incarnation: next, Address: ownAddress, Sequence: 2})).To(BeTrue())
	g.Expect(a.state.Load().Describes(next)).To(BeTrue())
}

// Guards against lost ends: those of a worker that restarted, and states no start in its listings,
// were acknowledged by the numbers of the incarnation before.
func TestEndsOfARestartedWorkerWithoutAStartAreNotAcknowledgedUnseen(t *testing.T) {
	g := NewWithT(t)
	next := runs.Incarnation{ID: testIncarnation.ID, StartedAtMs: testIncarnation.StartedAtMs + 1}
	a, _ := linkedAgent(&listingWorker{})
	a.acknowledged.Store(&acknowledgement{incarnation: testIncarnation, upTo: 140})
	a.RecordHeartbeat(runs.Description{Incarnation: next, Sequence: 1})
	(&lister{agent: a}).listOnce(t.Context(), a.state.Load())
	g.Expect(isConfirmed(a)).To(BeTrue())
	g.Expect(a.acknowledgedUpTo(a.state.Load(), a.state.Load().Fence(testTerm))).To(BeZero())
}
