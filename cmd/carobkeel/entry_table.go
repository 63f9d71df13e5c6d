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

// fenceSweepInterval is the mean interval between two sweeps of fence rows.
const fenceSweepInterval = 2 * time.Hour

// startTable wraps the table service in the client that enforces budgets.
func (p *entryProcess) startTable(ctx context.Context, raw table.Table, config tableclient.Config, scope tally.Scope) {
	p.table = tableclient.New(raw, config, tableclient.NewMetrics(scope))
	go p.sweepFences(ctx)
}

// startClaims returns the store of claims. It batches claims into shared
// transactions.
func (p *entryProcess) startClaims(ctx context.Context) *claims.Store {
	batcher := tableclient.NewBatcher(p.table, table.PurposeJobs, tableclient.DefaultBatcherConfig())
	go batcher.Run(ctx)
	store := claims.NewStore(batcher, p.table.For(table.PurposeJobs))
	go store.RunSweeper(ctx, p.log)
	return store
}

// sweepFences periodically removes fence rows left behind by crashed processes.
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
			p.log.Debug().Err(err).Msg("sweep of fence rows failed")
		}
	}
}
