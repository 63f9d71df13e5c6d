package link_test

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/link"
)

// severedConn loses what is written to it, and that it is closed, once that is set.
type severedConn struct {
	net.Conn
	losesWrites, losesClose atomic.Bool
}

// Write implements net.Conn.
func (c *severedConn) Write(data []byte) (int, error) {
	if c.losesWrites.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *severedConn) Close() error {
	if c.losesClose.Load() {
		return c.SetDeadline(time.Unix(1, 0)) // ends the reads and writes of this end only
	}
	return c.Conn.Close()
}

// Guards against lapsed leases: an end that still receives holds on to a link in whose other direction all is lost.
func TestLinkThatLosesOneDirectionEndsAtBothEnds(t *testing.T) {
	config := link.Config{HeartbeatInterval: 300 * time.Millisecond, SilenceTimeout: 900 * time.Millisecond, IdleHeartbeats: true}
	oneSilence := config.SilenceTimeout + 2*config.HeartbeatInterval
	for name, c := range map[string]struct {
		losesClose bool
		bound      time.Duration
	}{
		"the close arrives": {bound: oneSilence},
		"the close is lost": {losesClose: true, bound: 2 * oneSilence},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				nearEnd, farEnd := net.Pipe()
				near, far := &severedConn{Conn: nearEnd}, &severedConn{Conn: farEnd}
				deaf, hearing := link.New(far, config), link.New(near, config)
				for _, end := range []*link.Link{deaf, hearing} {
					go func() { _ = end.Run(t.Context(), func(frame.Frame) error { return nil }) }()
				}
				time.Sleep(10 * time.Second)
				severedAt := time.Now()
				near.losesWrites.Store(true)
				far.losesClose.Store(c.losesClose)
				<-deaf.Done()
				g.Expect(time.Since(severedAt)).To(BeNumerically("<=", oneSilence))
				<-hearing.Done()
				g.Expect(time.Since(severedAt)).To(BeNumerically("<=", c.bound))
				t.Logf("noticed at both ends after %v", time.Since(severedAt))
			})
		})
	}
}
