package client

import (
	"context"
	"maps"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/sidecar/wire"
)

// pool holds one link to each sidecar. The request path reads an immutable map; adding
// an address replaces the map by a changed copy.
type pool struct {
	ctx        context.Context
	self       carobkeel.Incarnation
	config     Config
	peers      atomic.Pointer[map[string]*peer]
	lateFrames atomic.Int64
	// generation numbers all links of this process, so a later link to a sidecar
	// always has a higher number.
	generation atomic.Uint64
}

// peer is a sidecar's address and the link to it.
type peer struct {
	address string
	current atomic.Pointer[linkAttempt]
}

// linkAttempt is one attempt to open a link. Its other fields are set before done is
// closed.
type linkAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

func newPool(ctx context.Context, self carobkeel.Incarnation, config Config) *pool {
	p := &pool{ctx: ctx, self: self, config: config}
	p.peers.Store(&map[string]*peer{})
	return p
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// peer returns the peer with the address, adding it if necessary.
func (p *pool) peer(address string) *peer {
	for {
		peers := p.peers.Load()
		if found, ok := (*peers)[address]; ok {
			return found
		}
		next := maps.Clone(*peers)
		added := &peer{address: address}
		next[address] = added
		if p.peers.CompareAndSwap(peers, &next) {
			return added
		}
	}
}

// prune removes the addresses for which keep returns false and closes their links.
func (p *pool) prune(keep func(address string) bool) {
	for {
		peers := p.peers.Load()
		next := make(map[string]*peer, len(*peers))
		for address, known := range *peers {
			if keep(address) {
				next[address] = known
			}
		}
		if len(next) == len(*peers) {
			return
		}
		if !p.peers.CompareAndSwap(peers, &next) {
			continue
		}
		for address, known := range *peers {
			if _, kept := next[address]; !kept {
				known.close()
			}
		}
		return
	}
}

func (p *peer) close() {
	current := p.current.Load()
	if current == nil {
		return
	}
	select {
	case <-current.done:
		if current.conn != nil {
			current.conn.link.Close()
		}
	default:
	}
}

// conn returns the link to the address and opens one if there is none. If several
// requests find none, one of them opens it and the others wait for it.
func (p *pool) conn(ctx context.Context, address string) (*conn, error) {
	target := p.peer(address)
	current := target.current.Load()
	if !current.isUsable() {
		next := &linkAttempt{done: make(chan struct{})}
		if target.current.CompareAndSwap(current, next) {
			go p.open(target, next)
			current = next
		} else {
			current = target.current.Load()
		}
	}
	select {
	case <-current.done:
		return current.conn, current.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// isUsable reports whether the attempt is in progress or has a link that is up.
func (a *linkAttempt) isUsable() bool {
	if a == nil {
		return false
	}
	select {
	case <-a.done:
		return a.err == nil && a.conn.isAlive()
	default:
		return true
	}
}

func (p *pool) open(target *peer, a *linkAttempt) {
	defer close(a.done)
	ctx, cancel := context.WithTimeout(p.ctx, p.config.DialTimeout)
	defer cancel()
	raw, err := p.config.Dial(ctx, target.address)
	if err != nil {
		a.err = errors.Wrapf(err, "connect to sidecar %s", target.address)
		return
	}
	hello := wire.Hello{
		Version:     wire.Version,
		Incarnation: uint64(p.self),
		Generation:  p.generation.Add(1),
	}
	c := newConn(p.ctx, raw, hello, p.config, &p.lateFrames)
	if err := c.waitReady(ctx); err != nil {
		c.link.Close()
		a.err = errors.Wrapf(err, "greet sidecar %s", target.address)
		return
	}
	a.conn = c
}
