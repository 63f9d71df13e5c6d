package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// lateWorker is a stand-in whose calls can each be carried out once more, late.
type lateWorker struct {
	*standin.Worker
	late []func() runs.Result
	// mute reports that no listing is answered.
	mute bool
}

func newLateWorker() *lateWorker {
	return &lateWorker{Worker: standin.New(standin.Config{
		Description: runs.Description{Incarnation: testIncarnation, Sequence: 1},
		MaxLease:    10 * time.Second, Record: standin.NewRecord(),
		Work: func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: time.Second} },
	})}
}

func (w *lateWorker) Start(ctx context.Context, e runs.Envelope, order runs.Start) (runs.Answer, error) {
	w.late = append(w.late, func() runs.Result {
		answer, _ := w.Worker.Start(context.Background(), e, order)
		return answer.Result
	})
	return w.Worker.Start(ctx, e, order)
}

func (w *lateWorker) List(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	w.late = append(w.late, func() runs.Result {
		_, answer, _ := w.Worker.List(context.Background(), e, acknowledged, 0)
		return answer.Result
	})
	if w.mute {
		return runs.Listing{}, runs.Answer{}, context.DeadlineExceeded
	}
	return w.Worker.List(ctx, e, acknowledged, wait)
}

// startProcess returns a process of the sidecar that has had a heartbeat and knows no holder.
func startProcess(worker *lateWorker) *Agent {
	config := Config{Host: "h", WorkerLease: 3 * time.Second}
	a := New(config, worker, nil, NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	a.RecordHeartbeat(worker.Description())
	return a
}

// answerAsHolder answers a ping of the process, which the holder has given the number.
func answerAsHolder(a *Agent, epoch uint64, number runs.ProcessNumber) *entryLink {
	l := newEntryLink(a)
	l.ping()
	l.handlePong(&wire.Pong{Sequence: 1, IsHolder: true, ExtendsLease: true, Epoch: epoch, Process: uint32(number)})
	synctest.Wait() // for the listing under the number
	return l
}

// listOnce has the process request one listing.
func listOnce(t *testing.T, a *Agent) {
	(&lister{agent: a}).listOnce(t.Context(), a.state.Load())
}

func startOrder(l *entryLink) receivedOrder {
	order := dispatch.Order{Incarnation: testIncarnation, Kind: dispatch.OrderStart, Task: carobkeel.TaskName{Job: "j"}, Run: 1, Ping: 1}
	return receivedOrder{order: order, epoch: l.term().Epoch, link: l}
}

// Guards against TWICE: the time of day was set back between two processes of the sidecar, and
// calls of the earlier one were above those of the later one.
func TestCallsOfAnEarlierProcessAreBelowThoseOfTheNextWhateverTheTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // begins at a time of day in the past
		g := NewWithT(t)
		worker := newLateWorker()
		earlier := startProcess(worker)
		holderLink := answerAsHolder(earlier, 3, 1)
		worker.mute = true
		for range 5 {
			listOnce(t, earlier)
		}
		worker.mute = false
		earlier.unresponsive.Store(false)
		listOnce(t, earlier)
		result, _ := earlier.sendWithRetries(t.Context(), startOrder(holderLink))
		g.Expect(result).To(Equal(runs.ResultOK))

		worker.Crash()
		late := worker.late
		answerAsHolder(startProcess(worker), 3, 2)
		for _, call := range late {
			g.Expect(call()).To(Equal(runs.ResultStaleEpoch))
		}
		g.Expect(worker.Tasks()).To(BeEmpty())
	})
}

// Guards against TWICE: a process that the holder had not numbered yet extended the lease,
// acknowledged ends and sent starts, and calls of an earlier process were above these.
func TestProcessWithoutANumberRequestsListingsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &callRecorder{}
		a, order := linkedAgent(worker)
		a.updateState(gate.Worker.Suspect)
		a.holder.Store(&gate.Holder{Term: gate.Term{Epoch: 3}, Confirmed: a.holder.Load().Confirmed, Known: true})
		a.acknowledge(receivedOrder{order: dispatch.Order{Incarnation: testIncarnation, Acknowledged: 9}})
		for range 3 {
			listOnce(t, a)
		}
		result, _ := a.sendWithRetries(t.Context(), order)
		g.Expect(result).To(Equal(runs.ResultUnconfirmed))
		g.Expect(worker.starts).To(BeEmpty())
		for i, e := range worker.envelopes {
			g.Expect(e.Deadline).To(BeZero())
			g.Expect(worker.acknowledged[i]).To(BeZero())
		}
		a.confirm(testTerm, clock.Boottime())
		listOnce(t, a)
		listOnce(t, a)
		g.Expect(worker.envelopes[3].Fence.Generation.Process()).To(Equal(testTerm.Process))
		g.Expect(worker.envelopes[3].Deadline).To(BeZero(), "this one keeps earlier calls off")
		g.Expect(worker.envelopes[4].Deadline).To(BeNumerically(">", 0))
		g.Expect(worker.acknowledged[4]).To(Equal(uint64(9)))
	})
}

