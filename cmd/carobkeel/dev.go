package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel/caller/jobsapi"
	"github.com/carobkeel/carobkeel/entry/propagator"
	"github.com/carobkeel/carobkeel/entry/server"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/internal/settings"
	"github.com/carobkeel/carobkeel/operator/catalogfile"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/sidecar/client"
	"github.com/carobkeel/carobkeel/table"
	tableclient "github.com/carobkeel/carobkeel/table/client"
	"github.com/carobkeel/carobkeel/table/memory"
)

const (
	devUpstreams  = 2
	devDataCentre = "local"
	devService    = "echo"
	// devOperator is the author of the initial catalogue in its history.
	devOperator = "dev"
)

// devConfig is the settings of the dev command.
type devConfig struct {
	listen         string
	operatorListen string
	clients        clientLimits
	machine        machineFlags
}

func registerDevFlags(fs *flag.FlagSet) *devConfig {
	c := &devConfig{}
	fs.StringVar(&c.listen, "listen", "127.0.0.1:8080", "address for callers")
	fs.StringVar(&c.operatorListen, "operator-listen", "127.0.0.1:8081", "address for operators, metrics and health")
	c.clients.register(fs)
	c.machine.register(fs)
	return c
}

// Check implements settings.Checker.
func (c *devConfig) Check() []settings.Problem {
	problems := append(checkAddress("listen", c.listen), checkAddress("operator-listen", c.operatorListen)...)
	problems = append(problems, c.clients.Check()...)
	return append(problems, c.machine.Check()...)
}

// devProcess is an entry with its sidecars and sample upstreams in one process.
type devProcess struct {
	entry    *entryProcess
	sidecars []*sidecarProcess
	echoes   []*sampleEcho
}

// startDev starts an entry, sidecars and sample upstreams on loopback, with an
// in-memory table that holds the dev catalogue.
func startDev(c devConfig, logs *logging.Factory) (*devProcess, error) {
	p := &devProcess{}
	rows := memory.New()
	seed := store.New(store.Config{Table: rows})
	err := seed.Seed(context.Background(), catalogfile.DevCatalogue(), devOperator)
	if err != nil {
		return nil, err
	}
	p.entry, err = startEntry(entryConfig{
		listen:         c.listen,
		operatorListen: c.operatorListen,
		linkListen:     "127.0.0.1:0",
		dataCentre:     devDataCentre,
		drainTimeout:   30 * time.Second,
		clients:        c.clients,
		machine:        c.machine,

		catalogueInterval: propagator.PollInterval,
		tableClient:       tableclient.DefaultConfig(),
		jobs: func(ctx context.Context, rows table.Table, catalogues jobsapi.Catalogues) (jobInterfaces, error) {
			return startDevJobs(ctx, rows, catalogues, logs)
		},
	}, client.DefaultConfig(), rows, logs)
	if err != nil {
		return nil, err
	}
	for range devUpstreams {
		if err := p.addUpstream(logs); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *devProcess) addUpstream(logs *logging.Factory) error {
	sample, err := startSampleEcho("127.0.0.1:0", logs)
	if err != nil {
		return err
	}
	p.echoes = append(p.echoes, sample)
	process, err := startSidecar(sidecarConfig{
		listen:       "127.0.0.1:0",
		adminListen:  "127.0.0.1:0",
		upstream:     sample.address.String(),
		healthPath:   "/healthz",
		service:      devService,
		entries:      p.entry.linkAddress.String(),
		dataCentre:   devDataCentre,
		drainTimeout: 30 * time.Second,
		intake:       p.entry.intake,
	}, server.DefaultConfig(), logs)
	if err != nil {
		return err
	}
	p.sidecars = append(p.sidecars, process)
	return nil
}

// waitServing waits until the entry is ready and has a serving instance for
// every sidecar, or until ctx ends.
func (p *devProcess) waitServing(ctx context.Context) error {
	ticker := time.NewTicker(devPollInterval)
	defer ticker.Stop()
	for !p.entry.readiness.Ready() || len(p.entry.members.View().Serving(devService)) < len(p.sidecars) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

const devPollInterval = 10 * time.Millisecond

// stop stops the entry first, so that no request in flight is cut off, then the
// sidecars and the upstreams. It returns the first error.
func (p *devProcess) stop() error {
	err := p.entry.stop()
	for _, s := range p.sidecars {
		if stopErr := s.stop(); err == nil {
			err = stopErr
		}
	}
	for _, sample := range p.echoes {
		if stopErr := sample.stop(0); err == nil {
			err = stopErr
		}
	}
	return err
}

// devCommand runs an entry, sidecars, sample upstreams and batch workers in one
// process.
func devCommand() command {
	return command{
		name:    "dev",
		summary: "run everything in one process on loopback",
		run: func(ctx context.Context, args []string, io streams) int {
			fs := newFlagSet("dev", io)
			config := registerDevFlags(fs)
			logConfig := logging.RegisterFlags(fs)
			if code, ok := parse(fs, args, io, config, logConfig); !ok {
				return code
			}
			process, err := startDev(*config, logging.NewFactory(*logConfig, io.err))
			if err != nil {
				return fail(io, err)
			}
			if err := process.waitServing(ctx); err != nil {
				return fail(io, err)
			}
			fmt.Fprintf(io.out, "ready caller=%s operator=%s\n", process.entry.callerAddress, process.entry.operatorAddress)
			<-ctx.Done()
			if err := process.stop(); err != nil {
				return fail(io, err)
			}
			return exitOK
		},
	}
}
