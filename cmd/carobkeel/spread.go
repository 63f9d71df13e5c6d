package main

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/entry/propagator"
)

// eventEnd is one end of event links.
type eventEnd interface {
	message.Publisher
	message.Subscriber
}

// addSpread lets the propagator take the messages of each end.
func addSpread(router *message.Router, s *propagator.Propagator, ends map[string]eventEnd) {
	for name, end := range ends {
		router.AddConsumerHandler("spread-"+name, propagator.Topics, end, s.Handle)
	}
}

// newSpreader returns a propagator over the given ends.
func newSpreader(config entry.PropagationConfig, ends map[string]eventEnd, scope tally.Scope, logger *log.Logger,
	install func(*carobkeel.Catalogue), serve func(confirmed bool),
) *propagator.Propagator {
	publishers := make([]message.Publisher, 0, len(ends))
	for _, end := range ends {
		publishers = append(publishers, end)
	}
	return propagator.New(propagator.Config{
		Propagation: config,
		Publishers:  publishers,
		Metrics:     propagator.NewMetrics(scope),
		Log:         logger,
		Install:     install,
		Serve:       serve,
	})
}

// startSpread joins the entry to the spread of the catalogue.
func (p *entryProcess) startSpread(ctx context.Context, scope tally.Scope) error {
	ends := map[string]eventEnd{"accepted": p.links, "dialled": p.peers}
	config := entry.DefaultPropagationConfig()
	config.Peers, config.ReadsStore = len(splitList(p.config.peers)), true
	p.spread = newSpreader(config, ends, scope, p.log, p.install, func(bool) { p.serve() })
	p.reader = propagator.NewReader(p.store, p.spread, p.config.catalogueInterval)
	if err := runRouter(ctx, p.log, func(router *message.Router) { addSpread(router, p.spread, ends) }); err != nil {
		return err
	}
	go p.spread.Run(ctx)
	go p.peers.Run(ctx)
	go p.reader.Run(ctx)
	return nil
}

// startSpread joins the sidecar to the spread of the catalogue.
func (p *sidecarProcess) startSpread(ctx context.Context, scope tally.Scope) error {
	ends := map[string]eventEnd{"dialled": p.dialer}
	config := entry.DefaultPropagationConfig()
	config.Peers, config.Leaf = len(splitList(p.config.entries)), true
	p.spread = newSpreader(config, ends, scope, p.log, func(*carobkeel.Catalogue) {}, func(bool) {})
	if err := runRouter(ctx, p.log, func(router *message.Router) { addSpread(router, p.spread, ends) }); err != nil {
		return err
	}
	go p.spread.Run(ctx)
	return nil
}
