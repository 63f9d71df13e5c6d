package client

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// refusalGrace is how long a request whose time has run out waits for the
// sidecar's word on whether it had started.
const refusalGrace = 50 * time.Millisecond

// Views gives the present state of the sidecars.
type Views interface {
	View() *sidecar.View
}

// Forwarder sends requests to sidecars.
type Forwarder struct {
	views   Views
	pool    *pool
	config  Config
	metrics *Metrics
}

// NewForwarder returns a forwarder whose links end with ctx.
func NewForwarder(ctx context.Context, self carobkeel.Incarnation, views Views, config Config, metrics *Metrics) *Forwarder {
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	if config.Admission == nil {
		config.Admission = caller.NewAdmission()
	}
	return &Forwarder{
		views:   views,
		pool:    newPool(ctx, self, config),
		config:  config,
		metrics: metrics,
	}
}

// Prune closes the links to sidecars that are no longer announced.
func (f *Forwarder) Prune() {
	view := f.views.View()
	f.pool.forget(func(address string) bool {
		_, known := view.Member(address)
		return known
	})
	f.metrics.lateFrames(f.pool.late.Load())
}

// Forward sends the request to a sidecar and returns the upstream's answer. Every
// error is a *carobkeel.Error.
func (f *Forwarder) Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error) {
	account := f.config.Admission.Account(r.OwnerClass())
	refused := carobkeel.NewError(carobkeel.CodeNoUpstream, "no upstream of %s is announced", r.Service)
	var tried []*sidecar.Member
	for len(tried) < f.config.Attempts {
		member := f.pick(r, tried)
		if member == nil {
			return nil, refused
		}
		tried = append(tried, member)
		var answer *caller.Answer
		var last *carobkeel.Error
		answer, tried, last = f.sendHedged(ctx, account, r, tried)
		if last == nil {
			return answer, nil
		}
		refused = caller.Joined(refused, last)
		if ctx.Err() != nil || !f.config.Admission.MayRepeat(account, r, last) {
			return nil, refused
		}
		f.metrics.retry()
	}
	return nil, refused
}

// pick chooses the sidecar for a request, nil where there is none.
func (f *Forwarder) pick(r *caller.Request, tried []*sidecar.Member) *sidecar.Member {
	return f.views.View().Pool(r.Service).Pick(sidecar.Choice{
		From:   f.config.DataCentre,
		Class:  r.Class,
		Random: rand.Uint64(),
		Now:    time.Now(),
		Tried:  tried,
	})
}

// send carries one request to one sidecar and notes how that went.
func (f *Forwarder) send(ctx context.Context, m *sidecar.Member, r *caller.Request) (*caller.Answer, *carobkeel.Error) {
	m.Live.Begin(r.Class)
	started := time.Now()
	answer, refusal := f.carry(ctx, m, r, func() { m.Live.End(r.Class) })
	f.observe(m, r, answer, refusal, time.Since(started))
	return answer, refusal
}

// carry sends the request and waits for the beginning of the answer. release is
// called once the request is over.
func (f *Forwarder) carry(ctx context.Context, m *sidecar.Member, r *caller.Request, release func()) (*caller.Answer, *carobkeel.Error) {
	c, err := f.pool.conn(ctx, m.Address)
	if err == nil && c.incarnation() != m.Incarnation {
		err = errReplaced
	}
	if err != nil {
		release()
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamUnreachable, "sidecar %s: %v", m.Address, err)
	}
	m.Live.RoundTripMicros.Store(c.link.RoundTrip().Microseconds())
	body := following(r)
	s, ok := newStream(ctx, c, m, body != nil)
	if !ok {
		release()
		return nil, carobkeel.NewError(carobkeel.CodeOverloaded, "the link to sidecar %s is full", m.Address)
	}
	c.link.Send(wire.Encode(wire.TypeOpen, s.number, openMessage(r)))
	if body != nil {
		go sendBody(ctx, s, body)
	}
	got := await(ctx, s)
	if got.lost && repeatsFreely(r) {
		release()
		return nil, carobkeel.NewError(carobkeel.CodeLinkLost, "the link to sidecar %s was lost", m.Address)
	}
	if got.lost {
		s, got = f.query(ctx, m.Address, m.Incarnation, r.ID, m)
	}
	if got.refusal != nil {
		release()
		return nil, got.refusal
	}
	return newAnswer(s, got.answer, release), nil
}

