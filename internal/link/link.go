// Package link carries frames between two of the system's own processes over
// one connection. Writers take no locks. Frames that are queued during a write are
// sent together in the next one. Heartbeats detect an unresponsive peer.
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
	readBufferBytes = 64 << 10
	// firstBufferBytes is the length of the read buffer until the peer has sent a frame of its
	// protocol that was handled: before that, anybody may have connected.
	firstBufferBytes = 1 << 10
	writeBufferBytes = 256 << 10
)

// ErrSilenceTimeout means that nothing was received from the peer for the silence
// timeout.
var ErrSilenceTimeout = errors.New("link is silent")

// ErrClosed means that this side closed the link.
var ErrClosed = errors.New("link is closed")

// ErrHandlerPanic means that the handler panicked on a received frame.
var ErrHandlerPanic = errors.New("handler of a link panicked")

// Config is the heartbeat configuration of a link.
type Config struct {
	// HeartbeatInterval is the time between two pings.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a received frame after which the link
	// ends.
	SilenceTimeout time.Duration
	// IdleHeartbeats sends a heartbeat only after an interval in which nothing else was
	// sent, and the heartbeat requests no answer. Round trips are not measured.
	IdleHeartbeats bool
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second}
}

// EventConfig returns the configuration of links that carry events. Each node
// keeps a few of them open, so an idle link must be cheap.
func EventConfig() Config {
	return Config{HeartbeatInterval: 2 * time.Second, SilenceTimeout: 6 * time.Second, IdleHeartbeats: true}
}

// Handler handles each received frame, in order, on the link's reading
// goroutine. It must not block. An error ends the link.
type Handler func(f frame.Frame) error

// Link is one connection that carries frames. Use New, then Run.
type Link struct {
	conn     net.Conn
	config   Config
	outgoing *mailbox.Mailbox[frame.Frame]
	done     chan struct{}
	closed   atomic.Bool
	cause    atomic.Pointer[error]
	// received counts received frames. The heartbeat goroutine checks it for
	// changes, so that the reading goroutine need not read the clock.
	received atomic.Uint64
	// queued counts frames queued for sending, for Config.IdleHeartbeats.
	queued atomic.Uint64
	writer frame.Writer
	// pingSentAt is when the unanswered ping was queued, in Unix nanoseconds, or
	// zero.
	pingSentAt atomic.Int64
	// roundTrip is the time from the last ping to its pong, in nanoseconds.
	roundTrip atomic.Int64
}

// New returns a link over conn, and takes ownership of conn.
func New(conn net.Conn, config Config) *Link {
	return &Link{
		conn:     conn,
		config:   config,
		outgoing: mailbox.New[frame.Frame](),
		done:     make(chan struct{}),
	}
}

// Send queues a frame. It never blocks. It returns false on a link that has
// ended; a frame queued shortly before the end may still be lost.
func (l *Link) Send(f frame.Frame) bool {
	if l.closed.Load() {
		return false
	}
	l.queued.Add(1)
	l.outgoing.Push(f)
	return true
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Err returns the reason why the link ended, or nil while it is open.
func (l *Link) Err() error {
	if cause := l.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}

// RemoteAddr returns the peer's address.
func (l *Link) RemoteAddr() string { return l.conn.RemoteAddr().String() }

// RoundTrip returns the last measured round-trip time, zero before the first
// measurement.
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

// Run reads, writes and sends heartbeats until the link ends, and returns the
// reason.
func (l *Link) Run(ctx context.Context, handle Handler) error {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	go l.write()
	go l.monitorPeer()
	l.end(l.read(handle))
	return l.Err()
}

func (l *Link) read(handle Handler) error {
	first := bufio.NewReaderSize(l.conn, firstBufferBytes)
	reader := frame.NewReader(first)
	established := false
	for {
		f, err := reader.Next()
		if err != nil {
			return err
		}
		l.received.Add(1)
		switch f.Type {
		case frame.TypePing:
			l.Send(frame.Frame{Type: frame.TypePong})
		case frame.TypePong:
			if sentAt := l.pingSentAt.Swap(0); sentAt != 0 {
				l.roundTrip.Store(time.Now().UnixNano() - sentAt)
			}
		default:
			if err := handleSafely(handle, f); err != nil {
				return err
			}
			if !established {
				established = true
				l.establish()
				reader.SetSource(bufio.NewReaderSize(first, readBufferBytes))
			}
		}
	}
}

// establish tells the connection that its peer has sent a frame that was handled, so that limits on
// connections of unknown peers end.
func (l *Link) establish() {
	if conn, ok := l.conn.(interface{ Establish() }); ok {
		conn.Establish()
	}
}

// handleSafely passes a frame to the handler. A panic ends the link, and not the process
// with all its other links.
func handleSafely(handle Handler, f frame.Frame) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Wrapf(ErrHandlerPanic, "frame of type %d: %v", f.Type, cause)
		}
	}()
	return handle(f)
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

// flush sends a batch in as few writes as the buffer size allows, and returns the
// buffer for reuse.
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

func (l *Link) monitorPeer() {
	ticker := time.NewTicker(l.config.HeartbeatInterval)
	defer ticker.Stop()
	var lastReceived, lastQueued uint64
	receivedAt := time.Now()
	for {
		select {
		case <-l.done:
			return
		case now := <-ticker.C:
			if received := l.received.Load(); received != lastReceived {
				lastReceived, receivedAt = received, now
			}
			if now.Sub(receivedAt) >= l.config.SilenceTimeout {
				l.end(ErrSilenceTimeout)
				return
			}
			lastQueued = l.sendHeartbeat(lastQueued)
		}
	}
}

// sendHeartbeat sends the heartbeat that is due after an interval, if any, and
// returns the number of frames queued so far.
func (l *Link) sendHeartbeat(lastQueued uint64) uint64 {
	if !l.config.IdleHeartbeats {
		l.pingSentAt.Store(time.Now().UnixNano())
		l.Send(frame.Frame{Type: frame.TypePing})
	} else if l.queued.Load() == lastQueued {
		// The peer ignores an unsolicited pong.
		l.Send(frame.Frame{Type: frame.TypePong})
	}
	return l.queued.Load()
}
