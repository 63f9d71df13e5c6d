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

// errReplaced says that another process has the sidecar's address now.
var errReplaced = errors.New("the sidecar was replaced")

// Choose returns the sidecar for a request, passing over the addresses tried.
// The third result is false where there is none.
func (f *Forwarder) Choose(r *caller.Request, tried []string) (string, carobkeel.Incarnation, bool) {
	view := f.views.View()
	var passed []*sidecar.Member
	for _, address := range tried {
		if member, ok := view.Member(address); ok {
			passed = append(passed, member)
		}
	}
	member := f.pick(r, passed)
	if member == nil {
		return "", 0, false
	}
	return member.Address, member.Incarnation, true
}

// SendTo sends the request to one sidecar, and to no other process that has its
// address now. Every error is a *carobkeel.Error.
func (f *Forwarder) SendTo(ctx context.Context, address string, home carobkeel.Incarnation, r *caller.Request) (*caller.Answer, error) {
	member, ok := f.views.View().Member(address)
	if !ok || member.Incarnation != home {
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamUnreachable, "sidecar %s is not announced any more", address)
	}
	answer, refusal := f.send(ctx, member, r)
	if refusal != nil {
		return nil, refusal
	}
	return answer, nil
}

// Ask returns the answer of a request that was sent to the sidecar before, or a
// refusal that says whether it ran. Every error is a *carobkeel.Error.
func (f *Forwarder) Ask(ctx context.Context, address string, home carobkeel.Incarnation, id carobkeel.RequestID) (*caller.Answer, error) {
	s, got := f.query(ctx, address, home, id, nil)
	if got.refusal != nil {
		return nil, got.refusal
	}
	return newAnswer(s, got.answer, func() {}), nil
}

// query asks the sidecar over a living link what became of a request that was
// sent on another one.
func (f *Forwarder) query(ctx context.Context, address string, home carobkeel.Incarnation, id carobkeel.RequestID, m *sidecar.Member) (*stream, result) {
	f.metrics.query()
	unknown := carobkeel.NewError(carobkeel.CodeLinkLost, "sidecar %s can't be asked what became of the request", address)
	c, err := f.reach(ctx, address)
	if err != nil || c.incarnation() != home {
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
	got := await(ctx, s)
	if got.lost {
		got = result{refusal: unknown}
	}
	return s, got
}

const (
	// A sidecar that can't be reached is tried again after a time that grows
	// between these two.
	firstReachWait = 50 * time.Millisecond
	lastReachWait  = 500 * time.Millisecond
)

// reach returns a link to the sidecar, trying again until ctx ends.
func (f *Forwarder) reach(ctx context.Context, address string) (*conn, error) {
	wait := firstReachWait
	for {
		c, err := f.pool.conn(ctx, address)
		if err == nil {
			return c, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, err
		}
		wait = min(2*wait, lastReachWait)
	}
}