// repeatsFreely reports whether sending the request again is quicker than asking
// what became of it, and harmless.
func repeatsFreely(r *caller.Request) bool {
	return r.Idempotent && r.Key == "" && r.Repeatable()
}

// await parks until the answer begins. Once the caller's time has run out it
// asks the sidecar to drop the request and waits a moment for its word.
func await(ctx context.Context, s *stream) result {
	select {
	case got := <-s.first:
		return got
	case <-ctx.Done():
	}
	if context.Cause(ctx) == errSuperseded {
		s.abandon()
		return result{refusal: outOfTime(ctx)}
	}
	s.conn.link.Send(frame.Frame{Type: wire.TypeCancel, Stream: s.number})
	grace := time.NewTimer(refusalGrace)
	defer grace.Stop()
	select {
	case got := <-s.first:
		if !got.lost && got.refusal != nil {
			return got
		}
	case <-grace.C:
	}
	s.abandon()
	return result{refusal: outOfTime(ctx)}
}

func outOfTime(ctx context.Context) *carobkeel.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return carobkeel.NewError(carobkeel.CodeTimeoutUnknown, "the time ran out with the request at a sidecar")
	}
	return carobkeel.NewError(carobkeel.CodeCallerGone, "the caller went away with the request at a sidecar")
}

func sendBody(ctx context.Context, s *stream, body io.Reader) {
	_, err := s.outgoing.Send(ctx, body, func(data []byte) error {
		if !s.conn.link.Send(frame.Frame{Type: wire.TypeBody, Stream: s.number, Payload: data}) {
			return errLinkLost
		}
		return nil
	})
	if err != nil {
		s.conn.link.Send(frame.Frame{Type: wire.TypeCancel, Stream: s.number})
		return
	}
	s.conn.link.Send(frame.Frame{Type: wire.TypeBodyEnd, Stream: s.number})
}

// floorUnit is a floor of one in an Open message.
const floorUnit = 1000

// inlineBytes is the longest body that goes with the Open message.
const inlineBytes = 64 << 10

// following returns the body where it goes in pieces after the Open message.
func following(r *caller.Request) io.Reader {
	if r.Body != nil {
		return r.Body
	}
	if len(r.Content) > inlineBytes {
		return bytes.NewReader(r.Content)
	}
	return nil
}

func openMessage(r *caller.Request) *wire.Open {
	open := &wire.Open{
		EntryIncarnation: uint64(r.ID.Entry),
		Sequence:         r.ID.Sequence,
		Service:          string(r.Service),
		Owner:            string(r.Owner),
		Class:            uint8(r.Class),
		Floor:            uint16(math.Round(r.Share.Floor * floorUnit)),
		Concurrency:      uint32(r.Share.Concurrency),
		Queue:            int32(r.Share.Queue),
		Method:           r.Method,
		Path:             r.Path,
		Header:           wire.FromFields(r.Header),
		TimeoutMicros:    time.Until(r.Deadline).Microseconds(),
		Idempotent:       r.Idempotent,
		Key:              r.Key,
		BodyLength:       r.BodyLength,
		BodyFollows:      r.Body != nil || len(r.Content) > inlineBytes,
	}
	if !open.BodyFollows {
		open.Body = r.Content
	}
	if r.Key != "" {
		open.Digest = r.Digest[:]
	}
	return open
}

func newAnswer(s *stream, a *wire.Answer, release func()) *caller.Answer {
	answer := &caller.Answer{
		Status:     a.Status,
		Header:     wire.ToFields(a.Header),
		BodyLength: a.BodyLength,
		Waited:     time.Duration(a.WaitMicros) * time.Microsecond,
	}
	if a.BodyFollows {
		answer.Body = &answerBody{stream: s, body: s.body.Load(), onEnd: release}
		return answer
	}
	release()
	answer.Body = io.NopCloser(bytes.NewReader(a.Body))
	return answer
}
