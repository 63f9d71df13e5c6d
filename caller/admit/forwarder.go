// Package admit applies an entry's admission control before its forwarder. It
// refuses requests that exceed the fleet's capacity before they are sent, and gives
// refused callers randomized retry delays.
package admit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

// Next forwards admitted requests.
type Next interface {
	// Forward returns the upstream's answer. Every error is a
	// *carobkeel.Error.
	Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error)
}

// Forwarder passes admitted requests to the next forwarder.
type Forwarder struct {
	admission *caller.Admission
	next      Next
	metrics   *Metrics
}

// New returns a forwarder. Its Run method must run for the admission limits to
// adapt to the load.
func New(admission *caller.Admission, next Next, metrics *Metrics) *Forwarder {
	return &Forwarder{admission: admission, next: next, metrics: metrics}
}

// Run adapts the admission limits to the load until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	ticker := time.NewTicker(caller.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.admission.Tick()
			f.metrics.setOverloaded(f.admission.Overloaded())
		}
	}
}

// Forward refuses the request or passes it to the next forwarder. Every error is a
// *carobkeel.Error.
func (f *Forwarder) Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error) {
	account := f.admission.Account(r.OwnerClass())
	if refusal := f.admission.Admit(account, rand.Float64()); refusal != nil {
		f.metrics.countRefused(r.Owner, r.Class)
		return nil, f.admission.WithRetryDelay(account, refusal, rand.Float64())
	}
	answer, err := f.next.Forward(ctx, r)
	f.admission.Finish(account, carobkeel.CodeOf(err))
	if err != nil {
		return nil, f.admission.WithRetryDelay(account, carobkeel.AsError(err), rand.Float64())
	}
	return answer, nil
}
