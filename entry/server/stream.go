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
	session  *session
	number   uint64
	ctx      context.Context
	cancel   context.CancelCauseFunc
	body     *link.Receiver
	outgoing *link.Sender
	// linkCtx ends with the link.
	linkCtx    context.Context
	linkCancel context.CancelCauseFunc
	record     atomic.Pointer[entry.Record]
	idempotent atomic.Bool
}

func newStream(s *session, number uint64, bodyFollows bool) *stream {
	st := &stream{session: s, number: number, outgoing: link.NewSender()}
	st.ctx, st.cancel = context.WithCancelCause(s.ctx)
	st.linkCtx, st.linkCancel = context.WithCancelCause(st.ctx)
	if bodyFollows {
		st.body = link.NewReceiver(st.linkCtx, st.grant)
	}
	return st
}

func (st *stream) grant(bytes int64) {
	st.send(wire.Encode(wire.TypeCredit, st.number, &wire.Credit{Bytes: bytes}))
}

func (st *stream) send(f frame.Frame) bool { return st.session.link.Send(f) }

// close ends the stream's number on the link.
func (st *stream) close() {
	st.session.streams.Remove(st.number)
	st.cancel(nil)
}

func (st *stream) bodyEnded() {
	if st.body != nil {
		st.body.End(io.EOF)
	}
}

// linkLost lets a started request go on; what it sends is dropped.
func (st *stream) linkLost() { st.linkCancel(errLinkLost) }

// abandoned ends a request that has not started, and the upstream's work on one
// that may be repeated.
func (st *stream) abandoned() {
	record := st.record.Load()
	if record != nil && record.State() == entry.StateStarted && !st.idempotent.Load() {
		st.linkCancel(errAbandoned)
		return
	}
	st.cancel(errAbandoned)
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
		Load:       st.session.server.load(),
	}))
}

func (s *Server) load() wire.Load {
	running, queued := s.Load()
	return wire.Load{
		Running: uint32(max(running, 0)),
		Queued:  uint32(max(queued, 0)),
		Limit:   uint32(s.gate.limit),
	}
}
