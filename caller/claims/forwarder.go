package claims

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

// Sidecars sends requests to chosen sidecars.
type Sidecars interface {
	// Forward chooses a sidecar and sends the request there.
	Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error)
	// Pick chooses a sidecar for the request, except those tried, and returns
	// its address and incarnation. ok is false if there is none.
	Pick(r *caller.Request, tried []string) (address string, incarnation carobkeel.Incarnation, ok bool)
	// SendTo sends the request to the given sidecar.
	SendTo(ctx context.Context, address string, incarnation carobkeel.Incarnation, r *caller.Request) (*caller.Answer, error)
	// Query returns the answer to a request that was sent to the sidecar
	// before, or an error that says whether the request ran.
	Query(ctx context.Context, address string, incarnation carobkeel.Incarnation, id carobkeel.RequestID) (*caller.Answer, error)
}

const (
	// maxSidecars is the maximum number of sidecars that a request with an
	// idempotency key is sent to.
	maxSidecars = 3
	// maxClaimChecks is the maximum number of times that one request inspects the
	// claim of its key. Between two of them it tries to take over the claim.
	maxClaimChecks = 4
	// writeTimeout is the time limit for completing or releasing a claim.
	writeTimeout = 5 * time.Second
)

// Forwarder sends requests to sidecars. Those with an idempotency key run under a
// claim.
type Forwarder struct {
	store    *Store
	sidecars Sidecars
	log      *log.Logger
}

// NewForwarder returns a forwarder.
func NewForwarder(store *Store, sidecars Sidecars, logger *log.Logger) *Forwarder {
	return &Forwarder{store: store, sidecars: sidecars, log: logger}
}

// Forward sends the request and returns its answer. Every error is a
// *carobkeel.Error.
func (f *Forwarder) Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error) {
	if r.Key == "" {
		return f.sidecars.Forward(ctx, r)
	}
	address, incarnation, ok := f.sidecars.Pick(r, nil)
	if !ok {
		return nil, carobkeel.NewError(carobkeel.CodeNoUpstream, "no upstream of %s is announced", r.Service)
	}
	stored, err := f.store.Create(ctx, r, newClaim(r, address, incarnation))
	for range maxClaimChecks {
		if err != nil {
			return nil, claimError(err)
		}
		switch caller.NextClaimStep(stored.Claim, r.Digest, stored.Created) {
		case caller.ClaimRun:
			return f.send(ctx, stored, r)
		case caller.ClaimConflict:
			return nil, carobkeel.NewError(carobkeel.CodeKeyConflict, "the key came before with another method, path or body")
		case caller.ClaimReplay:
			return storedAnswer(stored.Answer), nil
		case caller.ClaimFetch:
			return f.fetch(ctx, stored)
		}
		answer, refusal := f.query(ctx, stored)
		if refusal == nil {
			return answer, nil
		}
		if !caller.MayTakeOver(refusal) || ctx.Err() != nil {
			return nil, refusal
		}
		stored, err = f.store.Replace(ctx, stored, newClaim(r, address, incarnation))
	}
	return nil, carobkeel.NewError(carobkeel.CodeOverloaded, "other repeats of the key came first")
}

// query waits for the answer to the claimed request.
func (f *Forwarder) query(ctx context.Context, stored *StoredClaim) (*caller.Answer, *carobkeel.Error) {
	answer, err := f.sidecars.Query(ctx, stored.Address, stored.Incarnation, stored.Request)
	if err != nil {
		return nil, carobkeel.AsError(err)
	}
	return f.storeAnswer(stored, answer)
}

// fetch returns the answer to a completed request from its sidecar.
func (f *Forwarder) fetch(ctx context.Context, stored *StoredClaim) (*caller.Answer, error) {
	answer, err := f.sidecars.Query(ctx, stored.Address, stored.Incarnation, stored.Request)
	if err != nil {
		return nil, carobkeel.NewError(carobkeel.CodeAnswerLost, "the answer is not kept any more: %v", err)
	}
	return answer, nil
}

// send sends a request whose claim this entry has created. As long as the request is
// known not to have run, the claim moves with it to another sidecar.
func (f *Forwarder) send(ctx context.Context, stored *StoredClaim, r *caller.Request) (*caller.Answer, error) {
	var tried []string
	for {
		answer, err := f.sidecars.SendTo(ctx, stored.Address, stored.Incarnation, r)
		if err == nil {
			answer, refusal := f.storeAnswer(stored, answer)
			if refusal != nil {
				return nil, refusal
			}
			return answer, nil
		}
		refusal := carobkeel.AsError(err)
		if refusal.Ran != carobkeel.RanNo {
			return nil, refusal
		}
		tried = append(tried, stored.Address)
		next, failure := f.moveClaim(ctx, stored, r, tried, refusal)
		if failure != nil {
			return nil, failure
		}
		stored = next
	}
}

// moveClaim replaces the claim of a request that has not run by one for another
// sidecar. If the request may not be sent again, it releases the claim and returns
// the refusal.
func (f *Forwarder) moveClaim(ctx context.Context, stored *StoredClaim, r *caller.Request, tried []string, refusal *carobkeel.Error) (*StoredClaim, *carobkeel.Error) {
	address, incarnation, ok := f.sidecars.Pick(r, tried)
	if !ok || len(tried) >= maxSidecars || ctx.Err() != nil || !caller.MayRetry(r, refusal) {
		f.release(stored)
		return nil, refusal
	}
	next, err := f.store.Replace(ctx, stored, newClaim(r, address, incarnation))
	if err != nil {
		return nil, refusal
	}
	if !next.Created {
		return nil, refusal
	}
	return next, nil
}

func (f *Forwarder) release(stored *StoredClaim) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		if err := f.store.Release(ctx, stored); err != nil {
			f.log.Debug().Err(err).Msg("could not release claim")
		}
	}()
}

// storeAnswer buffers the answer and starts storing it with the claim, while the
// answer goes to the caller. An answer that is too long to be stored is streamed.
func (f *Forwarder) storeAnswer(stored *StoredClaim, answer *caller.Answer) (*caller.Answer, *carobkeel.Error) {
	if answer.BodyLength < 0 || answer.BodyLength > caller.MaxStoredAnswer {
		f.complete(stored, nil)
		return answer, nil
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamFailed, "the answer broke off: %v", err)
	}
	f.complete(stored, &caller.StoredAnswer{Status: answer.Status, Header: answer.Header, Body: body})
	buffered := *answer
	buffered.Body = io.NopCloser(bytes.NewReader(body))
	return &buffered, nil
}

func (f *Forwarder) complete(stored *StoredClaim, answer *caller.StoredAnswer) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		if err := f.store.Complete(ctx, stored, answer); err != nil {
			f.log.Debug().Err(err).Msg("could not store answer with claim")
		}
	}()
}

func newClaim(r *caller.Request, address string, incarnation carobkeel.Incarnation) *caller.Claim {
	return &caller.Claim{Request: r.ID, Address: address, Incarnation: incarnation, Digest: r.Digest, CreatedAt: time.Now()}
}

func storedAnswer(kept *caller.StoredAnswer) *caller.Answer {
	return &caller.Answer{
		Status:     kept.Status,
		Header:     kept.Header,
		BodyLength: int64(len(kept.Body)),
		Body:       io.NopCloser(bytes.NewReader(kept.Body)),
	}
}
