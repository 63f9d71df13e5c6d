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

// eventTransport publishes and receives events over event links: the links that
// this process accepted, or those that it dialled.
type eventTransport interface {
	message.Publisher
	message.Subscriber
}

// addPropagation registers the propagator as the handler of the propagation
// topics of each transport.
func addPropagation(router *message.Router, p *propagator.Propagator, transports map[string]eventTransport) {
	for name, transport := range transports {
		router.AddConsumerHandler("spread-"+name, propagator.Topics, transport, p.Handle)
	}
}

// newPropagator returns a propagator that publishes to all given transports.
func newPropagator(config entry.PropagationConfig, transports map[string]eventTransport, scope tally.Scope, logger *log.Logger,
	install func(*carobkeel.Catalogue), serve func(confirmed bool),
) *propagator.Propagator {
	publishers := make([]message.Publisher, 0, len(transports))
	for _, transport := range transports {
		publishers = append(publishers, transport)
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

// startPropagation connects the entry to the propagation of the catalogue.
func (p *entryProcess) startPropagation(ctx context.Context, scope tally.Scope) error {
	transports := map[string]eventTransport{"accepted": p.eventListener, "dialled": p.eventDialer}
	config := entry.DefaultPropagationConfig()
	config.Peers, config.ReadsStore = len(splitList(p.config.peers)), true
	p.propagator = newPropagator(config, transports, scope, p.log, p.install, func(bool) { p.markReady() })
	p.reader = propagator.NewReader(p.store, p.propagator, p.config.catalogueInterval)
	if err := runRouter(ctx, p.log, func(router *message.Router) { addPropagation(router, p.propagator, transports) }); err != nil {
		return err
	}
	go p.propagator.Run(ctx)
	go p.eventDialer.Run(ctx)
	go p.reader.Run(ctx)
	return nil
}

// startPropagation connects the sidecar to the propagation of the catalogue.
func (p *sidecarProcess) startPropagation(ctx context.Context, scope tally.Scope) error {
	transports := map[string]eventTransport{"dialled": p.dialer}
	config := entry.DefaultPropagationConfig()
	config.Peers, config.Leaf = len(splitList(p.config.entries)), true
	p.propagator = newPropagator(config, transports, scope, p.log, func(*carobkeel.Catalogue) {}, func(bool) {})
	if err := runRouter(ctx, p.log, func(router *message.Router) { addPropagation(router, p.propagator, transports) }); err != nil {
		return err
	}
	go p.propagator.Run(ctx)
	return nil
}
