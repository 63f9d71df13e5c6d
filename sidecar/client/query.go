package client

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// errReplaced is returned if another process now has the sidecar's address.
var errReplaced = errors.New("the sidecar was replaced")

// Pick returns the address and incarnation of a sidecar for the request, skipping
// the addresses tried. The third result is false if there is none.
func (f *Forwarder) Pick(r *caller.Request, tried []string) (string, carobkeel.Incarnation, bool) {
	view := f.views.View()
	var excluded []*sidecar.Member
	for _, address := range tried {
		if member, ok := view.Member(address); ok {
			excluded = append(excluded, member)
		}
	}
	member := f.pick(r, excluded)
	if member == nil {
		return "", 0, false
	}
	return member.Address, member.Incarnation, true
}

// SendTo sends the request to the sidecar with the given address and incarnation. It
// fails if another process now has the address. Every error is a *carobkeel.Error.
func (f *Forwarder) SendTo(ctx context.Context, address string, incarnation carobkeel.Incarnation, r *caller.Request) (*caller.Answer, error) {
	member, ok := f.views.View().Member(address)
	if !ok || member.Incarnation != incarnation {
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamUnreachable, "sidecar %s is not announced any more", address)
	}
	answer, refusal := f.send(ctx, member, r)
	if refusal != nil {
		return nil, refusal
	}
	return answer, nil
}

// Query returns the answer to a request that was sent to the sidecar before, or an
// error that states whether the request ran. Every error is a *carobkeel.Error.
func (f *Forwarder) Query(ctx context.Context, address string, incarnation carobkeel.Incarnation, id carobkeel.RequestID) (*caller.Answer, error) {
	s, outcome := f.query(ctx, address, incarnation, id, nil)
	if outcome.refusal != nil {
		return nil, outcome.refusal
	}
	return newAnswer(s, outcome.answer, func() {}), nil
}

// query asks the sidecar, over a link that is up, for the outcome of a request that
// was sent on another link.
func (f *Forwarder) query(ctx context.Context, address string, incarnation carobkeel.Incarnation, id carobkeel.RequestID, m *sidecar.Member) (*stream, result) {
	f.metrics.query()
	unknown := carobkeel.NewError(carobkeel.CodeLinkLost, "sidecar %s can't be asked what became of the request", address)
	c, err := f.connWithRetry(ctx, address)
	if err != nil || c.incarnation() != incarnation {
		return nil, result{refusal: unknown}
	}
	s, ok := newStream(ctx, c, m, false)
	if !ok {
		return nil, result{refusal: unknown}
	}
	c.link.Send(wire.Encode(wire.TypeQuery, s.number, &wire.Query{
		EntryIncarnation: uint64(id.Entry),
		Sequence:         id.Sequence,
	}))
	outcome := awaitAnswer(ctx, s)
	if outcome.linkLost {
		outcome = result{refusal: unknown}
	}
	return s, outcome
}

const (
	// initialRetryDelay and maxRetryDelay are the least and the greatest delay
	// before connecting to a sidecar is attempted again.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// connWithRetry returns a link to the sidecar. It repeats failed attempts to connect
// until ctx ends.
func (f *Forwarder) connWithRetry(ctx context.Context, address string) (*conn, error) {
	delay := initialRetryDelay
	for {
		c, err := f.pool.conn(ctx, address)
		if err == nil {
			return c, nil
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}
