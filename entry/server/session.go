package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// errFenced ends a link after its entry has opened a newer one.
var errFenced = errors.New("a newer link of this entry took over")

// session is one link of an entry.
type session struct {
	ctx context.Context
	// linkCtx is cancelled when the link ends.
	linkCtx    context.Context
	cancelLink context.CancelCauseFunc
	server     *Server
	link       *link.Link
	streams    link.Streams[stream]
	peer       carobkeel.Incarnation
	generation uint64
	fenced     atomic.Bool
}

func newSession(ctx context.Context, s *Server, l *link.Link) *session {
	sess := &session{ctx: ctx, server: s, link: l}
	sess.linkCtx, sess.cancelLink = context.WithCancelCause(ctx)
	return sess
}

// run serves the link until it ends. Requests in flight continue; their outcomes
// are kept and can be queried by the entry.
func (s *session) run(ctx context.Context) error {
	s.link.Send(wire.Encode(wire.TypeHello, 0, &wire.Hello{
		Version:     wire.Version,
		Incarnation: uint64(s.server.self),
	}))
	err := s.link.Run(ctx, s.handle)
	s.cancelLink(errLinkLost)
	return err
}

// fence rejects all further frames of the link and closes it.
func (s *session) fence() {
	s.fenced.Store(true)
	s.link.Close()
}

func (s *session) ended() bool {
	select {
	case <-s.link.Done():
		return true
	default:
		return false
	}
}

func (s *session) handle(f frame.Frame) error {
	if s.fenced.Load() {
		return errFenced
	}
	switch f.Type {
	case wire.TypeHello:
		return s.handleHello(f)
	case wire.TypeOpen:
		return s.handleOpen(f)
	case wire.TypeQuery:
		return s.handleQuery(f)
	}
	st := s.streams.Get(f.Stream)
	if st == nil {
		return nil // the request has ended
	}
	switch f.Type {
	case wire.TypeBody:
		return st.pushBody(f.Payload)
	case wire.TypeBodyEnd:
		st.endBody()
		return nil
	case wire.TypeCredit:
		var credit wire.Credit
		if err := wire.Decode(f, &credit); err != nil {
			return err
		}
		st.handleCredit(credit.Bytes)
		return nil
	case wire.TypeCancel:
		st.handleCancel()
		return nil
	}
	return errors.Errorf("frame type %s is not for a sidecar", wire.TypeName(f.Type))
}

func (s *session) handleHello(f frame.Frame) error {
	var hello wire.Hello
	if err := wire.Decode(f, &hello); err != nil {
		return err
	}
	if hello.Version != wire.Version {
		return errors.Errorf("entry speaks version %d, want %d", hello.Version, wire.Version)
	}
	s.peer = carobkeel.Incarnation(hello.Incarnation)
	s.generation = hello.Generation
	if !s.server.admit(s.peer, s) {
		return errFenced
	}
	return nil
}

// handleOpen starts the handling of a request. If a query for the request is
// answered first, the request finds a record that is refused and does not start.
func (s *session) handleOpen(f frame.Frame) error {
	var open wire.Open
	if err := wire.Decode(f, &open); err != nil {
		return err
	}
	if s.peer == 0 || s.peer != carobkeel.Incarnation(open.EntryIncarnation) {
		return errors.New("entry of the request is not the entry of the link")
	}
	request := requestOf(&open, time.Now())
	st := newStream(s, f.Stream, request.Deadline)
	st.idempotent = request.Idempotent
	if open.BodyFollows {
		st.body = link.NewReceiver(s.linkCtx, st.grant)
		request.Body = st.body
	}
	if !s.streams.Put(f.Stream, st) {
		return errors.Errorf("stream %d is already in use", f.Stream)
	}
	s.server.active.begin()
	go func() {
		defer s.server.active.end()
		s.server.serve(st, request)
	}()
	return nil
}

// handleQuery answers a query about a request that was sent on an earlier link.
func (s *session) handleQuery(f frame.Frame) error {
	var query wire.Query
	if err := wire.Decode(f, &query); err != nil {
		return err
	}
	st := newStream(s, f.Stream, time.Time{})
	if !s.streams.Put(f.Stream, st) {
		return errors.Errorf("stream %d is already in use", f.Stream)
	}
	id := carobkeel.RequestID{Entry: carobkeel.Incarnation(query.EntryIncarnation), Sequence: query.Sequence}
	go s.server.answerQuery(st, id)
	return nil
}
