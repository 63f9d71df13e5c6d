package link

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/mailbox"
)

const (
	// WindowBytes is the maximum number of unread bytes of one body in flight.
	WindowBytes = 256 << 10
	// MaxChunkBytes is the maximum size of the chunks in which a body is sent.
	MaxChunkBytes = 32 << 10
	// firstChunkBytes is the size of the chunks until one is full, so that a body that comes
	// slowly holds little.
	firstChunkBytes = 4 << 10
)

// ErrWindowExceeded means that the peer sent more than its credit allowed.
var ErrWindowExceeded = errors.New("body exceeds its window")

// Receiver is the reading end of a body that arrives in chunks. One goroutine
// reads from it, and the link's reading goroutine pushes chunks to it.
type Receiver struct {
	ctx       context.Context
	chunks    *mailbox.Mailbox[chunk]
	grant     func(bytes int64)
	unread    atomic.Int64
	batch     []chunk
	next      int
	remaining []byte
	ungranted int64
	err       error
}

type chunk struct {
	data []byte
	err  error
}

// NewReceiver returns a receiver that calls grant with the number of bytes that
// the peer may send beyond the first window. Reads fail once ctx ends.
func NewReceiver(ctx context.Context, grant func(bytes int64)) *Receiver {
	return &Receiver{ctx: ctx, chunks: mailbox.New[chunk](), grant: grant}
}

// Push adds a chunk. It never blocks.
func (r *Receiver) Push(data []byte) error {
	if r.unread.Add(int64(len(data))) > WindowBytes {
		return ErrWindowExceeded
	}
	r.chunks.Push(chunk{data: data})
	return nil
}

// End marks the end of the body: io.EOF if it is complete, another error if not.
func (r *Receiver) End(err error) { r.chunks.Push(chunk{err: err}) }

// Read implements io.Reader.
func (r *Receiver) Read(p []byte) (int, error) {
	for len(r.remaining) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		if err := r.advance(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.remaining)
	r.remaining = r.remaining[n:]
	r.consumed(int64(n))
	return n, nil
}

// advance moves to the next chunk, and waits for one if none is buffered.
func (r *Receiver) advance() error {
	if r.next == len(r.batch) {
		batch, err := r.chunks.Take(r.ctx, r.batch[:0])
		if err != nil {
			return context.Cause(r.ctx)
		}
		r.batch, r.next = batch, 0
	}
	current := r.batch[r.next]
	r.batch[r.next] = chunk{}
	r.next++
	r.remaining, r.err = current.data, current.err
	return nil
}

func (r *Receiver) consumed(n int64) {
	r.unread.Add(-n)
	r.ungranted += n
	if r.ungranted >= WindowBytes/2 {
		r.grant(r.ungranted)
		r.ungranted = 0
	}
}

// Sender sends a body in chunks within the credit granted by the receiver.
type Sender struct {
	credit atomic.Int64
	wake   chan struct{}
}

// NewSender returns a sender with one window of credit.
func NewSender() *Sender {
	s := &Sender{wake: make(chan struct{}, 1)}
	s.credit.Store(WindowBytes)
	return s
}

// Grant adds credit received from the peer.
func (s *Sender) Grant(bytes int64) {
	s.credit.Add(bytes)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Send reads body to its end and passes it to send in chunks, waiting for credit
// as needed. It returns the number of bytes sent.
func (s *Sender) Send(ctx context.Context, body io.Reader, send func(data []byte) error) (int64, error) {
	var total int64
	var buffer []byte
	size := firstChunkBytes
	for {
		allowed, err := s.waitForCredit(ctx)
		if err != nil {
			return total, err
		}
		if buffer == nil {
			buffer = make([]byte, size)
		}
		n, readErr := body.Read(buffer[:min(allowed, int64(len(buffer)))])
		if n == len(buffer) {
			size = MaxChunkBytes
		}
		if n > 0 {
			s.credit.Add(int64(-n))
			total += int64(n)
			var data []byte
			data, buffer = cut(buffer, n)
			if err := send(data); err != nil {
				return total, err
			}
		}
		if readErr == io.EOF {
			return total, nil
		}
		if readErr != nil {
			return total, readErr
		}
	}
}

// cut returns the first n bytes of a buffer, to be kept for a while, and the buffer to read into
// next. A short part is copied: it would keep the whole buffer.
func cut(buffer []byte, n int) (data, next []byte) {
	if n > len(buffer)/2 {
		return buffer[:n], nil
	}
	return append([]byte(nil), buffer[:n]...), buffer
}

func (s *Sender) waitForCredit(ctx context.Context) (int64, error) {
	for {
		if credit := s.credit.Load(); credit > 0 {
			return credit, nil
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}
