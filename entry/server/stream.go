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

// errLinkLost ends what depends on a link that has ended.
var errLinkLost = errors.New("link to the entry was lost")

// errAbandoned ends a request for which nobody waits any more.
var errAbandoned = errors.New("nobody waits for the request")

// stream is one request, or one query, on a link.
type stream struct {
	session *session
	number  uint64
	// ctx ends with the request. A started request that must not be repeated
	// goes on when its link is lost or nobody waits for it.
	ctx    context.Context
	cancel context.CancelFunc
	// body is set where the request's body comes in pieces.
	body *link.Receiver
	// outgoing is set where the answer's body goes in pieces.
	outgoing atomic.Pointer[pieces]
	// gone says that nobody waits for the answer any more.
	gone       atomic.Bool
	record     atomic.Pointer[entry.Record]
	idempotent bool
	// waited is how long the request waited for a slot. The goroutine that
	// serves it alone uses it.
	waited time.Duration
}

// pieces is an answer's body on its way.
type pieces struct {
	sender *link.Sender
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// newStream returns a stream for a request with the deadline. The zero deadline
// stands for none.
func newStream(s *session, number uint64, deadline time.Time) *stream {
	st := &stream{session: s, number: number}
	if deadline.IsZero() {
		st.ctx, st.cancel = context.WithCancel(s.ctx)
		return st
	}
	st.ctx, st.cancel = context.WithDeadline(s.ctx, deadline)
	return st
}

// startPieces prepares the sending of the answer's body in pieces.
func (st *stream) startPieces() *pieces {
	p := &pieces{sender: link.NewSender()}
	p.ctx, p.cancel = context.WithCancelCause(st.session.linkCtx)
	st.outgoing.Store(p)
	if st.gone.Load() {
		p.cancel(errAbandoned)
	}
	return p
}

// credited lets further pieces of the answer go.
func (st *stream) credited(bytes int64) {
	if p := st.outgoing.Load(); p != nil {
		p.sender.Grant(bytes)
	}
}

// push adds a piece of the request's body.
func (st *stream) push(data []byte) error {
	if st.body == nil {
		return errors.New("piece of a body that was not announced")
	}
	return st.body.Push(data)
}

func (st *stream) grant(bytes int64) {
	st.send(wire.Encode(wire.TypeCredit, st.number, &wire.Credit{Bytes: bytes}))
}

func (st *stream) send(f frame.Frame) bool { return st.session.link.Send(f) }

// close ends the stream's number on the link.
func (st *stream) close() {
	st.session.streams.Remove(st.number)
	st.cancel()
}

func (st *stream) bodyEnded() {
	if st.body != nil {
		st.body.End(io.EOF)
	}
}

// abandoned ends a request that has not started, and the upstream's work on one
// that may be repeated. Of another one it ends the sending of the answer.
func (st *stream) abandoned() {
	st.gone.Store(true)
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

// answer sends an outcome that is kept whole.
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
