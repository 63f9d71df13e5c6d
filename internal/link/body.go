package link

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/mailbox"
)

const (
	// Window is how many bytes of one body may be under way unread.
	Window = 256 << 10
	// PieceBytes is the size of the pieces that a body is sent in.
	PieceBytes = 32 << 10
)

// ErrWindowExceeded says that the peer sent more than it had credit for.
var ErrWindowExceeded = errors.New("body exceeds its window")

// Receiver is the reading end of a body that arrives in pieces. One goroutine
// reads it; the link's reading goroutine pushes to it.
type Receiver struct {
	ctx    context.Context
	pieces *mailbox.Mailbox[piece]
	grant  func(bytes int64)
	unread atomic.Int64
	taken  []piece
	next   int
	rest   []byte
	used   int64
	err    error
}

type piece struct {
	data []byte
	err  error
}

// NewReceiver returns a receiver that reports to grant how many bytes the peer
// may send beyond the first window. Reads end when ctx does.
func NewReceiver(ctx context.Context, grant func(bytes int64)) *Receiver {
	return &Receiver{ctx: ctx, pieces: mailbox.New[piece](), grant: grant}
}

// Push adds a piece. It never waits.
func (r *Receiver) Push(data []byte) error {
	if r.unread.Add(int64(len(data))) > Window {
		return ErrWindowExceeded
	}
	r.pieces.Push(piece{data: data})
	return nil
}

// End ends the body: with io.EOF when it is whole, with another error when not.
func (r *Receiver) End(err error) { r.pieces.Push(piece{err: err}) }

// Read implements io.Reader.
func (r *Receiver) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		if err := r.advance(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	r.consumed(int64(n))
	return n, nil
}

// advance moves on to the next piece, waiting for one where there is none.
func (r *Receiver) advance() error {
	if r.next == len(r.taken) {
		taken, err := r.pieces.Take(r.ctx, r.taken[:0])
		if err != nil {
			return context.Cause(r.ctx)
		}
		r.taken, r.next = taken, 0
	}
	current := r.taken[r.next]
	r.taken[r.next] = piece{}
	r.next++
	r.rest, r.err = current.data, current.err
	return nil
}

func (r *Receiver) consumed(n int64) {
	r.unread.Add(-n)
	r.used += n
	if r.used >= Window/2 {
		r.grant(r.used)
		r.used = 0
	}
}

// Sender counts the credit of a body that is sent in pieces.
type Sender struct {
	credit atomic.Int64
	wake   chan struct{}
}

// NewSender returns a sender with one window of credit.
func NewSender() *Sender {
	s := &Sender{wake: make(chan struct{}, 1)}
	s.credit.Store(Window)
	return s
}

// Grant adds credit that the receiver gave.
func (s *Sender) Grant(bytes int64) {
	s.credit.Add(bytes)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Send reads body to its end and gives it to send in pieces, waiting for credit
// where there is none. It returns how many bytes it sent.
func (s *Sender) Send(ctx context.Context, body io.Reader, send func(data []byte) error) (int64, error) {
	var total int64
	for {
		allowed, err := s.wait(ctx)
		if err != nil {
			return total, err
		}
		data := make([]byte, min(allowed, PieceBytes))
		n, readErr := body.Read(data)
		if n > 0 {
			s.credit.Add(int64(-n))
			total += int64(n)
			if err := send(data[:n]); err != nil {
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

func (s *Sender) wait(ctx context.Context) (int64, error) {
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
