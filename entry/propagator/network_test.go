package propagator_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/eventlink"
	"github.com/carobkeel/carobkeel/entry/propagator"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/internal/link/impair"
	"github.com/carobkeel/carobkeel/internal/logging"
)

// node is one process that takes part in the propagation.
type node struct {
	*propagator.Propagator
	reader          *propagator.Reader
	stop            context.CancelFunc
	mu              sync.Mutex
	installed       []carobkeel.Revision // installed revisions, in order
	servedConfirmed atomic.Pointer[bool]
}

// history returns the installed revisions, in order.
func (n *node) history() []carobkeel.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.installed)
}

func (n *node) install(c *carobkeel.Catalogue) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.installed = append(n.installed, c.Revision)
}

// start starts a node that dials its peers. A node without a source is a leaf.
func start(n *impair.Network, name string, peers []string, source propagator.CatalogueSource, seed uint64) *node {
	ctx, cancel := context.WithCancel(context.Background())
	started := &node{stop: cancel}
	logger := logging.Discard().For("test")
	accepting := eventlink.NewListener(link.EventConfig(), logger)
	dialling := eventlink.NewDialer(peers, link.EventConfig(), logger, func() {})
	dialling.SetDialFunc(n.Dialer(name))
	config := entry.DefaultPropagationConfig()
	config.Peers, config.Leaf, config.ReadsStore = len(peers), source == nil, source != nil
	started.Propagator = propagator.New(propagator.Config{
		Propagation: config,
		Publishers:  []message.Publisher{accepting, dialling},
		Random:      rand.New(rand.NewPCG(seed, 0)),
		Metrics:     propagator.NewMetrics(tally.NoopScope),
		Log:         logger,
		Install:     started.install,
		Serve:       func(confirmed bool) { started.servedConfirmed.Store(&confirmed) },
	})
	for _, endpoint := range []message.Subscriber{accepting, dialling} {
		messages, err := endpoint.Subscribe(ctx, propagator.Topics)
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
		started.reader = propagator.NewReader(source, started.Propagator, propagator.PollInterval)
		go started.reader.Run(ctx)
		go func() { _ = accepting.Run(ctx, n.Listen(name)) }()
	}
	go started.Run(ctx)
	go dialling.Run(ctx)
	return started
}
