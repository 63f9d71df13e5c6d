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

// serve handles one request from its arrival to its outcome.
func (s *Server) serve(st *stream, request *caller.Request) {
	defer st.close()
	record, isNew := s.ledger.Begin(request.ID, request.Key != "")
	if !isNew {
		st.answerFromRecord(record)
		return
	}
	st.record.Store(record)
	slot, refusal := s.acquireSlot(st.ctx, request)
	if refusal != nil {
		record.Refuse(refusal, time.Now())
		s.metrics.refused(refusal.Code)
		st.answer(record.Outcome())
		return
	}
	defer slot.release()
	st.waited = slot.waited
	if !record.Start() {
		st.answer(record.Outcome())
		return
	}
	s.metrics.started(request.OwnerClass(), slot.waited)
	s.call(st.ctx, st, record, request, slot)
}

// call sends a started request to the upstream and returns its answer to the
// entry.
func (s *Server) call(ctx context.Context, st *stream, record *entry.Record, r *caller.Request, slot *heldSlot) {
	answer, err := slot.do(ctx, s.upstream, r)
	if err != nil {
		s.finish(st, record, &entry.Outcome{Refusal: carobkeel.AsError(err)})
		return
	}
	defer func() { _ = answer.Body.Close() }()
	s.metrics.answered(r.OwnerClass(), slot.service)
	if answer.BodyLength > s.config.InlineBytes || answer.BodyLength < 0 && r.Key == "" {
		s.streamAnswer(st, record, answer)
		return
	}
	body, complete, err := readInline(answer, s.config.InlineBytes)
	if err != nil {
		s.finish(st, record, &entry.Outcome{Refusal: interruptedAnswer(err)})
		return
	}
	if !complete {
		answer.Body = &resumedBody{Reader: io.MultiReader(bytes.NewReader(body), answer.Body), Closer: answer.Body}
		s.streamAnswer(st, record, answer)
		return
	}
	s.finish(st, record, &entry.Outcome{Status: answer.Status, Header: answer.Header, Body: body})
}

// readInline reads the answer's body up to limit bytes, and one byte more if its
// length is unknown. complete reports that the body ended within the limit. An
// answer of unknown length to a request without a key must not be read this way:
// it may arrive slowly and is streamed without delay.
func readInline(answer *caller.Answer, limit int64) (body []byte, complete bool, err error) {
	if answer.BodyLength >= 0 {
		body = make([]byte, answer.BodyLength)
		_, err = io.ReadFull(answer.Body, body)
		return body, true, err
	}
	body, err = io.ReadAll(io.LimitReader(answer.Body, limit+1))
	return body, int64(len(body)) <= limit, err
}

// resumedBody is a body of which a part has already been read.
type resumedBody struct {
	io.Reader
	io.Closer
}

// finish ends a request with an outcome and sends the outcome to the entry. The
// ledger keeps a refusal in its place if too many answers are kept already.
func (s *Server) finish(st *stream, record *entry.Record, o *entry.Outcome) {
	kept := o
	if !s.ledger.ReserveBytes(len(o.Body)) {
		kept = &entry.Outcome{Refusal: carobkeel.NewError(carobkeel.CodeAnswerLost, "too many answers are kept")}
	}
	record.Finish(kept, time.Now())
	st.answer(o)
}

// streamAnswer sends an answer in pieces. It does not keep the answer, which is
// too long or of unknown length.
func (s *Server) streamAnswer(st *stream, record *entry.Record, answer *caller.Answer) {
	out := st.startOutgoingBody()
	defer out.cancel(nil)
	st.send(wire.Encode(wire.TypeAnswer, st.number, &wire.Answer{
		Status:      answer.Status,
		Header:      wire.FromFields(answer.Header),
		BodyLength:  answer.BodyLength,
		BodyFollows: true,
		WaitMicros:  st.waited.Microseconds(),
		Load:        s.load(),
	}))
	var checksum uint32
	length, err := out.sender.Send(out.ctx, answer.Body, func(data []byte) error {
		checksum = crc32.Update(checksum, castagnoli, data)
		if !st.send(frame.Frame{Type: wire.TypeAnswerBody, Stream: st.number, Payload: data}) {
			return errLinkLost
		}
		return nil
	})
	refusal := carobkeel.NewError(carobkeel.CodeAnswerLost, "the answer was too long to be kept")
	if err != nil && out.ctx.Err() == nil {
		refusal = interruptedAnswer(err)
	}
	record.Finish(&entry.Outcome{Refusal: refusal}, time.Now())
	if err != nil {
		st.refuse(refusal)
		return
	}
	st.send(wire.Encode(wire.TypeAnswerEnd, st.number, &wire.AnswerEnd{Length: length, Checksum: checksum}))
}

func interruptedAnswer(err error) *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeUpstreamFailed, "the answer broke off: %v", err)
}

// answerQuery answers a query from the request's record.
func (s *Server) answerQuery(st *stream, id carobkeel.RequestID) {
	defer st.close()
	st.answerFromRecord(s.ledger.Query(id, time.Now()))
}

// answerFromRecord sends the outcome of a request that arrived before, once it is
// known. A nil record is answered with CodeUnknownRequest: the ledger can't tell
// whether the request arrived.
func (st *stream) answerFromRecord(record *entry.Record) {
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
			GuaranteedShare: float64(o.Floor) / guaranteedShareUnit,
			Concurrency:     int(o.Concurrency),
			Queue:           int(o.Queue),
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
