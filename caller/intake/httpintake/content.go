package httpintake

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// smallestBuffer is the length of the first buffer of a body, in bytes. Each further one is
	// twice as long.
	smallestBuffer = 4 << 10
	// bufferSizes is the number of sizes of which buffers are kept. Larger ones aren't.
	bufferSizes = 13
	// A refused caller may come again after shortestRetry and a random part of retrySpread, so that
	// refused callers don't return together.
	shortestRetry = time.Second
	retrySpread   = 3 * time.Second
)

// buffers holds unused buffers by size.
var buffers [bufferSizes]sync.Pool

// newBuffer returns an empty buffer. Sizes count from zero, each twice as long as the one before.
func newBuffer(size int) []byte {
	if size < bufferSizes {
		if b, ok := buffers[size].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, smallestBuffer<<size)
}

// recycle keeps a buffer for another body.
func recycle(buffer []byte, size int) {
	if size < bufferSizes {
		buffer = buffer[:0]
		buffers[size].Put(&buffer)
	}
}

// Content is the body of a request, whose bytes are part of the budget until Release.
type Content struct {
	// conn is nil if the listener has no limits.
	conn   *Conn
	buffer []byte
	// size is the size of the buffer as newBuffer counts it, -1 without a buffer.
	size int
}

// Read reads the body of a request until a time, the zero time for no limit, and takes its bytes
// from the budget as they come. An error is *http.MaxBytesError for a body of more than maxBytes,
// os.ErrDeadlineExceeded, ErrSpent, ErrEvicted, ErrTooSlow, or one of the connection. After an
// error the connection is closed with the answer.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64, until time.Time) (*Content, error) {
	content, err := ReadFrom(w, r, http.MaxBytesReader(w, r.Body, maxBytes), until)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return content, err
}

// ReadFrom is like Read, but reads the body through from, which the caller bounds, and leaves it to
// the caller to close the connection after an error.
func ReadFrom(w http.ResponseWriter, r *http.Request, from io.Reader, until time.Time) (*Content, error) {
	c := &Content{conn: connOf(r), size: -1}
	if limited, ok := r.Body.(*body); ok {
		limited.until, limited.streamed = until, false
	} else {
		// It fails only for a response that has no connection.
		_ = http.NewResponseController(w).SetReadDeadline(until)
	}
	if err := c.readAll(from); err != nil {
		c.Release()
		return nil, err
	}
	if c.conn == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // else the request would be cancelled then
	}
	return c, nil
}

// Discard reads and drops at most the given number of bytes of a body, until a time.
func Discard(w http.ResponseWriter, r *http.Request, bytes int64, until time.Time) {
	limited, ok := r.Body.(*body)
	if ok {
		limited.until, limited.streamed = until, false
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(until) // the reads fail if this does
	_, _ = io.CopyN(io.Discard, r.Body, bytes)
	if !ok || limited.ended.Load() {
		_ = control.SetReadDeadline(time.Time{})
	}
}

func (c *Content) readAll(from io.Reader) error {
	for {
		if len(c.buffer) == cap(c.buffer) {
			if err := c.grow(); err != nil {
				return err
			}
		}
		n, err := from.Read(c.buffer[len(c.buffer):cap(c.buffer)])
		c.buffer = c.buffer[:len(c.buffer)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow replaces the buffer by one of the next size.
func (c *Content) grow() error {
	if err := c.Reserve(int64(smallestBuffer<<(c.size+1)) - int64(cap(c.buffer))); err != nil {
		return err
	}
	next := append(newBuffer(c.size+1), c.buffer...)
	if c.size >= 0 {
		recycle(c.buffer, c.size)
	}
	c.buffer = next
	c.size++
	return nil
}

// Reserve takes further bytes of the budget until Release, for what the body is decoded to. It takes
// no more than Budget.MostReserved at once.
func (c *Content) Reserve(n int64) error {
	if c.conn == nil {
		return nil
	}
	process := c.conn.listener.intake
	if !process.take(c.conn, min(n, process.budget.MostReserved())) {
		process.metrics.bodiesRefused.Inc(1)
		return ErrSpent
	}
	return nil
}

// Bytes returns the body. It is not to be used after Release.
func (c *Content) Bytes() []byte { return c.buffer }

// Recycle gives the buffer back, but keeps what was taken of the budget until Release.
func (c *Content) Recycle() {
	if c.size >= 0 {
		recycle(c.buffer, c.size)
	}
	c.buffer, c.size = nil, -1
}

// Release gives the buffer and the bytes of the budget back.
func (c *Content) Release() {
	c.Recycle()
	if c.conn != nil {
		c.conn.sender.ReturnAll(c.conn.listener.intake.budget)
	}
}

// Refusal returns the error to answer to a caller whose request's body was not read because of a limit
// of this package or of the request's time limit. It returns nil for other errors.
func Refusal(err error) *carobkeel.Error {
	switch {
	case errors.Is(err, ErrSpent), errors.Is(err, ErrEvicted):
		return carobkeel.NewError(carobkeel.CodeClientsLimited, "%v", err).WithRetryAfter(shortestRetry + rand.N(retrySpread))
	case errors.Is(err, ErrTooSlow), errors.Is(err, os.ErrDeadlineExceeded):
		return carobkeel.NewError(carobkeel.CodeTimeoutNotRun, "body: %v", err)
	}
	return nil
}