// Guards against TWICE: the holder released runs by a listing after which the calls of an earlier
// process were still carried out.
func TestListingRequestedWithoutANumberIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &callRecorder{}
		a, order := linkedAgent(worker)
		a.holder.Store(&gate.Holder{Term: gate.Term{Epoch: 3}})
		a.unresponsive.Store(true)
		worker.onList = func() { // the holder answers meanwhile
			a.confirm(testTerm, clock.Boottime())
			order.link.setTerm(testTerm)
		}
		listOnce(t, a)
		g.Expect(a.unresponsive.Load()).To(BeTrue(), "the holder doesn't know that the worker answers")
		listOnce(t, a)
		g.Expect(a.unresponsive.Load()).To(BeFalse())
	})
}

// Guards against lapsed leases: an earlier process had raised its generation often, and the
// listings of the next one were refused. The worker has lived on.
func TestFirstListingOfTheNextProcessIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := newLateWorker()
		earlier := startProcess(worker)
		answerAsHolder(earlier, 3, 1)
		for range 1000 {
			earlier.updateState(gate.Worker.Suspect)
		}
		listOnce(t, earlier)
		g.Expect(isConfirmed(earlier)).To(BeTrue())
		_, err := earlier.start(t.Context(), earlier.envelope(earlier.state.Load(), earlier.holder.Load().Term), runs.Start{Run: 1})
		g.Expect(err).NotTo(HaveOccurred())
		next := startProcess(worker)
		answerAsHolder(next, 3, 2)
		g.Expect(isConfirmed(next)).To(BeTrue())
		listOnce(t, next)
		g.Expect(next.deadline.Load()).To(BeNumerically(">", 0))
	})
}

// Guards against TWICE: a process whose place another one had taken overtook it.
func TestProcessThatWasReplacedDoesNotOvertakeTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := newLateWorker()
		earlier, next := startProcess(worker), startProcess(worker)
		answerAsHolder(earlier, 3, 1)
		answerAsHolder(next, 3, 2)
		started := time.Now()
		l := &lister{agent: earlier}
		for range 100 {
			l.listOnce(t.Context(), earlier.state.Load())
		}
		g.Expect(time.Since(started)).To(BeNumerically(">", 80*retryPause), "it doesn't ask in a tight loop")
		g.Expect(isConfirmed(earlier)).To(BeFalse())
		listOnce(t, next)
		g.Expect(isConfirmed(next)).To(BeTrue())
		answerAsHolder(earlier, 3, 3)
		g.Expect(isConfirmed(earlier)).To(BeTrue(), "the holder has given it the place again")
	})
}

// Guards against TWICE: a worker that had begun together with the process carried out calls of
// the earlier process until its first heartbeat.
func TestUnknownWorkerIsFencedOnceTheHolderHasNumberedTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := newLateWorker()
		earlier := startProcess(worker)
		answerAsHolder(earlier, 3, 1)
		listOnce(t, earlier)
		worker.Crash()
		late := worker.late
		next := New(earlier.config, worker, nil, earlier.metrics, earlier.log)
		answerAsHolder(next, 3, 2)
		for _, call := range late {
			g.Expect(call()).To(Equal(runs.ResultStaleEpoch))
		}
	})
}

// A holder that has no number for the process extends no lease.
func TestHolderWithoutANumberForTheProcessIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	a, order := linkedAgent(&scriptedWorker{})
	before := *a.holder.Load()
	order.link.ping()
	order.link.handlePong(&wire.Pong{Sequence: 2, IsHolder: true, ExtendsLease: true, Epoch: 4})
	g.Expect(*a.holder.Load()).To(Equal(before))
}
