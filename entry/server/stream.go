package server

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// errLinkLost cancels the operations that depend on a link that has ended.
var errLinkLost = errors.New("link to the entry was lost")

// errAbandoned cancels the sending of an answer that the entry no longer waits
// for.
var errAbandoned = errors.New("the entry no longer waits for the answer")

// stream is one request, or one query, on a link.
type stream struct {
	session *session
	number  uint64
	// ctx ends with the request. A started request that must not be repeated
	// continues if its link is lost or the entry no longer waits for it.
	ctx    context.Context
	cancel context.CancelFunc
	// body is set if the request's body is received in pieces.
	body *link.Receiver
	// outgoing is set if the answer's body is sent in pieces.
	outgoing atomic.Pointer[outgoingBody]
	// abandoned reports that the entry no longer waits for the answer.
	abandoned  atomic.Bool
	record     atomic.Pointer[entry.Record]
	idempotent bool
	// waited is how long the request waited for a slot. Only the goroutine
	// that serves the request uses it.
	waited time.Duration
}

// outgoingBody is the body of an answer that is being sent in pieces.
type outgoingBody struct {
	sender *link.Sender
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// newStream returns a stream for a request with the given deadline. The zero time
// stands for no deadline.
func newStream(s *session, number uint64, deadline time.Time) *stream {
	st := &stream{session: s, number: number}
	if deadline.IsZero() {
		st.ctx, st.cancel = context.WithCancel(s.ctx)
		return st
	}
	st.ctx, st.cancel = context.WithDeadline(s.ctx, deadline)
	return st
}

// startOutgoingBody prepares to send the answer's body in pieces.
func (st *stream) startOutgoingBody() *outgoingBody {
	p := &outgoingBody{sender: link.NewSender()}
	p.ctx, p.cancel = context.WithCancelCause(st.session.linkCtx)
	st.outgoing.Store(p)
	if st.abandoned.Load() {
		p.cancel(errAbandoned)
	}
	return p
}

// handleCredit grants credit for further bytes of the answer's body.
func (st *stream) handleCredit(bytes int64) {
	if p := st.outgoing.Load(); p != nil {
		p.sender.Grant(bytes)
	}
}

// pushBody appends a piece to the request's body.
func (st *stream) pushBody(data []byte) error {
	if st.body == nil {
		return errors.New("piece of a body for a request without one")
	}
	return st.body.Push(data)
}

func (st *stream) grant(bytes int64) {
	st.send(wire.Encode(wire.TypeCredit, st.number, &wire.Credit{Bytes: bytes}))
}

func (st *stream) send(f frame.Frame) bool { return st.session.link.Send(f) }

// close frees the stream's number on the link and cancels its context.
func (st *stream) close() {
	st.session.streams.Remove(st.number)
	st.cancel()
}

func (st *stream) endBody() {
	if st.body != nil {
		st.body.End(io.EOF)
	}
}

// handleCancel handles a cancellation by the entry. It ends the sending of the
// answer, and cancels the request unless it has started and is not idempotent.
func (st *stream) handleCancel() {
	st.abandoned.Store(true)
	if p := st.outgoing.Load(); p != nil {
		p.cancel(errAbandoned)
	}
	record := st.record.Load()
	if record != nil && record.State() == entry.StateStarted && !st.idempotent {
		return
	}
	st.cancel()
}

func (st *stream) refuse(refusal *carobkeel.Error) {
	st.send(wire.Encode(wire.TypeRefused, st.number, &wire.Refused{
		Code:             uint16(refusal.Code),
		Detail:           refusal.Detail,
		Ran:              uint8(refusal.Ran),
		RetryAfterMillis: int64(refusal.RetryAfter / time.Millisecond),
		Load:             st.session.server.load(),
	}))
}

// answer sends an outcome in one message.
func (st *stream) answer(o *entry.Outcome) {
	if o.Refusal != nil {
		st.refuse(o.Refusal)
		return
	}
	st.send(wire.Encode(wire.TypeAnswer, st.number, &wire.Answer{
		Status:     o.Status,
		Header:     wire.FromFields(o.Header),
		BodyLength: int64(len(o.Body)),
		Body:       o.Body,
		WaitMicros: st.waited.Microseconds(),
		Load:       st.session.server.load(),
	}))
}

func (s *Server) load() wire.Load {
	load := s.Load()
	return wire.Load{
		Running:      uint32(max(load.Running, 0)),
		Queued:       uint32(max(load.Queued, 0)),
		UrgentQueued: uint32(max(load.UrgentQueued, 0)),
		Limit:        uint32(load.Limit),
	}
}
