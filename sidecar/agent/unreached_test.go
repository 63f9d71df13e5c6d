package agent

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// captureListings replaces the link to the holder, and returns it with the listings on it.
func captureListings(t *testing.T, a *Agent) (*entryLink, <-chan wire.Listing) {
	near, far := net.Pipe()
	holderLink := &entryLink{agent: a, link: link.New(near, link.DefaultConfig())}
	holderLink.setTerm(testTerm)
	a.holderLink.Store(holderLink)
	received := make(chan wire.Listing, 8)
	go func() { _ = holderLink.link.Run(t.Context(), func(frame.Frame) error { return nil }) }()
	go func() {
		_ = link.New(far, link.DefaultConfig()).Run(t.Context(), func(f frame.Frame) error {
			var l wire.Listing
			if f.Type != wire.TypeListing {
				return nil
			}
			err := wire.Decode(f, &l)
			received <- l
			return err
		})
	}()
	return holderLink, received
}

// interruptedWorker has something happen while it answers its first listing.
type interruptedWorker struct {
	*restartingWorker
	once   sync.Once
	onList func()
}

func (w *interruptedWorker) List(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	listing, answer, err := w.restartingWorker.List(ctx, e, acknowledged, wait)
	if w.onList != nil {
		w.once.Do(w.onList)
	}
	return listing, answer, err
}

// Guards against TWICE: the holder got the first listing of an incarnation, with which it counts a late
// lease, before this process had reached it and knew of one.
func TestFirstListingThatTheHolderGetsTellsOfTheLateLease(t *testing.T) {
	for name, interrupt := range map[string]func(a *Agent){
		"a late heartbeat raises the doubts": func(a *Agent) {
			a.doubt(a.state.Load().Description.Incarnation, doubtHeartbeat, gate.Worker.Suspect)
		},
		"a listing beside it is missed": func(a *Agent) {
			a.doubt(a.state.Load().Description.Incarnation, doubtNoAnswer, gate.Worker.Miss)
		},
	} {
		for request, list := range map[string]func(a *Agent, l *entryLink){
			"lister":     func(a *Agent, _ *entryLink) { (&lister{agent: a}).listOnce(context.Background(), a.state.Load()) },
			"new holder": func(a *Agent, l *entryLink) { a.listForNewHolder(l) },
		} {
			t.Run(name+", "+request, func(t *testing.T) {
				g := NewWithT(t)
				worker := &interruptedWorker{restartingWorker: newRestartingWorker()}
				a, _ := linkedAgent(worker)
				a.config.MaxLease = 10 * time.Second
				worker.lose(true)
				(&lister{agent: a}).listOnce(t.Context(), a.state.Load()) // extends the lease, no answer
				worker.lose(false)
				worker.restart()
				next := a.state.Load().Describe(&runs.Description{Incarnation: worker.incarnation(), Sequence: 1})
				next.Verified = true
				a.state.Store(&next)
				holderLink, listings := captureListings(t, a)
				worker.onList = func() { interrupt(a) }
				list(a, holderLink)
				worker.onList = nil
				(&lister{agent: a}).listOnce(t.Context(), a.state.Load())
				var first wire.Listing
				g.Eventually(listings, time.Second).Should(Receive(&first))
				g.Expect(first.LateLease).To(BeNumerically(">", 9000), "ms")
				g.Expect(first.LateUnanswered).To(BeTrue())
			})
		}
	}
}
