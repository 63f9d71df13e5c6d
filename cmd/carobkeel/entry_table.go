package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/caller/claims"
	"github.com/carobkeel/carobkeel/table"
	tableclient "github.com/carobkeel/carobkeel/table/client"
)

// fenceSweepInterval is the mean time between two sweeps of fence rows.
const fenceSweepInterval = 2 * time.Hour

// startTable puts the client with its budgets before the table service.
func (p *entryProcess) startTable(ctx context.Context, raw table.Table, config tableclient.Config, scope tally.Scope) {
	p.table = tableclient.New(raw, config, tableclient.NewMetrics(scope))
	go p.sweepFences(ctx)
}

// startClaims returns the store of claims, which share transactions.
func (p *entryProcess) startClaims(ctx context.Context) *claims.Store {
	batcher := tableclient.NewBatcher(p.table, table.PurposeJobs, tableclient.DefaultBatcherConfig())
	go batcher.Run(ctx)
	store := claims.NewStore(batcher, p.table.For(table.PurposeJobs))
	go store.RunSweeper(ctx, p.log)
	return store
}

// sweepFences removes the fence rows that processes which died have left.
func (p *entryProcess) sweepFences(ctx context.Context) {
	for {
		timer := time.NewTimer(fenceSweepInterval/2 + rand.N(fenceSweepInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if err := p.table.SweepFences(ctx); err != nil {
			p.log.Debug().Err(err).Msg("fences not swept")
		}
	}
}
