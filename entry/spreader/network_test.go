package spreader_test

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/spreader"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/link/impair"
	"github.com/carobkeel/carobkeel/internal/logging"
)

// network connects nodes in memory. Its ways are delayed.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	blocked   map[[2]string]bool
	open      map[[2]string][]net.Conn
	delay     time.Duration
	count     impair.Count
}

func newNetwork(delay time.Duration) *network {
	return &network{
		listeners: make(map[string]*listener),
		blocked:   make(map[[2]string]bool),
		open:      make(map[[2]string][]net.Conn),
		delay:     delay,
	}
}

type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.IPAddr{} }

func (n *network) listen(name string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[name] = l
	return l
}

// block cuts and forbids connections from one node to another, as dialled.
func (n *network) block(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	way := [2]string{from, to}
	n.blocked[way] = blocked
	if blocked {
		for _, conn := range n.open[way] {
			_ = conn.Close()
		}
		n.open[way] = nil
	}
}

func (n *network) dial(from string) eventlink.DialFunc {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		l, ok := n.listeners[to]
		if !ok || n.blocked[[2]string{from, to}] {
			return nil, errors.New("unreachable")
		}
		nearEnd, farEnd := net.Pipe()
		way := impair.Config{Delay: n.delay}
		near := impair.New(nearEnd, way, rand.New(rand.NewPCG(1, 1)), &n.count)
		far := impair.New(farEnd, way, rand.New(rand.NewPCG(1, 2)), &n.count)
		select {
		case l.conns <- far:
			n.open[[2]string{from, to}] = append(n.open[[2]string{from, to}], near)
			return near, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		_, _ = near.Close(), far.Close()
		return nil, errors.New("refused")
	}
}

// node is one process that takes part in the spread.
type node struct {
	*spreader.Spreader
	reader  *spreader.Reader
	stop    context.CancelFunc
	mu      sync.Mutex
	forced  []carobkeel.Revision // revisions that were put in force, in order
	serving atomic.Pointer[bool]
}

// history returns the revisions that were put in force, in order.
func (n *node) history() []carobkeel.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.forced)
}

func (n *node) install(c *carobkeel.Catalogue) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forced = append(n.forced, c.Revision)
}

// start runs a node that dials the others. One without a source is a leaf.
func start(n *network, name string, peers []string, source spreader.CatalogueSource, seed uint64) *node {
	ctx, cancel := context.WithCancel(context.Background())
	started := &node{stop: cancel}
	logger := logging.Discard().For("test")
	accepting := eventlink.NewListener(link.EventConfig(), logger)
	dialling := eventlink.NewDialer(peers, link.EventConfig(), logger, func() {})
	dialling.UseDial(n.dial(name))
	config := entry.DefaultSpreadConfig()
	config.Peers, config.Leaf, config.Store = len(peers), source == nil, source != nil
	started.Spreader = spreader.New(spreader.Config{
		Spread:     config,
		Publishers: []message.Publisher{accepting, dialling},
		Random:     rand.New(rand.NewPCG(seed, 0)),
		Metrics:    spreader.NewMetrics(tally.NoopScope),
		Log:        logger,
		Install:    started.install,
		Serve:      func(confirmed bool) { started.serving.Store(&confirmed) },
	})
	for _, end := range []message.Subscriber{accepting, dialling} {
		messages, err := end.Subscribe(ctx, spreader.Topics)
		if err != nil {
			panic(err)
		}
		go func() {
			for m := range messages {
				_ = started.Handle(m)
				m.Ack()
			}
		}()
	}
	if source != nil {
		started.reader = spreader.NewReader(source, started.Spreader, spreader.PollInterval)
		go started.reader.Run(ctx)
		go func() { _ = accepting.Run(ctx, n.listen(name)) }()
	}
	go started.Run(ctx)
	go dialling.Run(ctx)
	return started
}
