package client

import (
	"context"
	"hash/crc32"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/sidecar"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errLinkLost is the error of a body whose link has ended.
var errLinkLost = errors.New("link to the sidecar was lost")

// errIncomplete is the error of an answer body whose length or checksum differs from
// that stated at its end.
var errIncomplete = errors.New("answer body differs from its stated length or checksum")

// result is the beginning of a stream's answer, or the refusal in its place.
type result struct {
	answer  *wire.Answer
	refusal *carobkeel.Error
	// linkLost reports that the link ended before either arrived.
	linkLost bool
}

// stream is one request on one link.
type stream struct {
	conn      *conn
	number    uint64
	first     chan result
	delivered atomic.Bool
	// ctx is the context of the caller's request.
	ctx context.Context
	// body receives the answer's body if that is sent in frames of its own. It is
	// set before the answer is delivered.
	body atomic.Pointer[link.Receiver]
	// outgoing is set if the request's body is sent in frames of its own.
	outgoing *link.Sender
	member   *sidecar.Member
	end      atomic.Pointer[wire.AnswerEnd]
}

// newStream adds a stream to the link. The load reported with its answer is recorded
// at the member, unless that is nil. It returns false if the link has too many
// streams.
func newStream(ctx context.Context, c *conn, m *sidecar.Member, sendsBody bool) (*stream, bool) {
	s := &stream{conn: c, first: make(chan result, 1), ctx: ctx, member: m}
	if sendsBody {
		s.outgoing = link.NewSender()
	}
	number, ok := c.streams.Add(s)
	if !ok {
		return nil, false
	}
	s.number = number
	if !c.isAlive() {
		s.handleLinkLost()
	}
	return s, true
}

func (s *stream) sendCredit(bytes int64) {
	s.conn.link.Send(wire.Encode(wire.TypeCredit, s.number, &wire.Credit{Bytes: bytes}))
}

// deliver passes the stream's first result to the waiting request. It returns false if
// a result was delivered before.
func (s *stream) deliver(r result) bool {
	if !s.delivered.CompareAndSwap(false, true) {
		return false
	}
	s.first <- r
	return true
}

func (s *stream) handleAnswer(answer *wire.Answer) error {
	s.recordLoad(answer.Load)
	if answer.BodyFollows {
		s.body.Store(link.NewReceiver(s.ctx, s.sendCredit))
	}
	if !s.deliver(result{answer: answer}) {
		return errors.New("duplicate answer on one stream")
	}
	if !answer.BodyFollows {
		s.conn.streams.Remove(s.number)
	}
	return nil
}

func (s *stream) handleRefusal(refused *wire.Refused) {
	s.recordLoad(refused.Load)
	s.conn.streams.Remove(s.number)
	refusal := carobkeel.NewError(carobkeel.Code(refused.Code), "%s", refused.Detail).
		WithRan(carobkeel.Ran(refused.Ran)).
		WithRetryAfter(time.Duration(refused.RetryAfterMillis) * time.Millisecond)
	if !s.deliver(result{refusal: refusal}) {
		s.endBody(refusal)
	}
}

// endBody ends a body that is received in frames of its own, if there is one.
func (s *stream) endBody(err error) {
	if body := s.body.Load(); body != nil {
		body.End(err)
	}
}

// handleBody adds the data of one frame to the answer's body.
func (s *stream) handleBody(data []byte) error {
	body := s.body.Load()
	if body == nil {
		return errors.New("answer body frame received before its answer")
	}
	return body.Push(data)
}

// handleCredit allows further bytes of the request's body to be sent.
func (s *stream) handleCredit(bytes int64) {
	if s.outgoing != nil {
		s.outgoing.Grant(bytes)
	}
}

func (s *stream) recordLoad(l wire.Load) {
	if s.member == nil {
		return
	}
	s.member.Stats.RecordLoad(sidecar.Load{
		Running:      int(l.Running),
		Queued:       int(l.Queued),
		UrgentQueued: int(l.UrgentQueued),
		Limit:        int(l.Limit),
	})
}

func (s *stream) handleAnswerEnd(end wire.AnswerEnd) {
	s.conn.streams.Remove(s.number)
	s.end.Store(&end)
	s.endBody(io.EOF)
}

func (s *stream) handleLinkLost() {
	if !s.deliver(result{linkLost: true}) {
		s.endBody(errLinkLost)
	}
}

// abandon removes the stream and cancels the request at the sidecar, unless it has
// ended.
func (s *stream) abandon() {
	if s.conn.streams.Remove(s.number) {
		s.conn.link.Send(frame.Frame{Type: wire.TypeCancel, Stream: s.number})
	}
}

// answerBody reads an answer body that is received in frames of its own, and checks
// its length and checksum at the end.
type answerBody struct {
	stream   *stream
	body     *link.Receiver
	length   int64
	checksum uint32
	onClose  func()
	closed   bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.length += int64(n)
	b.checksum = crc32.Update(b.checksum, castagnoli, p[:n])
	if err == io.EOF {
		end := b.stream.end.Load()
		if end == nil || end.Length != b.length || end.Checksum != b.checksum {
			return n, errIncomplete
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.stream.abandon()
	b.onClose()
	return nil
}
