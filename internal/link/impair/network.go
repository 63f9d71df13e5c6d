package impair

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrUnreachable means that no connection can be established.
var ErrUnreachable = errors.New("unreachable")

// Network connects the processes of one test or measurement in memory. The
// routes between them can be blocked individually.
type Network struct {
	path  Config
	count Totals

	mu        sync.Mutex // guards the maps
	listeners map[string]*pipeListener
	blocked   map[[2]string]bool
	open      map[[2]string][]net.Conn
}

// NewNetwork returns a network in which all connections have the given path.
func NewNetwork(path Config) *Network {
	return &Network{
		path:      path,
		listeners: make(map[string]*pipeListener),
		blocked:   make(map[[2]string]bool),
		open:      make(map[[2]string][]net.Conn),
	}
}

// pipeListener accepts the far ends of in-memory pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.IPAddr{} }

// Listen accepts connections to the name. It replaces an earlier listener.
func (n *Network) Listen(name string) net.Listener {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name] = l
	return l
}

// SetBlocked closes the connections that one process has opened to another and
// rejects new ones, until it is called with blocked false.
func (n *Network) SetBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	route := [2]string{from, to}
	n.blocked[route] = blocked
	if !blocked {
		return
	}
	for _, conn := range n.open[route] {
		_ = conn.Close()
	}
	delete(n.open, route)
}

// Dialer returns the function with which the named process opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		listener, blocked := n.listeners[to], n.blocked[[2]string{from, to}]
		n.mu.Unlock()
		if listener == nil || blocked {
			return nil, errors.Wrap(ErrUnreachable, to)
		}
		nearEnd, farEnd := net.Pipe()
		near := New(nearEnd, n.path, rand.New(rand.NewPCG(1, 1)), &n.count)
		far := New(farEnd, n.path, rand.New(rand.NewPCG(1, 2)), &n.count)
		select {
		case listener.conns <- far:
			n.mu.Lock()
			defer n.mu.Unlock()
			n.open[[2]string{from, to}] = append(n.open[[2]string{from, to}], near)
			return near, nil
		case <-listener.closed:
		case <-ctx.Done():
		}
		_, _ = near.Close(), far.Close()
		return nil, errors.Wrap(ErrUnreachable, to)
	}
}
