package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/caller/claims"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/operator/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// storeRounds is the number of operations that the calls of one are counted
// from.
const storeRounds = 100

// storeSuite counts the calls to the table service that one operation makes. A
// transaction counts as one write, however many rows it holds.
func storeSuite() suite {
	return suite{name: "store", run: func(ctx context.Context, _ options) ([]figure, error) {
		edits, err := countEdits(ctx)
		if err != nil {
			return nil, err
		}
		polls, err := countPolls(ctx)
		if err != nil {
			return nil, err
		}
		keyed, err := countKeyed(ctx)
		if err != nil {
			return nil, err
		}
		return []figure{
			measured("writes-per-change", edits.writesEach(), "writes"),
			measured("reads-per-change", edits.readsEach(), "reads"),
			measured("reads-per-poll", polls.readsEach(), "reads"),
			measured("writes-per-keyed-request", keyed.writesEach(), "writes"),
			measured("reads-per-keyed-request", keyed.readsEach(), "reads"),
		}, nil
	}}
}

// countingTable counts the calls that reach a table service.
type countingTable struct {
	table.Table
	reads, writes atomic.Int64
}

func newCountingTable() *countingTable { return &countingTable{Table: memory.New()} }

// Get implements table.Table.
func (t *countingTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	t.reads.Add(1)
	return t.Table.Get(ctx, key)
}

// Range implements table.Table.
func (t *countingTable) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	t.reads.Add(1)
	return t.Table.Range(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (t *countingTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	t.writes.Add(1)
	return t.Table.Commit(ctx, txn)
}

// reset forgets the calls so far, those of the preparation.
func (t *countingTable) reset() {
	t.reads.Store(0)
	t.writes.Store(0)
}

func (t *countingTable) readsEach() float64  { return float64(t.reads.Load()) / storeRounds }
func (t *countingTable) writesEach() float64 { return float64(t.writes.Load()) / storeRounds }

// edit sets the concurrency of one entry.
func edit(number int) operator.Edit {
	return operator.Edit{By: "benchmark", Items: []operator.EditItem{{
		Kind: operator.KindEntry, Name: "dispatch",
		Entry: &carobkeel.Entry{
			Name: "dispatch", Owner: "msaada", Class: carobkeel.ClassLatencyCritical,
			Limits: carobkeel.Limits{Timeout: time.Second, Concurrency: 8 + number%2, Queue: 64, BodyBytes: 1 << 20},
		},
	}, {
		Kind: operator.KindOwner, Name: "msaada",
		Quota: &carobkeel.Quota{Owner: "msaada", Weight: 1},
	}}}
}

// countEdits counts the calls of edits by one process.
func countEdits(ctx context.Context) (*countingTable, error) {
	rows := newCountingTable()
	catalogue := store.New(store.Config{Table: rows})
	if _, err := catalogue.Edit(ctx, edit(-1)); err != nil {
		return nil, err
	}
	rows.reset()
	for i := range storeRounds {
		if _, err := catalogue.Edit(ctx, edit(i)); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// countPolls counts the calls of looks for news where there are none.
func countPolls(ctx context.Context) (*countingTable, error) {
	rows := newCountingTable()
	catalogue := store.New(store.Config{Table: rows})
	if _, err := catalogue.Edit(ctx, edit(0)); err != nil {
		return nil, err
	}
	rows.reset()
	for range storeRounds {
		if _, err := catalogue.Load(ctx); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// countKeyed counts the calls of requests with an idempotency key: the claim
// before the run and the answer after it.
func countKeyed(ctx context.Context) (*countingTable, error) {
	rows := newCountingTable()
	keys := claims.NewStore(claims.DirectWriter{Table: rows}, rows)
	for i := range storeRounds {
		request := &caller.Request{Service: "dispatch", Owner: "msaada", Key: fmt.Sprintf("key-%d", i)}
		held, err := keys.Create(ctx, request, &caller.Claim{CreatedAt: time.Unix(0, 0)})
		if err != nil {
			return nil, err
		}
		if err := keys.Complete(ctx, held, &caller.StoredAnswer{Status: 200}); err != nil {
			return nil, err
		}
	}
	return rows, nil
}
