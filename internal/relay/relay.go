// Package relay is a link between two processes on loopback whose faults can be switched
// while it runs: delay, loss of one direction, silence of open connections, resets, a bound
// on the rate, cuts.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is the pause after an accept that failed for want of descriptors.
const acceptPause = 10 * time.Millisecond

// Relay accepts connections and carries each of them to a target. Waiting parks on a
// channel, a timer or the network.
type Relay struct {
	address string
	target  string
	state   atomic.Pointer[state]
	serving sync.WaitGroup

	// mu guards what follows, which only opening, closing and switching need.
	mu     sync.Mutex
	closed bool
	// listener is nil while the relay does not listen.
	listener    *net.TCPListener
	connections map[*connection]struct{}
}

// Listen returns a relay from an address to a target, both on loopback. The port of the
// address may be zero.
func Listen(address, target string) (*Relay, error) {
	for _, a := range []string{address, target} {
		if err := checkLoopback(a); err != nil {
			return nil, err
		}
	}
	r := &Relay{address: address, target: target, connections: make(map[*connection]struct{})}
	r.state.Store(newState(Impairment{}))
	if err := r.Resume(); err != nil {
		return nil, err
	}
	return r, nil
}

// Refuse makes the relay refuse new connections, as an address at which nothing listens.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopListening()
}

// Resume makes the relay listen again.
func (r *Relay) Resume() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	r.listener = listener.(*net.TCPListener)
	r.address = r.listener.Addr().String()
	accepting := r.listener
	r.serving.Go(func() { r.accept(accepting) })
	return nil
}

// stopListening closes the listener. The caller holds the lock.
func (r *Relay) stopListening() {
	if r.listener != nil {
		_ = r.listener.Close() // fails only if it is closed
		r.listener = nil
	}
}

func checkLoopback(address string) error {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	if !resolved.IP.IsLoopback() {
		return errors.Errorf("relay: %s isn't on loopback", address)
	}
	return nil
}

// Addr returns the address that the relay listens at.
func (r *Relay) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// Impair replaces the impairment that is in force, for open and for new connections.
func (r *Relay) Impair(i Impairment) {
	old := r.state.Swap(newState(i))
	close(old.changed)
}

// Silence makes the connections that are open now carry nothing any more, for good. Neither
// end is told, even if the other closes; what an end sends goes into buffers until they are
// full. New connections work.
func (r *Relay) Silence() { r.forEach((*connection).silence) }

// Reset resets the connections that are open now.
func (r *Relay) Reset() { r.forEach((*connection).reset) }

// Open returns the number of open connections, the silent ones included.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// Close resets all connections, accepts no more, and waits until nothing runs.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.stopListening()
	r.mu.Unlock()
	r.Reset()
	r.serving.Wait()
}

func (r *Relay) accept(listener *net.TCPListener) {
	for {
		client, err := listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(r, client)
		if !r.add(c) {
			c.reset()
			return
		}
		r.serving.Go(c.serve)
	}
}

// add adds a connection, and returns false if the relay is closed.
func (r *Relay) add(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

func (r *Relay) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

func (r *Relay) forEach(do func(*connection)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		do(c)
	}
}

// Group is a set of relays that are switched together, at one instant.
type Group []*Relay

// Impair replaces the impairment of all relays.
func (g Group) Impair(i Impairment) {
	for _, r := range g {
		r.Impair(i)
	}
}

// Silence makes the open connections of all relays silent for good.
func (g Group) Silence() {
	for _, r := range g {
		r.Silence()
	}
}

// Reset resets the open connections of all relays.
func (g Group) Reset() {
	for _, r := range g {
		r.Reset()
	}
}

// Close closes all relays.
func (g Group) Close() {
	for _, r := range g {
		r.Close()
	}
}
