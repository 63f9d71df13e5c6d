package server

import (
	"bytes"
	"context"
	"hash/crc32"
	"io"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// serve carries one request from its arrival to its outcome.
func (s *Server) serve(st *stream, request *caller.Request) {
	defer st.close()
	record, fresh := s.ledger.Begin(request.ID, request.Key != "")
	if !fresh {
		st.replay(record)
		return
	}
	st.record.Store(record)
	held, refusal := s.enter(st.ctx, request)
	if refusal != nil {
		record.Refuse(refusal, time.Now())
		s.metrics.refused(refusal.Code)
		st.answer(record.Outcome())
		return
	}
	defer held.release()
	st.waited = held.waited
	if !record.Start() {
		st.answer(record.Outcome())
		return
	}
	s.metrics.started(request.OwnerClass(), held.waited)
	s.call(st.ctx, st, record, request, held)
}

// call sends a started request to the upstream and gives back its answer.
func (s *Server) call(ctx context.Context, st *stream, record *entry.Record, r *caller.Request, held *hold) {
	answer, err := held.do(ctx, s.upstream, r)
	if err != nil {
		s.finish(st, record, &entry.Outcome{Refusal: carobkeel.AsError(err)})
		return
	}
	defer func() { _ = answer.Body.Close() }()
	s.metrics.answered(r.OwnerClass(), held.service)
	if answer.BodyLength > s.config.InlineBytes || answer.BodyLength < 0 && r.Key == "" {
		s.stream(st, record, answer)
		return
	}
	body, whole, err := readInline(answer, s.config.InlineBytes)
	if err != nil {
		s.finish(st, record, &entry.Outcome{Refusal: brokenOff(err)})
		return
	}
	if !whole {
		answer.Body = &resumedBody{Reader: io.MultiReader(bytes.NewReader(body), answer.Body), Closer: answer.Body}
		s.stream(st, record, answer)
		return
	}
	s.finish(st, record, &entry.Outcome{Status: answer.Status, Header: answer.Header, Body: body})
}

// readInline reads the answer's body up to limit bytes, and one more where its
// length is not known. whole says that the body ended there. Of a request without
// a key an answer of unknown length is not held back: it may come slowly.
func readInline(answer *caller.Answer, limit int64) (body []byte, whole bool, err error) {
	if answer.BodyLength >= 0 {
		body = make([]byte, answer.BodyLength)
		_, err = io.ReadFull(answer.Body, body)
		return body, true, err
	}
	body, err = io.ReadAll(io.LimitReader(answer.Body, limit+1))
	return body, int64(len(body)) <= limit, err
}

// resumedBody is a body of which a part was read already.
type resumedBody struct {
	io.Reader
	io.Closer
}

// finish ends a request with an outcome and gives it to the entry.
func (s *Server) finish(st *stream, record *entry.Record, o *entry.Outcome) {
	kept := o
	if !s.ledger.Keep(len(o.Body)) {
		kept = &entry.Outcome{Refusal: carobkeel.NewError(carobkeel.CodeAnswerLost, "too many answers are kept")}
	}
	record.Finish(kept, time.Now())
	st.answer(o)
}

// stream sends an answer that is too long to be kept, in pieces.
func (s *Server) stream(st *stream, record *entry.Record, answer *caller.Answer) {
	out := st.startPieces()
	defer out.cancel(nil)
	st.send(wire.Encode(wire.TypeAnswer, st.number, &wire.Answer{
		Status:      answer.Status,
		Header:      wire.FromFields(answer.Header),
		BodyLength:  answer.BodyLength,
		BodyFollows: true,
		WaitMicros:  st.waited.Microseconds(),
		Load:        s.load(),
	}))
	var sum uint32
	length, err := out.sender.Send(out.ctx, answer.Body, func(data []byte) error {
		sum = crc32.Update(sum, castagnoli, data)
		if !st.send(frame.Frame{Type: wire.TypeAnswerBody, Stream: st.number, Payload: data}) {
			return errLinkLost
		}
		return nil
	})
	lost := carobkeel.NewError(carobkeel.CodeAnswerLost, "the answer was too long to be kept")
	if err != nil && out.ctx.Err() == nil {
		lost = brokenOff(err)
	}
	record.Finish(&entry.Outcome{Refusal: lost}, time.Now())
	if err != nil {
		st.refuse(lost)
		return
	}
	st.send(wire.Encode(wire.TypeAnswerEnd, st.number, &wire.AnswerEnd{Length: length, Checksum: sum}))
}

func brokenOff(err error) *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeUpstreamFailed, "the answer broke off: %v", err)
}

// replay answers a query, or a request that arrives a second time, from its
// record.
func (s *Server) replay(st *stream, id carobkeel.RequestID) {
	defer st.close()
	st.replay(s.ledger.Query(id, time.Now()))
}

// replay gives the outcome of a request that was here before. Where nobody can
// say whether it was, it says so.
func (st *stream) replay(record *entry.Record) {
	if record == nil {
		st.refuse(carobkeel.NewError(carobkeel.CodeUnknownRequest, "the request may have been here and is forgotten"))
		return
	}
	select {
	case <-record.Done():
		st.answer(record.Outcome())
	case <-st.session.linkCtx.Done():
	case <-st.ctx.Done():
	}
}

func requestOf(o *wire.Open, now time.Time) *caller.Request {
	r := &caller.Request{
		ID:      carobkeel.RequestID{Entry: carobkeel.Incarnation(o.EntryIncarnation), Sequence: o.Sequence},
		Service: carobkeel.Service(o.Service),
		Owner:   carobkeel.Owner(o.Owner),
		Class:   classOf(o.Class),
		Share: carobkeel.ShareLimits{
			Floor:       float64(o.Floor) / floorUnit,
			Concurrency: int(o.Concurrency),
			Queue:       int(o.Queue),
		},
		Method:     o.Method,
		Path:       o.Path,
		Header:     wire.ToFields(o.Header),
		BodyLength: o.BodyLength,
		Content:    o.Body,
		Key:        o.Key,
		Idempotent: o.Idempotent,
		Deadline:   now.Add(time.Duration(o.TimeoutMicros) * time.Microsecond),
	}
	copy(r.Digest[:], o.Digest)
	return r
}
