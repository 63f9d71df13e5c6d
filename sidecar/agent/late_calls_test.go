package agent

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// restartingWorker is a worker that can leave calls that extend its lease unanswered, and begin
// anew under its ID.
type restartingWorker struct {
	scriptedWorker
	mu      sync.Mutex
	born    int64
	began   time.Duration
	losesIt bool
	// waits are those of the listings that extend the lease.
	waits []time.Duration
}

func newRestartingWorker() *restartingWorker {
	return &restartingWorker{born: testIncarnation.StartedAtMs, began: clock.Boottime() - time.Minute}
}

func (w *restartingWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born++
	w.began = clock.Boottime()
}

// lose has calls that extend the lease get no answer, or answers them again.
func (w *restartingWorker) lose(lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losesIt = lost
}

func (w *restartingWorker) incarnation() runs.Incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return runs.Incarnation{ID: testIncarnation.ID, StartedAtMs: w.born}
}

func (w *restartingWorker) answer() runs.Answer {
	return runs.Answer{Clock: clock.Boottime() - w.began}
}

func (w *restartingWorker) List(_ context.Context, e runs.Envelope, _ uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.Deadline != 0 {
		w.waits = append(w.waits, wait)
		if w.losesIt {
			return runs.Listing{}, runs.Answer{}, context.DeadlineExceeded
		}
	}
	return runs.Listing{StartedAtMs: w.born, Running: []runs.Running{{Run: 1}}}, w.answer(), nil
}

func (w *restartingWorker) Start(context.Context, runs.Envelope, runs.Start) (runs.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.losesIt {
		return runs.Answer{}, context.DeadlineExceeded
	}
	return w.answer(), nil
}

// lateLeaseAfter returns what the agent says of a late lease once an incarnation has listed.
func lateLeaseAfter(a *Agent, i runs.Incarnation) runs.LateLease {
	a.RecordHeartbeat(runs.Description{Incarnation: i, Sequence: 1})
	(&lister{agent: a}).listOnce(context.Background(), a.state.Load())
	return a.lateLease(i)
}

// Guards against TWICE: a listing call to the earlier incarnation of a worker was carried out by
// the next one, whose lease was then longer than the holder knew.
func TestHolderHearsOfALeaseThatAnUnansweredCallMayHaveLengthened(t *testing.T) {
	for name, c := range map[string]struct {
		lose  func(a *Agent, o receivedOrder)
		bound bool
	}{
		"listing": {func(a *Agent, _ receivedOrder) {
			(&lister{agent: a}).listOnce(context.Background(), a.state.Load())
		}, true},
		"start": {func(a *Agent, o receivedOrder) {
			a.sendOnce(context.Background(), testTerm, a.state.Load(), o)
		}, true},
		"nothing": {func(*Agent, receivedOrder) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			worker := newRestartingWorker()
			a, order := linkedAgent(worker)
			a.config.MaxLease = 10 * time.Second
			worker.lose(true)
			c.lose(a, order)
			worker.lose(false)
			for range 2 { // the call may reach any later incarnation
				worker.restart()
				late := lateLeaseAfter(a, worker.incarnation())
				g.Expect(late.Unanswered).To(Equal(c.bound))
				if c.bound {
					g.Expect(late.Remaining).To(BeNumerically("~", 10*time.Second, time.Second))
				} else {
					g.Expect(late.Remaining).To(BeZero())
				}
			}
		})
	}
}

// Guards against TWICE: a start was answered on its second try, and the first one was carried out by the
// next incarnation, whose lease was then longer than the holder knew.
func TestFirstTryOfAStartMayStillBeLateOnceTheSecondIsAnswered(t *testing.T) {
	g := NewWithT(t)
	a, order := linkedAgent(&scriptedWorker{answers: []runs.Result{runs.ResultUnknown, runs.ResultOK}})
	result, _ := a.sendWithRetries(t.Context(), order)
	g.Expect(result).To(Equal(runs.ResultOK))
	g.Expect(a.leaseCalls.Load().MayReach(testIncarnation.ID, clock.Boottime())).To(BeTrue())
}

func TestAnsweredCallsLeaveNoLateLease(t *testing.T) {
	g := NewWithT(t)
	worker := newRestartingWorker()
	a, order := linkedAgent(worker)
	a.config.MaxLease = 10 * time.Second
	(&lister{agent: a}).listOnce(context.Background(), a.state.Load())
	g.Expect(a.sendOnce(context.Background(), testTerm, a.state.Load(), order)).To(Equal(runs.ResultOK))
	worker.restart()
	g.Expect(lateLeaseAfter(a, worker.incarnation())).To(Equal(runs.LateLease{}))
}

// Guards against TWICE: the sidecar did not know yet that its worker had begun anew, and extended
// the lease of the next incarnation itself, by the clock of the one before.
func TestCallThatTheNextIncarnationAnswersMayHaveLengthenedItsLease(t *testing.T) {
	g := NewWithT(t)
	worker := newRestartingWorker()
	a, order := linkedAgent(worker)
	a.config.MaxLease = 10 * time.Second
	worker.restart()
	a.sendOnce(context.Background(), testTerm, a.state.Load(), order)
	g.Expect(lateLeaseAfter(a, worker.incarnation()).Unanswered).To(BeTrue())
}

