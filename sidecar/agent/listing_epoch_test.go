package agent

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against TWICE: a listing of before a takeover counted as one that had fenced the worker.
func TestListingStatesTheEpochUnderWhichItWasRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		worker := &scriptedWorker{listing: &runs.Listing{}}
		a, _ := linkedAgent(worker)
		near, far := net.Pipe()
		holderLink := &entryLink{agent: a, link: link.New(near, link.DefaultConfig())}
		holderLink.currentTerm.Store(&gate.Term{Epoch: 3, Process: 1})
		worker.onList = func() { holderLink.currentTerm.Store(&gate.Term{Epoch: 5, Process: 1}) } // the same process leads again
		var listing wire.Listing
		go func() { _ = holderLink.link.Run(t.Context(), func(frame.Frame) error { return nil }) }()
		go func() {
			_ = link.New(far, link.DefaultConfig()).Run(t.Context(), func(f frame.Frame) error {
				if f.Type != wire.TypeListing {
					return nil
				}
				return wire.Decode(f, &listing)
			})
		}()
		a.listForNewHolder(holderLink)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(listing.Full).To(BeTrue())
		g.Expect(listing.Epoch).To(Equal(uint64(3)))
	})
}
