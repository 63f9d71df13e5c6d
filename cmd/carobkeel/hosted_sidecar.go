package main

import (
	"context"
	"flag"

	"github.com/carobkeel/carobkeel/platform"
	"github.com/carobkeel/carobkeel/scheduler/directory"
	"github.com/carobkeel/carobkeel/sidecar/agent"
)

// runHostedSidecar runs the sidecar of a worker on the users' platform until ctx
// ends.
func runHostedSidecar(ctx context.Context, args []string, io streams) int {
	h, code, ok := startHosted("sidecar", args, io, func(*flag.FlagSet) {})
	if !ok {
		return code
	}
	defer h.flushLogs()
	s := &h.settings
	a := agent.New(agent.Config{
		Host: s.Host, Incarnation: h.incarnation, Seeds: seedAddresses(s), WorkerAddress: s.WorkerAddress,
		WorkerLease: min(workerLease, s.Bounds.MaxLease), MaxLease: s.Bounds.MaxLease,
	}, platform.NewWorker(s.WorkerAddress), directory.NewReader(h.store, h.log).Addresses, agent.NewMetrics(h.metrics), h.log)
	if err := h.serveMetrics(ctx); err != nil {
		return fail(io, err)
	}
	if err := h.serveSide(ctx, s.RegistryAddress, platform.NewRegistryHandler(s.Service, a, h.log)); err != nil {
		return fail(io, err)
	}
	go h.watchSettings(ctx, func(changed platform.Settings) { a.SetSeeds(seedAddresses(&changed)) })
	a.Run(ctx)
	h.log.Info().Msg("stopped")
	return exitOK
}