// A crash of the worker must rarely find a call that extends the lease without an answer.
func TestListingThatExtendsTheLeaseDoesNotWait(t *testing.T) {
	g := NewWithT(t)
	worker := newRestartingWorker()
	a, _ := linkedAgent(worker)
	l := &lister{agent: a}
	for range 5 {
		l.listOnce(context.Background(), a.state.Load())
	}
	g.Expect(worker.waits).To(Equal([]time.Duration{0}), "one for each ping that was answered")
	a.confirm(testTerm, clock.Boottime())
	l.listOnce(context.Background(), a.state.Load())
	g.Expect(worker.waits).To(Equal([]time.Duration{0, 0}))
}

// Guards against TWICE that can't be traced: no line named a call for a listing that the next
// incarnation may carry out.
func TestListingWithoutAnAnswerThatMayActLaterIsLogged(t *testing.T) {
	lost := context.DeadlineExceeded
	for name, c := range map[string]struct {
		deadline     time.Duration
		acknowledged uint64
		err          error
		want         string
	}{
		"extends the lease":    {time.Second, 0, lost, `"worker":"w","born":1,"generation":4,"acknowledges":0,"deadline":1000`},
		"acknowledges ends":    {0, 7, lost, `"worker":"w","born":1,"generation":4,"acknowledges":7,"deadline":0`},
		"does neither":         {0, 0, lost, ""},
		"is answered":          {time.Second, 7, nil, ""},
		"is sent to no worker": {time.Second, 7, runs.ErrNotListening, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := linkedAgent(&scriptedWorker{})
			scope := tally.NewTestScope("", nil)
			a.metrics = NewMetrics(scope)
			var out bytes.Buffer
			a.log = logging.NewFactory(logging.Config{Level: "info", JSON: true}, &out).For("sidecar")
			e := runs.Envelope{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 1}, Fence: runs.Fence{Epoch: 3, Generation: 4}, Deadline: c.deadline}
			a.recordUnanswered(e, c.acknowledged, c.err)
			g.Expect(out.String()).To(ContainSubstring(c.want))
			g.Expect(out.Len() == 0).To(Equal(c.want == ""))
			g.Expect(scope.Snapshot().Counters()["agent.listings_unanswered+"].Value() == 1).To(Equal(c.want != ""))
		})
	}
}

// Guards against TWICE: a call stood still with its suspended host, and was taken as too old to be carried
// out once that went on.
func TestAgeOfACallDoesNotCountTheTimeInWhichTheHostWasSuspended(t *testing.T) {
	g := NewWithT(t)
	worker := newRestartingWorker()
	a, order := linkedAgent(worker)
	a.config.MaxLease = 10 * time.Second
	worker.lose(true)
	a.sendOnce(t.Context(), testTerm, a.state.Load(), order)
	worker.lose(false)
	sent := (*a.leaseCalls.Load())[0].Sent
	g.Expect(sent).To(BeNumerically("~", clock.Monotonic(), time.Second))

	a.started = clock.Boottime() - time.Hour // suspended since, as the process had just begun
	a.startedMonotonic = clock.Monotonic()
	a.leaseCalls.Store(&gate.LeaseCalls{})
	worker.restart()
	g.Expect(lateLeaseAfter(a, worker.incarnation()).Remaining).To(BeNumerically(">", 0), "an earlier process may have sent one")
}

// cutOffWorker is a worker that has begun anew with a late start, and the runs that are stopped on it.
type cutOffWorker struct {
	*restartingWorker
	stopped []runs.Stop
}

func (w *cutOffWorker) Stop(_ context.Context, _ runs.Envelope, order runs.Stop) (runs.Answer, error) {
	w.stopped = append(w.stopped, order)
	return runs.Answer{}, nil
}

// Guards against TWICE: a late start had begun under a long lease, and its host was cut off before a holder
// heard of that.
func TestSidecarWithoutAHolderStopsWhatALateStartHasBegun(t *testing.T) {
	for name, c := range map[string]struct {
		lost      bool
		confirmed time.Duration
		want      int
	}{
		"start lost, holder silent":     {true, 2500 * time.Millisecond, 1},
		"start lost, holder there":      {true, 0, 0},
		"start answered, holder silent": {false, 2500 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			worker := &cutOffWorker{restartingWorker: newRestartingWorker()}
			a, order := linkedAgent(worker)
			a.config.MaxLease = 10 * time.Second
			worker.lose(c.lost)
			a.sendOnce(context.Background(), testTerm, a.state.Load(), order)
			worker.lose(false)
			worker.restart()
			a.RecordHeartbeat(runs.Description{Incarnation: worker.incarnation(), Sequence: 1})
			holder := gate.Holder{}.Confirm(testTerm, clock.Boottime()-c.confirmed)
			a.holder.Store(&holder)
			l := &lister{agent: a}
			for range 3 { // a repeated stop may give the run more time
				l.listOnce(context.Background(), a.state.Load())
			}
			NewWithT(t).Expect(worker.stopped).To(HaveLen(c.want))
		})
	}
}

// Guards against TWICE: the holder did not hear which task an incarnation that isn't reached may run.
func TestReportOfAWorkerThatDoesNotAnswerNamesTheTasksOfLateStarts(t *testing.T) {
	g := NewWithT(t)
	worker := newRestartingWorker()
	a, order := linkedAgent(worker)
	a.config.MaxLease = 10 * time.Second
	worker.lose(true)
	a.sendOnce(t.Context(), testTerm, a.state.Load(), order)
	g.Expect(a.lateStarts(context.DeadlineExceeded)).To(ConsistOf(order.order.Task))
	g.Expect(a.lateStarts(runs.ErrNotListening)).To(BeEmpty())
}
