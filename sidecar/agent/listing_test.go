package agent

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// listingWorker is a worker that answers each request for a listing at once.
type listingWorker struct {
	scriptedWorker
	listing runs.Listing
	result  runs.Result
}

func (w *listingWorker) List(context.Context, runs.Envelope, uint64, time.Duration) (runs.Listing, runs.Answer, error) {
	return w.listing, runs.Answer{Result: w.result, Clock: time.Minute}, nil
}

func TestOddRowsOfAListingAreNotReadInATightLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &listingWorker{listing: runs.Listing{LeftOut: 1}}
		a, _ := linkedAgent(worker)
		l := &lister{agent: a}
		started := time.Now()
		for range 100 {
			l.listOnce(t.Context(), a.state.Load())
		}
		NewWithT(t).Expect(time.Since(started)).To(BeNumerically(">", 100*acknowledgeWait/2))
	})
}

func TestHeartbeatOfAnIncarnationThatTheWorkerDeniesIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		odd    runs.Incarnation
		answer runs.Result
	}{
		{"another start", runs.Incarnation{ID: "w", StartedAtMs: math.MaxInt64}, runs.ResultOK},
		{"another id", runs.Incarnation{ID: "x", StartedAtMs: math.MaxInt64}, runs.ResultOtherIncarnation},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &listingWorker{listing: runs.Listing{StartedAtMs: testIncarnation.StartedAtMs}, result: c.answer}
				a, _ := linkedAgent(worker)
				a.RecordHeartbeat(runs.Description{Incarnation: c.odd, Sequence: 1})
				l := &lister{agent: a}
				l.listOnce(t.Context(), a.state.Load())
				a.RecordHeartbeat(runs.Description{Incarnation: testIncarnation, Sequence: 2})
				NewWithT(t).Expect(a.state.Load().Description.Incarnation).To(Equal(testIncarnation))
			})
		})
	}
}

func TestLeaseOfAnEarlierSidecarProcessIsNotReportedAsOver(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&scriptedWorker{})
	g.Expect(a.leaseRemaining()).To(Equal(gate.UnknownRemaining))
	a.envelope(a.state.Load(), testTerm)
	g.Expect(a.leaseRemaining()).To(BeNumerically("~", a.config.WorkerLease, a.config.WorkerLease/10))
}

// Guards against TWICE: a process that had begun a moment before told the holder how long leases of
// earlier processes last, although it had extended one itself before it took another worker in.
func TestLeaseOfAWorkerThatWasReplacedMeanwhileIsNotReportedAsOver(t *testing.T) {
	for name, age := range map[string]time.Duration{"young process": 2 * time.Second, "old process": time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := linkedAgent(&scriptedWorker{})
			a.started = clock.Boottime() - age
			a.envelope(a.state.Load(), testTerm)
			for _, next := range []runs.Incarnation{{ID: "x", StartedAtMs: 9}, testIncarnation} {
				g.Expect(a.replaceWorker(a.state.Load(), &runs.Description{Incarnation: next}, gate.AnsweredAsIt)).To(BeTrue())
			}
			a.unresponsive.Store(true)
			g.Expect(a.leaseRemaining()).To(BeNumerically("~", a.config.WorkerLease, a.config.WorkerLease/10))
			g.Expect(a.workerIsGone()).To(BeFalse())
		})
	}
}

// Runs must not outlive the remaining lease that the holder was told.
func TestLeaseIsNotExtendedBeforeTheHolderKnowsThatTheWorkerAnswers(t *testing.T) {
	g := NewWithT(t)
	worker := &scriptedWorker{}
	a, _ := linkedAgent(worker)
	a.holderLink.Load().setTerm(testTerm)
	a.confirm(testTerm, clock.Boottime())
	l := &lister{agent: a}
	for range unresponsiveAfter {
		l.listOnce(context.Background(), a.state.Load())
	}
	g.Expect(a.envelope(a.state.Load(), testTerm).Deadline).To(BeZero())
	a.confirm(testTerm, clock.Boottime())
	worker.listing = &runs.Listing{}
	l.listOnce(context.Background(), a.state.Load())
	g.Expect(a.envelope(a.state.Load(), testTerm).Deadline).To(BeZero(), "the last ping was answered before the listing")
	a.confirm(testTerm, clock.Boottime())
	g.Expect(a.envelope(a.state.Load(), testTerm).Deadline).To(BeNumerically(">", 0))
}

