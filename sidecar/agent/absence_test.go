package agent

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// absentWorker answers nothing until it begins anew under its ID.
type absentWorker struct {
	scriptedWorker
	begins time.Time
	// failure is why it doesn't answer.
	failure error
	fences  []runs.Fence
	refused []time.Time
	// reachedAfter is how long it had run at its first call.
	reachedAfter time.Duration
}

func (w *absentWorker) List(_ context.Context, e runs.Envelope, _ uint64, _ time.Duration) (runs.Listing, runs.Answer, error) {
	if time.Now().Before(w.begins) {
		w.refused = append(w.refused, time.Now())
		return runs.Listing{}, runs.Answer{}, w.failure
	}
	if len(w.fences) == 0 {
		w.reachedAfter = time.Since(w.begins)
	}
	w.fences = append(w.fences, e.Fence)
	return runs.Listing{StartedAtMs: testIncarnation.StartedAtMs + 1}, runs.Answer{Clock: time.Minute}, nil
}

// Guards against TWICE: the sidecar paused 150 ms after each refused connection, and a worker that
// had begun meanwhile carried out calls to its earlier incarnation.
func TestWorkerThatBeginsAnewIsReachedAtOnce(t *testing.T) {
	for name, failure := range map[string]error{"refused": runs.ErrNotListening, "reset": syscall.ECONNRESET} {
		for _, away := range []time.Duration{3 * time.Millisecond, 333 * time.Millisecond, 999 * time.Millisecond} {
			t.Run(name+" for "+away.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					worker := &absentWorker{failure: failure, begins: time.Now().Add(away)}
					a, _ := linkedAgent(worker)
					before := a.state.Load().Fence(testTerm)
					for l := (&lister{agent: a}); len(worker.fences) == 0; {
						l.listOnce(t.Context(), a.state.Load())
					}
					g.Expect(worker.reachedAfter).To(BeNumerically("<", 2*shortestAbsencePause))
					g.Expect(before.Less(worker.fences[0])).To(BeTrue())
				})
			})
		}
	}
}

// Guards against generations that are used up and against a sidecar that spends its processor time
// on a worker that is away.
func TestWorkerThatIsAwayForLongCostsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		worker := &absentWorker{failure: runs.ErrNotListening, begins: began.Add(time.Hour)}
		a, _ := linkedAgent(worker)
		doubts := a.state.Load().Doubts
		l := &lister{agent: a}
		for time.Since(began) < 10*time.Minute {
			l.listOnce(t.Context(), a.state.Load())
		}
		g.Expect(a.state.Load().Doubts).To(Equal(doubts + 1))
		within := func(from, to time.Duration) int {
			n := 0
			for _, at := range worker.refused {
				if after := at.Sub(began); after >= from && after < to {
					n++
				}
			}
			return n
		}
		g.Expect(within(0, time.Second)).To(BeNumerically("<=", time.Second/shortestAbsencePause+2))
		g.Expect(within(time.Minute, 2*time.Minute)).To(BeNumerically("<=", time.Minute/retryPause+1))
		g.Expect(within(0, time.Minute)).To(BeNumerically("<", 2*time.Minute/retryPause))
	})
}

// Guards against starts that nobody keeps off: a listing that the earlier incarnation had answered
// confirmed the worker after it had refused a connection.
func TestAnswerFromBeforeARefusedConnectionDoesNotConfirmTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &absentWorker{failure: runs.ErrNotListening, begins: time.Now().Add(time.Hour)}
		a, _ := linkedAgent(worker)
		l := &lister{agent: a}
		l.listOnce(t.Context(), a.state.Load())
		asked := a.state.Load()
		fence := asked.Fence(testTerm)
		l.listOnce(t.Context(), a.state.Load())
		g.Expect(a.state.Load().Fence(testTerm)).To(Equal(fence))
		a.confirmState(asked, fence)
		g.Expect(isConfirmed(a)).To(BeFalse())
		a.confirmState(a.state.Load(), fence)
		g.Expect(isConfirmed(a)).To(BeTrue())
	})
}

// Guards against TWICE: a worker that began after its sidecar's new process had asked for it was
// reached 150 ms later.
func TestWorkerThatBeginsAfterItsSidecarIsFencedBeforeItsFirstHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &absentWorker{failure: runs.ErrNotListening, begins: time.Now().Add(433 * time.Millisecond)}
		linked, _ := linkedAgent(worker)
		a := New(linked.config, worker, nil, linked.metrics, linked.log)
		a.confirm(testTerm, clock.Boottime())
		for l := (&lister{agent: a}); len(worker.fences) == 0; {
			l.awaitWorker(t.Context(), a.state.Load())
		}
		g.Expect(worker.reachedAfter).To(BeNumerically("<", 2*shortestAbsencePause))
	})
}

func TestWorkerThatNeverBeginsIsAskedForOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &absentWorker{failure: runs.ErrNotListening, begins: time.Now().Add(time.Hour)}
		linked, _ := linkedAgent(worker)
		a := New(linked.config, worker, nil, linked.metrics, linked.log)
		a.confirm(testTerm, clock.Boottime())
		a.started -= time.Hour
		l := &lister{agent: a}
		for began := time.Now(); time.Since(began) < time.Minute; {
			l.awaitWorker(t.Context(), a.state.Load())
		}
		before := len(worker.refused)
		for began := time.Now(); time.Since(began) < time.Minute; {
			l.awaitWorker(t.Context(), a.state.Load())
		}
		g.Expect(len(worker.refused) - before).To(BeNumerically("~", time.Minute/idlePause, 1))
	})
}

// Guards against TWICE: a call that starts runs, acknowledges ends or extends the lease had the
// fence of the first call that reached the next incarnation.
func TestFirstAnswerOfTheNextIncarnationIsAboveAllCallsWithAnEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &callRecorder{}
		a, order := linkedAgent(worker)
		acknowledgeUpTo(a, 9)
		l := &lister{agent: a}
		var effects []runs.Fence
		for play := range 60 {
			worker.fails = play%5 < 3
			wasConfirmed, from := isConfirmed(a), len(worker.envelopes)
			l.listOnce(t.Context(), a.state.Load())
			if !wasConfirmed && isConfirmed(a) {
				g.Expect(effects).NotTo(ContainElement(a.state.Load().Confirmed))
			}
			for i, e := range worker.envelopes[from:] {
				if e.Deadline != 0 || worker.acknowledged[from+i] != 0 {
					effects = append(effects, e.Fence)
				}
			}
			worker.answers = []runs.Result{runs.ResultOK}
			if a.sendOnce(t.Context(), testTerm, a.state.Load(), order) == runs.ResultOK {
				effects = append(effects, worker.starts[len(worker.starts)-1].Fence)
			}
			a.confirm(testTerm, clock.Boottime())
			acknowledgeUpTo(a, uint64(10+play))
		}
		g.Expect(len(effects)).To(BeNumerically(">", 20))
	})
}
