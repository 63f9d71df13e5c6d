package main

import (
	"context"
	"flag"
	"net/http"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/balancer"
	"github.com/carobkeel/carobkeel/caller/submission"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/operator/configuration"
	"github.com/carobkeel/carobkeel/operator/httpapi"
	"github.com/carobkeel/carobkeel/platform"
	"github.com/carobkeel/carobkeel/scheduler/directory"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/holder"
)

const (
	// leaveTime is how long a leaving entry still accepts requests: the balancer
	// probes once a second and removes an entry after two failed probes.
	leaveTime = 2500 * time.Millisecond
	// drainTimeout is how long requests in flight may take to end after that.
	drainTimeout = 2 * time.Second
	// maxStoreAge is how long the table service may be unreachable before the
	// entry reports itself not ready to the balancer.
	maxStoreAge = 3 * time.Second
)

// hostedEntry is an entry on the users' platform.
type hostedEntry struct {
	*hostedProcess
	policy       dispatch.Policy
	node         *holder.Node
	readiness    balancer.Readiness
	callerServer *http.Server
}

// runHostedEntry runs an entry until ctx ends.
func runHostedEntry(ctx context.Context, args []string, io streams) int {
	var policy *dispatch.Policy
	h, code, ok := startHosted("entry", args, io, func(fs *flag.FlagSet) { policy = registerPolicyFlags(fs) })
	if !ok {
		return code
	}
	defer h.flushLogs()
	policy.RemoteFactor = h.settings.Bounds.RemoteFactor
	e := &hostedEntry{hostedProcess: h, policy: *policy}
	processCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := e.start(processCtx); err != nil {
		return fail(io, err)
	}
	<-ctx.Done()
	e.stop()
	return exitOK
}

func (e *hostedEntry) start(ctx context.Context) error {
	s := &e.settings
	address := s.LinkAddress(s.IP)
	config := holder.Config{
		Host: s.Host, Incarnation: e.incarnation, Address: address, Shard: defaultShard,
		WorkerLease: workerLease, MaxLease: s.Bounds.MaxLease, RowBytes: s.Store.RowBytes,
		Capacity:    holder.Capacity{Processors: s.Processors, LinkBytesPerSecond: s.LinkBytesPerSecond},
		MemoryBytes: s.MemoryBytes,
		Policy:      e.policy,
	}
	if s.AdviceAddress != "" {
		config.Advisor = platform.NewAdvisor(s.AdviceAddress)
	}
	e.node = holder.New(config, e.store, holder.NewMetrics(e.metrics), e.logs.For("scheduler"))
	listener, err := e.listenLinks()
	if err != nil {
		return err
	}
	go func() {
		if err := e.node.Serve(ctx, listener); err != nil {
			e.log.Error().Err(err).Msg("link listener failed; no more links are accepted")
		}
	}()
	go e.node.Run(ctx)
	reader := configuration.NewReader(configuration.Config{
		Rows: e.node.Rows(), Row: platform.ConfigRow, Decode: platform.DecodeConfig, Apply: e.applyConfig,
		Metrics: configuration.NewMetrics(e.metrics), Log: e.log,
	})
	go reader.Run(ctx)
	// Reloads are only logged: an entry's addresses are fixed while the process
	// runs, and only sidecars use the seeds.
	go e.watchSettings(ctx, func(platform.Settings) {})
	go directory.Register(ctx, e.store, s.Host, e.incarnation, address, e.log)
	jobs := submission.New(defaultShard, e.store, e.node, submission.NewMetrics(e.metrics), e.log)
	e.explain = httpapi.NewExplainHandler(&hostedExplainer{node: e.node, metricsAddress: e.metricsAddress})
	jobs.BoundMemory(e.node.JobMemory)
	if e.policy.Admission {
		jobs.ShedLoad(e.node.LoadView)
	}
	if err := e.serveMetrics(ctx); err != nil {
		return err
	}
	configAge := platform.ConfigAge{Age: reader.Age, Limit: s.Bounds.ConfigApply}
	if e.callerServer, err = e.serveCallers(ctx, s.CallerAddress, platform.NewCallerHandler(jobs, configAge, e.log)); err != nil {
		return err
	}
	if err = e.serveSide(ctx, s.ReadyAddress, platform.NewReadyHandler(e.ready)); err != nil {
		return err
	}
	if s.RegistryAddress != "" {
		err = e.serveSide(ctx, s.RegistryAddress, http.NotFoundHandler())
	}
	return err
}

// applyConfig puts a configuration in force, unless it is older than the one in force.
func (e *hostedEntry) applyConfig(config *carobkeel.QueueConfig) {
	e.node.SetQueues(config)
	e.readiness.Advance(balancer.PhaseReady)
}

// ready reports the readiness that the balancer's probe gets.
func (e *hostedEntry) ready() bool {
	return e.readiness.Ready() && e.node.StoreAge() < maxStoreAge
}

// stop makes the entry not ready, so that the balancer removes it, steps down
// from the shard, and waits up to drainTimeout for requests in flight.
func (e *hostedEntry) stop() {
	e.readiness.Advance(balancer.PhaseLeaving)
	e.log.Info().Msg("stopping")
	e.node.Resign()
	_ = clock.Sleep(context.Background(), leaveTime)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Msg("requests in flight were cut off at the drain timeout")
	}
	e.log.Info().Msg("stopped")
}
