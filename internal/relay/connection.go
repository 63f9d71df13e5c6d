package relay

import (
	"context"
	"net"
	"sync"
)

// connection is a client's connection and the one that carries it on.
type connection struct {
	relay  *Relay
	client *net.TCPConn
	// silent is closed when the connection carries nothing any more.
	silent      chan struct{}
	silenceOnce sync.Once
	// lasting ends when the connection is over.
	lasting context.Context
	cancel  context.CancelFunc

	// mu orders the end of the connection and the opening of its other half.
	mu     sync.Mutex
	server *net.TCPConn
}

func newConnection(r *Relay, client *net.TCPConn) *connection {
	lasting, cancel := context.WithCancel(context.Background())
	return &connection{relay: r, client: client, silent: make(chan struct{}), lasting: lasting, cancel: cancel}
}

// serve carries the connection until it is over.
func (c *connection) serve() {
	defer c.relay.remove(c)
	if !c.admit() || !c.dial() {
		c.reset()
		return
	}
	var pipes sync.WaitGroup
	pipes.Go(newPipe(c, toServer, c.client, c.server).run)
	pipes.Go(newPipe(c, toClient, c.server, c.client).run)
	pipes.Wait()
	c.close()
}

// admit waits until the link answers new connections, and returns false if it refuses this
// one.
func (c *connection) admit() bool {
	for {
		s := c.relay.state.Load()
		switch {
		case s.Cut == CutRefusing:
			return false
		case !s.holdsNew():
			return true
		case !c.awaitChange(s):
			return false
		}
	}
}

func (c *connection) dial() bool {
	var dialer net.Dialer
	server, err := dialer.DialContext(c.lasting, "tcp", c.relay.target)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isOver() {
		_ = server.Close() // nothing was sent on it
		return false
	}
	c.server = server.(*net.TCPConn)
	return true
}

// pass waits until the link lets bytes through in the direction. It returns false if the
// connection is over.
func (c *connection) pass(d direction) (*state, bool) {
	for !c.isOver() {
		s := c.relay.state.Load()
		if !c.isSilent() && !s.holds(d) {
			return s, true
		}
		if !c.awaitChange(s) {
			return nil, false
		}
	}
	return nil, false
}

// awaitChange waits until another state than s is in force. It returns false if the
// connection is over, which a silent one never is by itself.
func (c *connection) awaitChange(s *state) bool {
	select {
	case <-s.changed:
		return true
	case <-c.silent:
		<-c.over()
		return false
	case <-c.over():
		return false
	}
}

func (c *connection) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// over returns a channel that is closed when the connection is over.
func (c *connection) over() <-chan struct{} { return c.lasting.Done() }

func (c *connection) isOver() bool { return c.lasting.Err() != nil }

func (c *connection) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

// reset ends the connection so that both ends see a reset.
func (c *connection) reset() { c.end(func(half *net.TCPConn) { _ = half.SetLinger(0) }) }

// close ends the connection after both ends have closed.
func (c *connection) close() { c.end(func(*net.TCPConn) {}) }

func (c *connection) end(prepare func(*net.TCPConn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isOver() {
		return
	}
	c.cancel()
	for _, half := range []*net.TCPConn{c.client, c.server} {
		if half != nil {
			prepare(half)
			_ = half.Close() // the connection is over either way
		}
	}
}
