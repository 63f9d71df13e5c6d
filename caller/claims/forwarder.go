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
	// Pick returns the sidecar for a request. The third result is false
	// where there is none, or none beside those tried.
	Pick(r *caller.Request, tried []string) (address string, home carobkeel.Incarnation, ok bool)
	// SendTo sends the request to one sidecar.
	SendTo(ctx context.Context, address string, home carobkeel.Incarnation, r *caller.Request) (*caller.Answer, error)
	// Query returns the answer of a request that was sent to the sidecar
	// before, or a refusal that says whether it ran.
	Query(ctx context.Context, address string, home carobkeel.Incarnation, id carobkeel.RequestID) (*caller.Answer, error)
}

const (
	// attempts is how many sidecars one keyed request is sent to.
	attempts = 3
	// rounds bounds how often a claim is taken over in one request.
	rounds = 4
	// endTimeout is how long writing an answer to its claim may take.
	endTimeout = 5 * time.Second
)

// Forwarder carries requests, keyed ones under a claim.
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
	address, home, ok := f.sidecars.Pick(r, nil)
	if !ok {
		return nil, carobkeel.NewError(carobkeel.CodeNoUpstream, "no upstream of %s is announced", r.Service)
	}
	held, err := f.store.Make(ctx, r, newClaim(r, address, home))
	for range rounds {
		if err != nil {
			return nil, refusalOf(err)
		}
		switch caller.NextClaimStep(held.Claim, r.Digest, held.Own) {
		case caller.ClaimRun:
			return f.run(ctx, held, r)
		case caller.ClaimConflict:
			return nil, carobkeel.NewError(carobkeel.CodeKeyConflict, "the key came before with another method, path or body")
		case caller.ClaimReplay:
			return replayed(held.Answer), nil
		case caller.ClaimFetch:
			return f.fetch(ctx, held)
		}
		answer, asked := f.ask(ctx, held)
		if asked == nil {
			return answer, nil
		}
		if !caller.MayTakeOver(asked) || ctx.Err() != nil {
			return nil, asked
		}
		held, err = f.store.Replace(ctx, held, newClaim(r, address, home))
	}
	return nil, carobkeel.NewError(carobkeel.CodeOverloaded, "other repeats of the key came first")
}

// ask waits for the answer of the request that has the claim.
func (f *Forwarder) ask(ctx context.Context, held *Held) (*caller.Answer, *carobkeel.Error) {
	answer, err := f.sidecars.Query(ctx, held.Address, held.Home, held.Request)
	if err != nil {
		return nil, carobkeel.AsError(err)
	}
	return f.keep(held, answer)
}

// fetch gives the answer of a request that has ended, from its sidecar.
func (f *Forwarder) fetch(ctx context.Context, held *Held) (*caller.Answer, error) {
	answer, err := f.sidecars.Query(ctx, held.Address, held.Home, held.Request)
	if err != nil {
		return nil, carobkeel.NewError(carobkeel.CodeAnswerLost, "the answer is not kept any more: %v", err)
	}
	return answer, nil
}

// run sends a request whose claim is this entry's own. While the request surely
// has not run, the claim moves with it to another sidecar.
func (f *Forwarder) run(ctx context.Context, held *Held, r *caller.Request) (*caller.Answer, error) {
	var tried []string
	for {
		answer, err := f.sidecars.SendTo(ctx, held.Address, held.Home, r)
		if err == nil {
			answer, kept := f.keep(held, answer)
			if kept != nil {
				return nil, kept
			}
			return answer, nil
		}
		refusal := carobkeel.AsError(err)
		if refusal.Ran != carobkeel.RanNo {
			return nil, refusal
		}
		tried = append(tried, held.Address)
		next, moved := f.move(ctx, held, r, tried, refusal)
		if moved != nil {
			return nil, moved
		}
		held = next
	}
}

// move gives a claim whose request has not run to another sidecar, or gives the
// key free and returns the refusal.
func (f *Forwarder) move(ctx context.Context, held *Held, r *caller.Request, tried []string, refusal *carobkeel.Error) (*Held, *carobkeel.Error) {
	address, home, ok := f.sidecars.Pick(r, tried)
	if !ok || len(tried) >= attempts || ctx.Err() != nil || !caller.MayRetry(r, refusal) {
		f.release(held)
		return nil, refusal
	}
	next, err := f.store.Replace(ctx, held, newClaim(r, address, home))
	if err != nil {
		return nil, refusal
	}
	if !next.Own {
		return nil, refusal
	}
	return next, nil
}

func (f *Forwarder) release(held *Held) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := f.store.Release(ctx, held); err != nil {
			f.log.Debug().Err(err).Msg("claim not released")
		}
	}()
}

// keep reads the answer whole and writes it to the claim, beside the answer to
// the caller. An answer too long to be kept is passed on as it comes.
func (f *Forwarder) keep(held *Held, answer *caller.Answer) (*caller.Answer, *carobkeel.Error) {
	if answer.BodyLength < 0 || answer.BodyLength > caller.MaxKeptAnswer {
		f.end(held, nil)
		return answer, nil
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamFailed, "the answer broke off: %v", err)
	}
	f.end(held, &caller.KeptAnswer{Status: answer.Status, Header: answer.Header, Body: body})
	whole := *answer
	whole.Body = io.NopCloser(bytes.NewReader(body))
	return &whole, nil
}

func (f *Forwarder) end(held *Held, answer *caller.KeptAnswer) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := f.store.End(ctx, held, answer); err != nil {
			f.log.Debug().Err(err).Msg("answer not kept")
		}
	}()
}

func newClaim(r *caller.Request, address string, home carobkeel.Incarnation) *caller.Claim {
	return &caller.Claim{Request: r.ID, Address: address, Home: home, Digest: r.Digest, Born: time.Now()}
}

func replayed(kept *caller.KeptAnswer) *caller.Answer {
	return &caller.Answer{
		Status:     kept.Status,
		Header:     kept.Header,
		BodyLength: int64(len(kept.Body)),
		Body:       io.NopCloser(bytes.NewReader(kept.Body)),
	}
}
