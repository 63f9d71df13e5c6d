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

// errFenced ends a link whose entry has opened a newer one.
var errFenced = errors.New("a newer link of this entry took over")

// session is one link of an entry.
type session struct {
	ctx context.Context
	// linkCtx ends with the link.
	linkCtx    context.Context
	linkLost   context.CancelCauseFunc
	server     *Server
	link       *link.Link
	streams    link.Streams[stream]
	peer       carobkeel.Incarnation
	generation uint64
	fenced     atomic.Bool
}

func newSession(ctx context.Context, s *Server, l *link.Link) *session {
	linked := &session{ctx: ctx, server: s, link: l}
	linked.linkCtx, linked.linkLost = context.WithCancelCause(ctx)
	return linked
}

// run serves the link until it ends. Requests in flight go on; their outcome is
// kept for the entry to ask for.
func (s *session) run(ctx context.Context) error {
	s.link.Send(wire.Encode(wire.TypeHello, 0, &wire.Hello{
		Version:     wire.Version,
		Incarnation: uint64(s.server.self),
	}))
	err := s.link.Run(ctx, s.handle)
	s.linkLost(errLinkLost)
	return err
}

// fence makes the link take no further request and closes it.
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
		return s.greet(f)
	case wire.TypeOpen:
		return s.open(f)
	case wire.TypeQuery:
		return s.query(f)
	}
	st := s.streams.Get(f.Stream)
	if st == nil {
		return nil // the request has ended
	}
	switch f.Type {
	case wire.TypeBody:
		return st.push(f.Payload)
	case wire.TypeBodyEnd:
		st.bodyEnded()
		return nil
	case wire.TypeCredit:
		var credit wire.Credit
		if err := wire.Decode(f, &credit); err != nil {
			return err
		}
		st.credited(credit.Bytes)
		return nil
	case wire.TypeCancel:
		st.abandoned()
		return nil
	}
	return errors.Errorf("frame type %s is not for a sidecar", wire.TypeName(f.Type))
}

func (s *session) greet(f frame.Frame) error {
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

// open takes a request. Should a query for it be answered first, the request
// finds itself refused.
func (s *session) open(f frame.Frame) error {
	var open wire.Open
	if err := wire.Decode(f, &open); err != nil {
		return err
	}
	if s.peer == 0 || s.peer != carobkeel.Incarnation(open.EntryIncarnation) {
		return errors.New("request of another entry")
	}
	request := requestOf(&open, time.Now())
	st := newStream(s, f.Stream, request.Deadline)
	st.idempotent = request.Idempotent
	if open.BodyFollows {
		st.body = link.NewReceiver(s.linkCtx, st.grant)
		request.Body = st.body
	}
	if !s.streams.Put(f.Stream, st) {
		return errors.Errorf("stream %d is taken", f.Stream)
	}
	s.server.active.begin()
	go func() {
		defer s.server.active.end()
		s.server.serve(st, request)
	}()
	return nil
}

// query answers for a request that came on an earlier link.
func (s *session) query(f frame.Frame) error {
	var query wire.Query
	if err := wire.Decode(f, &query); err != nil {
		return err
	}
	st := newStream(s, f.Stream, time.Time{})
	if !s.streams.Put(f.Stream, st) {
		return errors.Errorf("stream %d is taken", f.Stream)
	}
	id := carobkeel.RequestID{Entry: carobkeel.Incarnation(query.EntryIncarnation), Sequence: query.Sequence}
	go s.server.replay(st, id)
	return nil
}
