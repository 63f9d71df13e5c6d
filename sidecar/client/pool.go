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

// pool keeps one link to each sidecar. The path of a request reads an immutable
// map; adding an address builds the next map and swaps it in.
type pool struct {
	ctx    context.Context
	self   carobkeel.Incarnation
	config Config
	peers  atomic.Pointer[map[string]*peer]
	late   atomic.Int64
	// generation numbers all links of this process, so that a later link to a
	// sidecar always has the higher number.
	generation atomic.Uint64
}

// peer is one sidecar's address and the link to it.
type peer struct {
	address string
	current atomic.Pointer[attempt]
}

// attempt is one try to open a link. Its fields are set before done is closed.
type attempt struct {
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

// forget drops the addresses for which keep is false and closes their links.
func (p *pool) forget(keep func(address string) bool) {
	for {
		peers := p.peers.Load()
		next := make(map[string]*peer, len(*peers))
		for address, held := range *peers {
			if keep(address) {
				next[address] = held
			}
		}
		if len(next) == len(*peers) {
			return
		}
		if !p.peers.CompareAndSwap(peers, &next) {
			continue
		}
		for address, held := range *peers {
			if _, kept := next[address]; !kept {
				held.close()
			}
		}
		return
	}
}

func (p *peer) close() {
	held := p.current.Load()
	if held == nil {
		return
	}
	select {
	case <-held.done:
		if held.conn != nil {
			held.conn.link.Close()
		}
	default:
	}
}

// conn returns the link to the address, opening one where there is none. Of
// several requests that find none, one opens it and the others wait for it.
func (p *pool) conn(ctx context.Context, address string) (*conn, error) {
	target := p.peer(address)
	held := target.current.Load()
	if !held.usable() {
		next := &attempt{done: make(chan struct{})}
		if target.current.CompareAndSwap(held, next) {
			go p.open(target, next)
			held = next
		} else {
			held = target.current.Load()
		}
	}
	select {
	case <-held.done:
		return held.conn, held.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// usable reports whether the attempt is under way or has a link that lives.
func (a *attempt) usable() bool {
	if a == nil {
		return false
	}
	select {
	case <-a.done:
		return a.err == nil && a.conn.alive()
	default:
		return true
	}
}

func (p *pool) open(target *peer, a *attempt) {
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
	c := newConn(p.ctx, raw, hello, p.config, &p.late)
	if err := c.waitReady(ctx); err != nil {
		c.link.Close()
		a.err = errors.Wrapf(err, "greet sidecar %s", target.address)
		return
	}
	a.conn = c
}
