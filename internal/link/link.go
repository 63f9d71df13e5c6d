// Package link carries frames between two of the system's own processes over
// one connection. It writes without locks, batches what gathers while a write
// is under way, and finds a silent connection by heartbeats.
package link

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/mailbox"
)

const (
	readBufferBytes  = 64 << 10
	writeBufferBytes = 256 << 10
)

// ErrSilent says that the peer sent nothing for the silence timeout.
var ErrSilent = errors.New("link is silent")

// ErrClosed says that this side closed the link.
var ErrClosed = errors.New("link is closed")

// Config is the timing of a link.
type Config struct {
	// HeartbeatInterval is the time between two pings.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long the peer may send nothing.
	SilenceTimeout time.Duration
	// Quiet sends a heartbeat only after an interval in which nothing else was
	// sent, and one that asks for no answer. Round trips are not measured.
	Quiet bool
}

// DefaultConfig returns the timing that links have where settings do not say.
func DefaultConfig() Config {
	return Config{HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second}
}

// EventConfig returns the timing of links that carry events, of which each node
// has a few at all times. They cost little while nothing happens.
func EventConfig() Config {
	return Config{HeartbeatInterval: 2 * time.Second, SilenceTimeout: 6 * time.Second, Quiet: true}
}

// Handler is given each frame that arrives, in order, on the link's reading
// goroutine. It must not wait. An error ends the link.
type Handler func(f frame.Frame) error

// Link is one connection that carries frames. Use New, then Run.
type Link struct {
	conn     net.Conn
	config   Config
	outgoing *mailbox.Mailbox[frame.Frame]
	done     chan struct{}
	closed   atomic.Bool
	cause    atomic.Pointer[error]
	// heard counts frames received. The heartbeat compares it over time, so
	// that the reading side reads no clock.
	heard atomic.Uint64
	// sent counts frames queued, for a quiet heartbeat.
	sent   atomic.Uint64
	writer frame.Writer
	// pinged is when the last ping was queued, in Unix nanoseconds.
	pinged atomic.Int64
	// roundTrip is the time from the last ping to its pong, in nanoseconds.
	roundTrip atomic.Int64
}

// New returns a link over conn, which the link then owns.
func New(conn net.Conn, config Config) *Link {
	return &Link{
		conn:     conn,
		config:   config,
		outgoing: mailbox.New[frame.Frame](),
		done:     make(chan struct{}),
	}
}

// Send queues a frame. It never waits. It returns false on a link that has
// ended; a frame queued just before the end may be lost all the same.
func (l *Link) Send(f frame.Frame) bool {
	if l.closed.Load() {
		return false
	}
	l.sent.Add(1)
	l.outgoing.Push(f)
	return true
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Err returns why the link ended, nil while it has not.
func (l *Link) Err() error {
	if cause := l.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}

// RemoteAddr returns the peer's address.
func (l *Link) RemoteAddr() string { return l.conn.RemoteAddr().String() }

// RoundTrip returns the last measured time of a ping and its pong, zero before
// the first.
func (l *Link) RoundTrip() time.Duration { return time.Duration(l.roundTrip.Load()) }

// Close ends the link.
func (l *Link) Close() { l.end(ErrClosed) }

func (l *Link) end(cause error) {
	if !l.closed.CompareAndSwap(false, true) {
		return
	}
	l.cause.Store(&cause)
	close(l.done)
	_ = l.conn.Close()
}

// Run reads, writes and sends heartbeats until the link ends, and returns why.
func (l *Link) Run(ctx context.Context, handle Handler) error {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	go l.write()
	go l.beat()
	l.end(l.read(handle))
	return l.Err()
}

func (l *Link) read(handle Handler) error {
	reader := frame.NewReader(bufio.NewReaderSize(l.conn, readBufferBytes))
	for {
		f, err := reader.Next()
		if err != nil {
			return err
		}
		l.heard.Add(1)
		switch f.Type {
		case frame.TypePing:
			l.Send(frame.Frame{Type: frame.TypePong})
		case frame.TypePong:
			if pinged := l.pinged.Swap(0); pinged != 0 {
				l.roundTrip.Store(time.Now().UnixNano() - pinged)
			}
		default:
			if err := handle(f); err != nil {
				return err
			}
		}
	}
}

func (l *Link) write() {
	var batch []frame.Frame
	var buf []byte
	for {
		batch = l.outgoing.TryTake(batch[:0])
		if len(batch) == 0 {
			select {
			case <-l.outgoing.Signal():
				continue
			case <-l.done:
				return
			}
		}
		var err error
		if buf, err = l.flush(buf, batch); err != nil {
			l.end(err)
			return
		}
		clear(batch)
	}
}

// flush writes a batch in as few writes as the buffer allows and returns the
// buffer for the next one.
func (l *Link) flush(buf []byte, batch []frame.Frame) ([]byte, error) {
	buf = buf[:0]
	var err error
	for _, f := range batch {
		if len(buf)+len(f.Payload) > writeBufferBytes && len(buf) > 0 {
			if _, err = l.conn.Write(buf); err != nil {
				return buf, err
			}
			buf = buf[:0]
		}
		if buf, err = l.writer.Append(buf, f); err != nil {
			return buf, err
		}
	}
	_, err = l.conn.Write(buf)
	return buf, err
}

func (l *Link) beat() {
	ticker := time.NewTicker(l.config.HeartbeatInterval)
	defer ticker.Stop()
	var last, lastSent uint64
	heardAt := time.Now()
	for {
		select {
		case <-l.done:
			return
		case now := <-ticker.C:
			if heard := l.heard.Load(); heard != last {
				last, heardAt = heard, now
			}
			if now.Sub(heardAt) >= l.config.SilenceTimeout {
				l.end(ErrSilent)
				return
			}
			lastSent = l.heartbeat(lastSent)
		}
	}
}

// heartbeat sends what the timing wants after an interval and returns the number
// of frames that were sent by then.
func (l *Link) heartbeat(lastSent uint64) uint64 {
	if !l.config.Quiet {
		l.pinged.Store(time.Now().UnixNano())
		l.Send(frame.Frame{Type: frame.TypePing})
	} else if l.sent.Load() == lastSent {
		// A pong that nobody asked for is dropped by the peer.
		l.Send(frame.Frame{Type: frame.TypePong})
	}
	return l.sent.Load()
}
