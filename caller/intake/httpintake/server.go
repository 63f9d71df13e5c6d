package httpintake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel/caller/intake"
)

var (
	// ErrSpent means that the budget has no room for the request. It has not run.
	ErrSpent = errors.New("too many bytes of clients are held")
	// ErrEvicted means that the body made too little progress while others needed its room.
	// The request has not run.
	ErrEvicted = errors.New("the body came slowest while the process had no room")
	// ErrTooSlow means that the body came below the least rate. The request has not run.
	ErrTooSlow = errors.New("the body came below the least rate")
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil if its listener has no limits.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Attach lets a server, which must serve one of the listeners, apply the limits to its requests.
// It keeps the server's handler and callbacks.
func (i *Intake) Attach(server *http.Server) {
	server.Handler = i.follow(server.Handler)
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	before := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.beginIdle()
		}
		if before != nil {
			before(conn, state)
		}
	}
}

// beginIdle makes the connection ready for the next head.
func (c *Conn) beginIdle() {
	c.sender.ReturnAll(c.listener.intake.budget)
	c.headBytes = 0
	if !c.sender.Begin(intake.PhaseIdle, c.listener.intake.now()) {
		reset(c.Conn)
	}
}

// follow returns a handler that keeps the phase of the connection up to date.
func (i *Intake) follow(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		phase, content := intake.PhaseServing, (*body)(nil)
		if r.Body != nil && r.Body != http.NoBody {
			phase = intake.PhaseBody
			// A body that the handler doesn't read is read by the server.
			_ = c.SetReadDeadline(time.Now().Add(i.limits.ProgressTime()))
			content = &body{ReadCloser: r.Body, conn: c, streamed: true}
			r.Body = content
		}
		if !c.sender.Begin(phase, i.now()) || !c.takeFields(len(r.Header)) {
			panic(http.ErrAbortHandler) // the connection is closed without an answer
		}
		defer func() {
			// The server may go on reading a body that the handler has not read.
			if content == nil || content.finish() {
				c.sender.Begin(intake.PhaseIdle, i.now())
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request. It ends with an error if it comes below the least rate.
type body struct {
	io.ReadCloser
	conn *Conn
	// until is the time limit of the request, zero for none.
	until time.Time
	// progress is the number of bytes that have come since the last mark, and returned is when the
	// last read ended.
	progress int
	returned time.Duration
	// streamed reports that the reader passes the bytes on rather than keeping them in a Content.
	// taken is what was taken from the budget for that.
	streamed bool
	taken    int64
	// ended reports that the body has come completely, and handled that its handler has
	// returned. A body that is passed on may be read on another goroutine.
	ended, handled atomic.Bool
}

const (
	// streamBytes is the most that the budget counts for a body that is passed on.
	streamBytes = 512 << 10
	// Bytes that are passed on count streamFactor times, as often as they are held on their way, and
	// each read counts streamPartBytes in addition.
	streamFactor    = 2
	streamPartBytes = 512
)

// readPause is the time between two reads from which on the reader, rather than the client, counts as
// the cause of a delay.
const readPause = 50 * time.Millisecond

// finish ends the use of the connection for this body, and reports whether the body has come
// completely.
func (b *body) finish() bool {
	b.handled.Store(true)
	return b.ended.Load()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.handled.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.ended.Load() {
		return b.ReadCloser.Read(p)
	}
	process := b.conn.listener.intake
	now := process.now()
	if b.progress == 0 || now-b.returned > readPause {
		b.mark(now)
	}
	if b.conn.sender.Phase() == intake.PhaseEvicted {
		return 0, ErrEvicted
	}
	n, err := b.ReadCloser.Read(p)
	b.returned = process.now()
	if b.progress += n; b.progress >= intake.ProgressBytes {
		b.progress = 0
	}
	if b.streamed && !b.takeStreamed(n) {
		process.metrics.bodiesRefused.Inc(1)
		return 0, ErrSpent
	}
	if err != nil {
		return n, b.end(err)
	}
	return n, nil
}

// takeStreamed takes n bytes that are passed on from the budget until the request ends, and at most
// streamBytes for the whole body. It reports whether the budget had them.
func (b *body) takeStreamed(n int) bool {
	more := min(int64(n)*streamFactor+streamPartBytes, streamBytes-b.taken)
	b.taken += more
	return more == 0 || b.conn.listener.intake.take(b.conn, more)
}

// mark begins a new unit of progress.
func (b *body) mark(now time.Duration) {
	b.progress = 0
	b.conn.sender.Progress(now)
	deadline := time.Now().Add(b.conn.listener.intake.limits.ProgressTime())
	if !b.until.IsZero() && b.until.Before(deadline) {
		deadline = b.until
	}
	_ = b.conn.SetReadDeadline(deadline) // the read fails if this does
}

// end ends the body after a read that returned an error, and returns the error for the reader.
func (b *body) end(err error) error {
	process := b.conn.listener.intake
	switch {
	case b.conn.sender.Phase() == intake.PhaseEvicted:
		return ErrEvicted
	case errors.Is(err, io.EOF):
		if !b.conn.sender.Begin(intake.PhaseServing, process.now()) {
			return ErrEvicted
		}
		b.ended.Store(true)
		_ = b.conn.SetReadDeadline(time.Time{}) // else the request would be cancelled then
	case errors.Is(err, os.ErrDeadlineExceeded) && (b.until.IsZero() || time.Now().Before(b.until)):
		process.metrics.bodiesTooSlow.Inc(1)
		process.logReached("rate", b.conn.sender.Address)
		return ErrTooSlow
	}
	return err
}
