package agent

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// repeatDelay is how long a request for a listing that changes nothing may take before it is
	// sent again beside the first one. The worker is on the same host.
	repeatDelay = 100 * time.Millisecond
	// mostRequests is how often such a request is sent.
	mostRequests = 3
)

// listed is the outcome of a request for a listing.
type listed struct {
	listing runs.Listing
	answer  runs.Answer
	err     error
}

// listRepeatedly requests a listing that neither extends the lease nor acknowledges ends nor waits.
// While there is no answer, it sends further requests beside the first one, which may be lost. It
// returns the first answer, or the last error.
func (a *Agent) listRepeatedly(ctx context.Context, e runs.Envelope) (runs.Listing, runs.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan listed, mostRequests)
	request := func() {
		var l listed
		l.listing, l.answer, l.err = a.worker.List(ctx, e, 0, 0)
		outcomes <- l
	}
	go request()
	timer := time.NewTimer(repeatDelay)
	defer timer.Stop()
	for sent, pending := 1, 1; ; {
		select {
		case l := <-outcomes:
			if pending--; l.err == nil || pending == 0 {
				return l.listing, l.answer, l.err
			}
		case <-timer.C:
			go request()
			pending++
			if sent++; sent < mostRequests {
				timer.Reset(repeatDelay)
			}
		}
	}
}
