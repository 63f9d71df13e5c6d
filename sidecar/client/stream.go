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

// errLinkLost ends a stream whose link has ended.
var errLinkLost = errors.New("link to the sidecar was lost")

// errIncomplete ends an answer whose length or checksum is not as announced.
var errIncomplete = errors.New("answer is not whole")

// result is the beginning of a stream's answer, or its refusal.
type result struct {
	answer  *wire.Answer
	refusal *carobkeel.Error
	// lost says that the link ended first.
	lost bool
}

// stream is one request on one link.
type stream struct {
	conn    *conn
	number  uint64
	first   chan result
	settled atomic.Bool
	// ctx is the caller's.
	ctx context.Context
	// body is set before the answer is handed over, where it comes in pieces.
	body atomic.Pointer[link.Receiver]
	// outgoing is set where the request's body goes in pieces.
	outgoing *link.Sender
	member   *sidecar.Member
	end      atomic.Pointer[wire.AnswerEnd]
}

// newStream adds a stream to the link. Its answer tells the load of the member,
// where there is one. It returns false where the link carries too many.
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
	if !c.alive() {
		s.lost()
	}
	return s, true
}

func (s *stream) grant(bytes int64) {
	s.conn.link.Send(wire.Encode(wire.TypeCredit, s.number, &wire.Credit{Bytes: bytes}))
}

func (s *stream) settle(r result) bool {
	if !s.settled.CompareAndSwap(false, true) {
		return false
	}
	s.first <- r
	return true
}

func (s *stream) answered(answer *wire.Answer) error {
	s.load(answer.Load)
	if answer.BodyFollows {
		s.body.Store(link.NewReceiver(s.ctx, s.grant))
	}
	if !s.settle(result{answer: answer}) {
		return errors.New("second answer on one stream")
	}
	if !answer.BodyFollows {
		s.conn.streams.Remove(s.number)
	}
	return nil
}

func (s *stream) refused(refused *wire.Refused) {
	s.load(refused.Load)
	s.conn.streams.Remove(s.number)
	refusal := carobkeel.NewError(carobkeel.Code(refused.Code), "%s", refused.Detail).
		WithRan(carobkeel.Ran(refused.Ran)).
		WithRetryAfter(time.Duration(refused.RetryAfterMillis) * time.Millisecond)
	if !s.settle(result{refusal: refusal}) {
		s.endBody(refusal)
	}
}

// endBody ends a body that comes in pieces, where there is one.
func (s *stream) endBody(err error) {
	if body := s.body.Load(); body != nil {
		body.End(err)
	}
}

// push adds a piece of the answer's body.
func (s *stream) push(data []byte) error {
	body := s.body.Load()
	if body == nil {
		return errors.New("piece of a body before its answer")
	}
	return body.Push(data)
}

// credited lets further pieces of the request's body go.
func (s *stream) credited(bytes int64) {
	if s.outgoing != nil {
		s.outgoing.Grant(bytes)
	}
}

func (s *stream) load(l wire.Load) {
	if s.member == nil {
		return
	}
	s.member.Live.Report(sidecar.Load{
		Running:      int(l.Running),
		Queued:       int(l.Queued),
		UrgentQueued: int(l.UrgentQueued),
		Limit:        int(l.Limit),
	})
}

func (s *stream) ended(end wire.AnswerEnd) {
	s.conn.streams.Remove(s.number)
	s.end.Store(&end)
	s.endBody(io.EOF)
}

func (s *stream) lost() {
	if !s.settle(result{lost: true}) {
		s.endBody(errLinkLost)
	}
}

// abandon tells the sidecar that nobody waits any more.
func (s *stream) abandon() {
	if s.conn.streams.Remove(s.number) {
		s.conn.link.Send(frame.Frame{Type: wire.TypeCancel, Stream: s.number})
	}
}

// answerBody yields the body of an answer that comes in pieces and checks at
// its end that it is whole.
type answerBody struct {
	stream *stream
	body   *link.Receiver
	length int64
	sum    uint32
	onEnd  func()
	closed bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.length += int64(n)
	b.sum = crc32.Update(b.sum, castagnoli, p[:n])
	if err == io.EOF {
		end := b.stream.end.Load()
		if end == nil || end.Length != b.length || end.Checksum != b.sum {
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
	b.onEnd()
	return nil
}
