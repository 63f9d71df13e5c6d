// Package impair delays what is written on a connection, as a long and lossy
// way would, for tests and measurements on one machine.
package impair

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel/internal/mailbox"
)

// Config is what a way does to the bytes on it.
type Config struct {
	// Delay is the time that every segment takes one way.
	Delay time.Duration
	// Loss is the share of segments, in 0..1, that are lost and sent again.
	Loss float64
	// Retransmission is the time after which a lost segment is sent again.
	Retransmission time.Duration
}

// Conn is a connection whose writes arrive late. They stay in order, so that a
// lost segment holds up those behind it.
type Conn struct {
	net.Conn
	config   Config
	random   *rand.Rand
	segments *mailbox.Mailbox[segment]
	last     time.Time // when the last segment arrives; the writer's own
	done     chan struct{}
	closed   atomic.Bool
	bytes    *atomic.Int64
	writes   *atomic.Int64
}

type segment struct {
	content []byte
	due     time.Time
}

// Count is what was written on impaired connections.
type Count struct {
	Bytes  atomic.Int64
	Writes atomic.Int64
}

// New returns conn with its writes impaired. It takes one writer at a time.
// count adds up what is written.
func New(conn net.Conn, config Config, random *rand.Rand, count *Count) *Conn {
	c := &Conn{
		Conn:     conn,
		config:   config,
		random:   random,
		segments: mailbox.New[segment](),
		done:     make(chan struct{}),
		bytes:    &count.Bytes,
		writes:   &count.Writes,
	}
	go c.forward()
	return c
}

// Write implements net.Conn. It does not wait for the bytes to arrive.
func (c *Conn) Write(content []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.bytes.Add(int64(len(content)))
	c.writes.Add(1)
	due := time.Now().Add(c.config.Delay)
	for c.config.Loss > 0 && c.random.Float64() < c.config.Loss {
		due = due.Add(c.config.Retransmission)
	}
	if due.Before(c.last) {
		due = c.last
	}
	c.last = due
	c.segments.Push(segment{content: append([]byte(nil), content...), due: due})
	return len(content), nil
}

// Close implements net.Conn. Segments on the way are lost.
func (c *Conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		close(c.done)
	}
	return c.Conn.Close()
}

func (c *Conn) forward() {
	var batch []segment
	for {
		select {
		case <-c.segments.Signal():
			batch = c.segments.TryTake(batch[:0])
		case <-c.done:
			return
		}
		for _, s := range batch {
			if !c.arrive(s) {
				return
			}
		}
		clear(batch)
	}
}

// arrive waits until the segment is due and passes it on.
func (c *Conn) arrive(s segment) bool {
	timer := time.NewTimer(time.Until(s.due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
		return false
	}
	_, err := c.Conn.Write(s.content)
	return err == nil
}