func TestEndsBeforeAShutdownAreListedBeforeTheWorkerExits(t *testing.T) {
	g := NewWithT(t)
	worker := &scriptedWorker{listing: &runs.Listing{}}
	a, _ := linkedAgent(worker)
	listed := false
	worker.onList = func() { listed = a.leaving.Load() == nil }
	a.Deregister(testIncarnation.ID)
	g.Expect(listed).To(BeTrue())
	g.Expect(*a.leaving.Load()).To(Equal(testIncarnation))
}

func TestDroppedListingDoesNotExtendTheLease(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&scriptedWorker{listing: &runs.Listing{}})
	next := gate.Term{Epoch: 4, Process: 1}
	a.holderLink.Load().setTerm(next) // the listing is requested under epoch 3
	a.unresponsive.Store(true)
	l := &lister{agent: a}
	l.listOnce(context.Background(), a.state.Load())
	g.Expect(a.unresponsive.Load()).To(BeTrue())
	a.confirm(next, clock.Boottime())
	l.listOnce(context.Background(), a.state.Load())
	g.Expect(a.unresponsive.Load()).To(BeFalse())
}

func TestCheckpointIsReportedOnceToEachHolder(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&scriptedWorker{})
	l := &lister{agent: a}
	first, second := newEntryLink(a), newEntryLink(a)
	report := func(link *entryLink, epoch carobkeel.Epoch, checkpoint string) string {
		task := carobkeel.TaskName{Job: "j"}
		reported := l.withoutKnownCheckpoints([]runs.Running{{Task: task, Run: 1, Checkpoint: checkpoint}}, link, epoch)
		l.lastFullLink = link
		return reported[0].Checkpoint
	}
	g.Expect(report(first, 3, "a")).To(Equal("a"))
	g.Expect(report(first, 3, "a")).To(BeEmpty())
	g.Expect(report(first, 3, "b")).To(Equal("b"))
	g.Expect(report(second, 3, "b")).To(Equal("b"), "another link")
	g.Expect(report(second, 4, "b")).To(Equal("b"), "another epoch")
	l.lastFullLink = nil
	g.Expect(report(second, 4, "b")).To(Equal("b"), "after a failed listing")
}

// callRecorder is a worker that answers listings with a result, and keeps what it was sent.
type callRecorder struct {
	scriptedWorker
	result       runs.Result
	fails        bool
	envelopes    []runs.Envelope
	acknowledged []uint64
}

func (w *callRecorder) List(_ context.Context, e runs.Envelope, acknowledged uint64, _ time.Duration) (runs.Listing, runs.Answer, error) {
	w.envelopes = append(w.envelopes, e)
	w.acknowledged = append(w.acknowledged, acknowledged)
	if w.onList != nil {
		w.onList()
	}
	if w.fails {
		return runs.Listing{}, runs.Answer{}, context.DeadlineExceeded
	}
	return runs.Listing{StartedAtMs: testIncarnation.StartedAtMs, Running: []runs.Running{{Run: 1}}}, runs.Answer{Result: w.result, Clock: time.Minute}, nil
}

// Guards against TWICE: a worker that had restarted forgot ends that nobody had read, as the
// acknowledgement was meant for its earlier incarnation, and had a lease by its earlier clock.
func TestNothingIsAcknowledgedOrExtendedWhileTheWorkerMayHaveRestarted(t *testing.T) {
	g := NewWithT(t)
	worker := &callRecorder{}
	a, _ := linkedAgent(worker)
	a.acknowledge(receivedOrder{order: dispatch.Order{Incarnation: testIncarnation, Acknowledged: 9}})
	l := &lister{agent: a}
	list := func() { l.listOnce(context.Background(), a.state.Load()) }
	list()
	g.Expect(worker.acknowledged).To(Equal([]uint64{9}))
	g.Expect(worker.envelopes[0].Deadline).To(BeNumerically(">", 0))
	worker.fails = true
	list()
	worker.fails = false
	list()
	g.Expect(worker.acknowledged[2]).To(BeZero())
	g.Expect(worker.envelopes[2].Deadline).To(BeZero())
	g.Expect(worker.envelopes[1].Fence.Less(worker.envelopes[2].Fence)).To(BeTrue())
	list()
	g.Expect(worker.acknowledged[3]).To(Equal(uint64(9)), "the worker has listed as the described incarnation")
	g.Expect(worker.envelopes[3].Deadline).To(BeNumerically(">", 0))
	g.Expect(worker.envelopes[3].Fence).To(Equal(worker.envelopes[2].Fence))
}

