package main

import (
	"context"
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/jobs"
	"github.com/carobkeel/carobkeel/caller/jobsapi"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/objectstore/memory"
	"github.com/carobkeel/carobkeel/operator/httpapi"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/runner"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/worker"
	"github.com/carobkeel/carobkeel/worker/standin"
)

const (
	devShard          = scheduler.ShardID("local-0")
	devWorkers        = 2
	devRunTime        = 3 * time.Second
	devWorkerMilliCPU = 4_000
	devWorkerBytes    = 4 << 30
)

// startDevJobs runs one shard with stand-in workers and an in-memory object
// store, and returns the HTTP interfaces of jobs.
func startDevJobs(ctx context.Context, rows table.Table, catalogues jobsapi.Catalogues, logs *logging.Factory) (jobInterfaces, error) {
	started := time.Now()
	clock := func() scheduler.Instant { return scheduler.Instant(time.Since(started)) }
	self := newIncarnation()
	objects := memory.New()
	var workers []*standin.Worker
	for i := range devWorkers {
		workers = append(workers, standin.New(standin.Config{
			ID:       worker.ID(fmt.Sprintf("worker-%d", i)),
			Location: carobkeel.Location{DataCentre: devDataCentre, Rack: "rack-0"},
			Capacity: carobkeel.Resources{MilliCPU: devWorkerMilliCPU, MemoryBytes: devWorkerBytes},
			Timing:   scheduler.DefaultTiming(),
			Seed:     uint64(i) + 1,
			RunTime:  devRunTime,
			Now:      clock,
			Record:   standin.NewRecord(),
			Checkpoint: func(ref scheduler.RunRef, sequence uint64) (string, error) {
				name := store.CheckpointName(ref, sequence)
				return name, objects.Put(ctx, name, store.EncodeCheckpoint([]byte(name)))
			},
		}))
	}
	shard := runner.New(runner.Config{
		Shard:             devShard,
		Self:              scheduler.HolderID(self.String()),
		Timing:            scheduler.DefaultTiming(),
		Table:             rows,
		Objects:           objects,
		Workers:           runner.NewLocal(workers...),
		Now:               clock,
		WallClock:         time.Now,
		Seed:              1,
		RoundInterval:     runner.DefaultRoundInterval,
		HeartbeatInterval: runner.DefaultHeartbeatInterval,
		MaxBatchRows:      runner.DefaultMaxBatchRows,
		MaxPlacements:     runner.DefaultMaxPlacements,
		Metrics:           runner.NewMetrics(tally.NoopScope),
		Log:               logs.For("scheduler"),
	})
	go func() { _ = shard.Run(ctx) }()
	service, err := jobs.New(ctx, jobs.Config{
		Table:       rows,
		Incarnation: self,
		Shards:      []scheduler.ShardID{devShard},
		Delay:       jobs.DefaultDelay,
		Timeout:     jobs.DefaultTimeout,
		MaxJobs:     jobs.DefaultMaxJobs,
		MaxRequests: jobs.DefaultMaxRequests,
	})
	if err != nil {
		return jobInterfaces{}, err
	}
	return jobInterfaces{
		routes:  jobsapi.NewRouter(catalogues, service),
		explain: httpapi.NewExplainHandler(&devExplainer{catalogues: catalogues, shard: shard}),
	}, nil
}
