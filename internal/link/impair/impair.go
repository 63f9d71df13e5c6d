// Package impair simulates the delay and packet loss of a network path on a
// connection, for tests and measurements on one host.
package impair

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel/internal/mailbox"
)

// Config describes a simulated network path.
type Config struct {
	// Delay is the one-way delay of each segment.
	Delay time.Duration
	// Loss is the share of segments, in 0..1, that are lost and retransmitted.
	Loss float64
	// Retransmission is the delay until a lost segment is retransmitted.
	Retransmission time.Duration
}

// Conn is a connection whose writes are delivered with a delay. Their order is
// kept, so a lost segment delays those behind it.
type Conn struct {
	net.Conn
	config       Config
	random       *rand.Rand
	segments     *mailbox.Mailbox[segment]
	lastDelivery time.Time // delivery time of the last segment; used only by the writer
	done         chan struct{}
	closed       atomic.Bool
	bytes        *atomic.Int64
	writes       *atomic.Int64
}

type segment struct {
	content   []byte
	deliverAt time.Time
}

// Totals holds totals over the writes on impaired connections.
type Totals struct {
	Bytes  atomic.Int64
	Writes atomic.Int64
}

// New returns conn with its writes impaired. It supports one writer at a
// time. The totals of its writes are added to count.
func New(conn net.Conn, config Config, random *rand.Rand, count *Totals) *Conn {
	c := &Conn{
		Conn:     conn,
		config:   config,
		random:   random,
		segments: mailbox.New[segment](),
		done:     make(chan struct{}),
		bytes:    &count.Bytes,
		writes:   &count.Writes,
	}
	go c.deliverSegments()
	return c
}

// Write implements net.Conn. It does not wait for the delivery.
func (c *Conn) Write(content []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.bytes.Add(int64(len(content)))
	c.writes.Add(1)
	deliverAt := time.Now().Add(c.config.Delay)
	for c.config.Loss > 0 && c.random.Float64() < c.config.Loss {
		deliverAt = deliverAt.Add(c.config.Retransmission)
	}
	if deliverAt.Before(c.lastDelivery) {
		deliverAt = c.lastDelivery
	}
	c.lastDelivery = deliverAt
	c.segments.Push(segment{content: append([]byte(nil), content...), deliverAt: deliverAt})
	return len(content), nil
}

// Close implements net.Conn. Segments in flight are lost.
func (c *Conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		close(c.done)
	}
	return c.Conn.Close()
}

func (c *Conn) deliverSegments() {
	var batch []segment
	for {
		select {
		case <-c.segments.Signal():
			batch = c.segments.TryTake(batch[:0])
		case <-c.done:
			return
		}
		for _, s := range batch {
			if !c.deliver(s) {
				return
			}
		}
		clear(batch)
	}
}

// deliver waits until the delivery time of the segment and writes it. It reports
// whether the connection is still usable.
func (c *Conn) deliver(s segment) bool {
	timer := time.NewTimer(time.Until(s.deliverAt))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
		return false
	}
	_, err := c.Conn.Write(s.content)
	return err == nil
}
