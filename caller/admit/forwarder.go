// Package admit puts an entry's admission before its forwarder: it refuses what
// the fleet can't take before anything is sent, and spreads the return of what
// is refused.
package admit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

// Next carries the requests that are admitted.
type Next interface {
	// Forward returns the upstream's answer. Every error is a
	// *carobkeel.Error.
	Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error)
}

// Forwarder admits requests and passes them on.
type Forwarder struct {
	admission *caller.Admission
	next      Next
	metrics   *Metrics
}

// New returns a forwarder. Run it to let the admission follow the load.
func New(admission *caller.Admission, next Next, metrics *Metrics) *Forwarder {
	return &Forwarder{admission: admission, next: next, metrics: metrics}
}

// Run lets the admission follow the load until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	ticker := time.NewTicker(caller.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.admission.Tick()
			f.metrics.flooded(f.admission.Flooded())
		}
	}
}

// Forward refuses the request or passes it on. Every error is a
// *carobkeel.Error.
func (f *Forwarder) Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error) {
	account := f.admission.Account(r.OwnerClass())
	if refusal := f.admission.Admit(account, rand.Float64()); refusal != nil {
		f.metrics.refuse(r.Owner, r.Class)
		return nil, f.admission.Spread(account, refusal, rand.Float64())
	}
	answer, err := f.next.Forward(ctx, r)
	f.admission.Finish(account, carobkeel.CodeOf(err))
	if err != nil {
		return nil, f.admission.Spread(account, carobkeel.AsError(err), rand.Float64())
	}
	return answer, nil
}
