package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/worker/runs"
)

// losingWorker loses a number of requests for a listing, and then answers after a time.
type losingWorker struct {
	scriptedWorker
	losses   int64
	takes    time.Duration
	requests atomic.Int64
}

func (w *losingWorker) List(ctx context.Context, _ runs.Envelope, _ uint64, _ time.Duration) (runs.Listing, runs.Answer, error) {
	takes := w.takes
	if w.requests.Add(1) <= w.losses {
		takes = time.Hour
	}
	select {
	case <-ctx.Done():
		return runs.Listing{}, runs.Answer{}, ctx.Err()
	case <-time.After(takes):
	}
	return runs.Listing{StartedAtMs: testIncarnation.StartedAtMs}, runs.Answer{Clock: time.Minute}, nil
}

// Guards against TWICE: the first call to a worker that had begun anew was lost, and the next one
// that could keep late calls off followed 550 ms later.
func TestRequestWithoutAnEffectIsSentAgainBesideALostOne(t *testing.T) {
	for _, c := range []struct {
		name     string
		worker   *losingWorker
		answered time.Duration
		requests int64
	}{
		{"answered", &losingWorker{}, 0, 1},
		{"one lost", &losingWorker{losses: 1}, repeatDelay, 2},
		{"two lost", &losingWorker{losses: 2}, 2 * repeatDelay, 3},
		{"slow worker", &losingWorker{takes: 350 * time.Millisecond}, 350 * time.Millisecond, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a, _ := linkedAgent(c.worker)
				began := time.Now()
				_, ok := a.requestListing(a.state.Load(), envelopeWithoutLease(a.state.Load(), testTerm))
				g.Expect(ok).To(BeTrue())
				g.Expect(time.Since(began)).To(Equal(c.answered))
				g.Expect(c.worker.requests.Load()).To(Equal(c.requests))
			})
		})
	}
}

func TestLostRequestsEndWithTheTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &losingWorker{losses: 100}
		a, _ := linkedAgent(worker)
		began := time.Now()
		_, ok := a.requestListing(a.state.Load(), envelopeWithoutLease(a.state.Load(), testTerm))
		g.Expect(ok).To(BeFalse())
		g.Expect(time.Since(began)).To(Equal(listTimeout))
		g.Expect(worker.requests.Load()).To(Equal(int64(mostRequests)))
	})
}

// A lost request that extends the lease or acknowledges ends may be carried out late.
func TestRequestWithAnEffectIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		deadline     time.Duration
		acknowledged uint64
		wait         time.Duration
	}{"lease": {deadline: time.Minute}, "acknowledgement": {acknowledged: 3}, "wait": {wait: listWait}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &losingWorker{losses: 100}
				a, _ := linkedAgent(worker)
				ctx, cancel := context.WithTimeout(t.Context(), listTimeout)
				defer cancel()
				e := envelopeWithoutLease(a.state.Load(), testTerm)
				e.Deadline = c.deadline
				_, _, err := a.list(ctx, e, c.acknowledged, c.wait)
				g := NewWithT(t)
				g.Expect(err).To(MatchError(context.DeadlineExceeded))
				g.Expect(worker.requests.Load()).To(Equal(int64(1)))
			})
		})
	}
}
