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

// refusalGrace is how long a request that has timed out waits for the sidecar's
// answer on whether the request had started.
const refusalGrace = 50 * time.Millisecond

// ViewSource provides the current view of the sidecars.
type ViewSource interface {
	View() *sidecar.View
}

// Forwarder sends requests to sidecars.
type Forwarder struct {
	views   ViewSource
	pool    *pool
	config  Config
	metrics *Metrics
}

// NewForwarder returns a forwarder. Its links end with ctx.
func NewForwarder(ctx context.Context, self carobkeel.Incarnation, views ViewSource, config Config, metrics *Metrics) *Forwarder {
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
	f.pool.prune(func(address string) bool {
		_, known := view.Member(address)
		return known
	})
	f.metrics.lateFrames(f.pool.lateFrames.Load())
}

// Forward sends the request to a sidecar and returns the upstream's answer. Failed
// attempts are repeated at other sidecars as far as the request and its budget allow.
// Every error is a *carobkeel.Error.
func (f *Forwarder) Forward(ctx context.Context, r *caller.Request) (*caller.Answer, error) {
	account := f.config.Admission.Account(r.OwnerClass())
	refusal := carobkeel.NewError(carobkeel.CodeNoUpstream, "no upstream of %s is announced", r.Service)
	var tried []*sidecar.Member
	for len(tried) < f.config.Attempts {
		member := f.pick(r, tried)
		if member == nil {
			return nil, refusal
		}
		tried = append(tried, member)
		var answer *caller.Answer
		var attemptRefusal *carobkeel.Error
		answer, tried, attemptRefusal = f.sendHedged(ctx, account, r, tried)
		if attemptRefusal == nil {
			return answer, nil
		}
		refusal = caller.CombineAttempts(refusal, attemptRefusal)
		if ctx.Err() != nil || !f.config.Admission.MayRetry(account, r, attemptRefusal) {
			return nil, refusal
		}
		f.metrics.retry()
	}
	return nil, refusal
}

// pick chooses the sidecar for a request. It returns nil if there is none.
func (f *Forwarder) pick(r *caller.Request, tried []*sidecar.Member) *sidecar.Member {
	return f.views.View().Pool(r.Service).Pick(sidecar.PickOptions{
		From:   f.config.DataCentre,
		Class:  r.Class,
		Random: rand.Uint64(),
		Now:    time.Now(),
		Tried:  tried,
	})
}

// send makes one attempt to send the request to one sidecar and records the outcome.
func (f *Forwarder) send(ctx context.Context, m *sidecar.Member, r *caller.Request) (*caller.Answer, *carobkeel.Error) {
	m.Stats.Begin(r.Class)
	started := time.Now()
	answer, refusal := f.exchange(ctx, m, r, func() { m.Stats.End(r.Class) })
	f.observe(m, r, answer, refusal, time.Since(started))
	return answer, refusal
}

// exchange sends the request and waits for the beginning of the answer. It calls
// release once the request has ended.
func (f *Forwarder) exchange(ctx context.Context, m *sidecar.Member, r *caller.Request, release func()) (*caller.Answer, *carobkeel.Error) {
	c, err := f.pool.conn(ctx, m.Address)
	if err == nil && c.incarnation() != m.Incarnation {
		err = errReplaced
	}
	if err != nil {
		release()
		return nil, carobkeel.NewError(carobkeel.CodeUpstreamUnreachable, "sidecar %s: %v", m.Address, err)
	}
	m.Stats.RoundTripMicros.Store(c.link.RoundTrip().Microseconds())
	body := streamedBody(r)
	s, ok := newStream(ctx, c, m, body != nil)
	if !ok {
		release()
		return nil, carobkeel.NewError(carobkeel.CodeOverloaded, "the link to sidecar %s is full", m.Address)
	}
	c.link.Send(wire.Encode(wire.TypeOpen, s.number, openMessage(r)))
	if body != nil {
		go sendBody(ctx, s, body)
	}
	outcome := awaitAnswer(ctx, s)
	if outcome.linkLost && canResend(r) {
		release()
		return nil, carobkeel.NewError(carobkeel.CodeLinkLost, "the link to sidecar %s was lost", m.Address)
	}
	if outcome.linkLost {
		s, outcome = f.query(ctx, m.Address, m.Incarnation, r.ID, m)
	}
	if outcome.refusal != nil {
		release()
		return nil, outcome.refusal
	}
	return newAnswer(s, outcome.answer, release), nil
}

// canResend reports whether the request can be sent again without harm, which is
// faster than querying its outcome.
func canResend(r *caller.Request) bool {
	return r.Idempotent && r.Key == "" && r.CanResend()
}

// awaitAnswer blocks until the answer begins. When ctx ends first, it asks the sidecar
// to cancel the request and waits up to refusalGrace for a refusal that states whether
// the request ran. A first attempt that a hedge has superseded is abandoned immediately.
func awaitAnswer(ctx context.Context, s *stream) result {
	select {
	case outcome := <-s.first:
		return outcome
	case <-ctx.Done():
	}
	if context.Cause(ctx) == errSuperseded {
		s.abandon()
		return result{refusal: contextRefusal(ctx)}
	}
	s.conn.link.Send(frame.Frame{Type: wire.TypeCancel, Stream: s.number})
	grace := time.NewTimer(refusalGrace)
	defer grace.Stop()
	select {
	case outcome := <-s.first:
		if !outcome.linkLost && outcome.refusal != nil {
			return outcome
		}
	case <-grace.C:
	}
	s.abandon()
	return result{refusal: contextRefusal(ctx)}
}

// contextRefusal returns the refusal of a request whose context has ended.
func contextRefusal(ctx context.Context) *carobkeel.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return carobkeel.NewError(carobkeel.CodeTimeoutUnknown, "the time ran out with the request at a sidecar")
	}
	return carobkeel.NewError(carobkeel.CodeCallerDisconnected, "the caller went away with the request at a sidecar")
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

// guaranteedShareUnit represents a guaranteed share of 1 in an Open message.
const guaranteedShareUnit = 1000

// inlineBytes is the size of the longest body that is included in the Open message.
const inlineBytes = 64 << 10

// streamedBody returns the body if it is sent in frames after the Open message, and
// nil if it is included in that message or there is none.
func streamedBody(r *caller.Request) io.Reader {
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
		Floor:            uint16(math.Round(r.Share.GuaranteedShare * guaranteedShareUnit)),
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
		QueueWait:  time.Duration(a.WaitMicros) * time.Microsecond,
	}
	if a.BodyFollows {
		answer.Body = &answerBody{stream: s, body: s.body.Load(), onClose: release}
		return answer
	}
	release()
	answer.Body = io.NopCloser(bytes.NewReader(a.Body))
	return answer
}