func TestListingRefusedForItsFenceIsRequestedInALaterGeneration(t *testing.T) {
	g := NewWithT(t)
	worker := &callRecorder{result: runs.ResultStaleEpoch}
	a, _ := linkedAgent(worker)
	l := &lister{agent: a}
	l.listOnce(context.Background(), a.state.Load())
	l.listOnce(context.Background(), a.state.Load())
	g.Expect(worker.envelopes[0].Fence.Less(worker.envelopes[1].Fence)).To(BeTrue())
}

// Guards against TWICE: a sidecar that knew no holder yet took refusals for its epoch as a reason
// to raise the generation far above the time of day. The next process began below it, so the
// calls of this one were carried out after its own.
func TestRefusalForTheEpochDoesNotRaiseTheGeneration(t *testing.T) {
	for _, c := range []struct {
		name   string
		holder gate.Holder
	}{
		{"no holder is known", gate.Holder{}},
		{"a later epoch has become known since", gate.Holder{Term: gate.Term{Epoch: 2, Process: 1}, Known: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &callRecorder{result: runs.ResultStaleEpoch}
				a, _ := linkedAgent(worker)
				later := a.holder.Load()
				a.holder.Store(&c.holder)
				worker.onList = func() {
					if c.holder.Known {
						a.holder.Store(later)
					}
				}
				doubts := a.state.Load().Doubts
				l := &lister{agent: a}
				for range 10 {
					a.holder.Store(&c.holder)
					l.listOnce(t.Context(), a.state.Load())
				}
				NewWithT(t).Expect(a.state.Load().Doubts).To(Equal(doubts))
			})
		})
	}
}

// Guards against generations that are used up, and against listings in a tight loop.
func TestGenerationRisesAtABoundedRate(t *testing.T) {
	const plays, shortestDoubt = time.Minute, 100 * time.Millisecond
	for _, c := range []struct {
		name  string
		every int
	}{{"each listing fails", 1}, {"every second listing fails", 2}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &callRecorder{}
				worker.onList = func() {
					worker.fails = len(worker.envelopes)%c.every == 0
					time.Sleep(time.Millisecond)
				}
				a, _ := linkedAgent(worker)
				doubts := a.state.Load().Doubts
				l := &lister{agent: a}
				for started := time.Now(); time.Since(started) < plays; {
					l.listOnce(t.Context(), a.state.Load())
				}
				NewWithT(t).Expect(a.state.Load().Doubts - doubts).To(BeNumerically("<", plays/shortestDoubt))
			})
		})
	}
}

// Guards against TWICE: calls to the earlier incarnation were carried out by the next for as
// long as a listing of the earlier one waited for its answer.
func TestNextIncarnationIsListedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &callRecorder{}
		a, _ := linkedAgent(worker)
		a.RecordHeartbeat(runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 2}, Sequence: 1})
		synctest.Wait()
		NewWithT(t).Expect(worker.envelopes).To(ConsistOf(HaveField("Fence", a.state.Load().Fence(testTerm))))
	})
}

// Guards against TWICE: the next incarnation got a lease by the clock of the earlier one, from
// a call to that one whose answer was recorded late.
func TestClockOfAnEarlierIncarnationIsNotThatOfTheNext(t *testing.T) {
	g := NewWithT(t)
	a, _ := linkedAgent(&scriptedWorker{})
	g.Expect(a.envelope(a.state.Load(), testTerm).Deadline).To(BeNumerically(">", 0))
	next := a.state.Load().Describe(&runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 2}})
	a.state.Store(&next)
	a.confirmState(&next, next.Fence(testTerm))
	g.Expect(a.envelope(a.state.Load(), testTerm).Deadline).To(BeZero())
}

// A worker that is unhealthy answers, and has done nothing.
func TestUnhealthyAnswerIsNoSignOfARestart(t *testing.T) {
	g := NewWithT(t)
	worker := &callRecorder{result: runs.ResultUnhealthy}
	a, _ := linkedAgent(worker)
	state := *a.state.Load()
	(&lister{agent: a}).listOnce(context.Background(), a.state.Load())
	g.Expect(*a.state.Load()).To(Equal(state))
}
