package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/client"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/httptable"
	"github.com/carobkeel/carobkeel/table/memory"
)

const (
	// startsPerSecond is the peak of task starts that the design is for. Each
	// start is one claim.
	startsPerSecond = 2_200
	claimTime       = 5 * time.Second
	claimants       = 2_048
	claimTick       = 5 * time.Millisecond
	tableDelay      = 5 * time.Millisecond
	readTime        = 2 * time.Second
	readWorkers     = 64
	readKeys        = 4
	settleRounds    = 100
	// microsecondsPerMillisecond turns histogram values into figures.
	microsecondsPerMillisecond = 1000
)

// tableSuite measures the client of the table service against one over HTTP on
// loopback that takes 300 transactions and 2,000 reads a second, 5 ms away.
func tableSuite() suite {
	return suite{name: "table", run: func(ctx context.Context, o options) ([]figure, error) {
		service, stop, err := startTableService(o.seed)
		if err != nil {
			return nil, err
		}
		defer stop()
		figures, err := measureClaims(ctx, service)
		if err != nil {
			return figures, err
		}
		figures = append(figures, measureReads(ctx, service)...)
		settling, err := measureSettling(ctx, service)
		return append(figures, settling...), err
	}}
}

func startTableService(seed uint64) (table.Table, func(), error) {
	rows := faulty.New(memory.New(), seed, clock.System{})
	limits := faulty.Faults{
		Delay:           tableDelay,
		WritesPerSecond: table.ServiceWritesPerSecond,
		ReadsPerSecond:  table.ServiceReadsPerSecond,
	}
	if err := rows.Set(limits); err != nil {
		return nil, nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	server := &http.Server{Handler: httptable.NewHandler(rows), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	stop := func() { _ = server.Close() }
	return httptable.NewClient(listener.Addr().String(), nil), stop, nil
}

// callCounter counts the calls that reach the service.
type callCounter struct {
	table.Table
	commits, reads atomic.Int64
}

func (c *callCounter) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	c.commits.Add(1)
	return c.Table.Commit(ctx, txn)
}

func (c *callCounter) Get(ctx context.Context, key string) (table.Row, bool, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, key)
}

func newTableClient(raw table.Table) *client.Client {
	return client.New(raw, client.DefaultConfig(), client.NewMetrics(tally.NoopScope))
}

func newClaim(key string) table.Change {
	return table.Change{
		Conditions: []table.Condition{{Key: key}},
		Writes:     []table.Write{{Key: key, Value: make([]byte, 64)}},
	}
}

// claimLoad submits claims and notes how long each took.
type claimLoad struct {
	batcher  *client.Batcher
	calls    *callCounter
	prefix   string
	group    sync.WaitGroup
	mu       sync.Mutex
	delays   *hdrhistogram.Histogram
	failures int
}

func newClaimLoad(ctx context.Context, service table.Table, prefix string) *claimLoad {
	calls := &callCounter{Table: service}
	load := &claimLoad{
		batcher: client.NewBatcher(newTableClient(calls), table.PurposeClaims, client.DefaultBatcherConfig()),
		calls:   calls,
		prefix:  prefix,
		delays:  hdrhistogram.New(1, microsecondsPerMinute, 3),
	}
	go load.batcher.Run(ctx)
	return load
}

// claim submits one claim that was due at the given time.
func (l *claimLoad) claim(ctx context.Context, number int64, due time.Time) {
	outcome, err := l.batcher.Submit(ctx, newClaim(fmt.Sprintf("%s/%d", l.prefix, number)))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || !outcome.Applied {
		l.failures++
		return
	}
	_ = l.delays.RecordValue(time.Since(due).Microseconds())
}

// open offers claims at the peak of task starts, whether or not earlier ones
// have been answered.
func (l *claimLoad) open(ctx context.Context) {
	begin := time.Now()
	ticker := time.NewTicker(claimTick)
	defer ticker.Stop()
	sent := 0
	for now := begin; now.Sub(begin) < claimTime; now = <-ticker.C {
		for due := int(now.Sub(begin).Seconds() * startsPerSecond); sent < due; sent++ {
			number := int64(sent)
			l.group.Go(func() { l.claim(ctx, number, now) })
		}
	}
	l.group.Wait()
}

// closed lets claimants submit one claim after the other.
func (l *claimLoad) closed(ctx context.Context) {
	end := time.Now().Add(claimTime)
	var numbers atomic.Int64
	for range claimants {
		l.group.Go(func() {
			for now := time.Now(); now.Before(end); now = time.Now() {
				l.claim(ctx, numbers.Add(1), now)
			}
		})
	}
	l.group.Wait()
}

func (l *claimLoad) check() error {
	if l.failures > 0 {
		return errors.Errorf("%s: %d claims failed, %d done", l.prefix, l.failures, l.delays.TotalCount())
	}
	return nil
}

// measureClaims finds what the budget of claims carries, and what a claim waits
// at the peak of task starts.
func measureClaims(ctx context.Context, service table.Table) ([]figure, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peak := newClaimLoad(ctx, service, "claim")
	peak.open(ctx)
	if err := peak.check(); err != nil {
		return nil, err
	}
	most := newClaimLoad(ctx, service, "most")
	begin := time.Now()
	most.closed(ctx)
	took := time.Since(begin).Seconds()
	if err := most.check(); err != nil {
		return nil, err
	}
	return []figure{
		measured("claims-per-transaction-at-peak", float64(peak.delays.TotalCount())/float64(peak.calls.commits.Load()), "1"),
		measured("claim-delay-at-peak-p50", milliseconds(peak.delays, 50), "ms"),
		measured("claim-delay-at-peak-p99", milliseconds(peak.delays, 99), "ms"),
		targeted("claims-per-second-at-most", float64(most.delays.TotalCount())/took, "1/s", atLeast, startsPerSecond),
		measured("transactions-per-second-at-most", float64(most.calls.commits.Load())/took, "1/s"),
		measured("claims-per-transaction-at-most", float64(most.delays.TotalCount())/float64(most.calls.commits.Load()), "1"),
	}, nil
}

func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / microsecondsPerMillisecond
}

// measureReads lets workers read the same few rows again and again.
func measureReads(ctx context.Context, service table.Table) []figure {
	calls := &callCounter{Table: service}
	view := newTableClient(calls).For(table.PurposeCatalogue)
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	var reads atomic.Int64
	var group sync.WaitGroup
	for worker := range readWorkers {
		group.Go(func() {
			key := fmt.Sprintf("claim/%d", worker%readKeys)
			for ctx.Err() == nil {
				if _, _, err := view.Get(ctx, key); err == nil {
					reads.Add(1)
				}
			}
		})
	}
	group.Wait()
	return []figure{
		measured("reads-per-call", float64(reads.Load())/float64(calls.reads.Load()), "1"),
		measured("read-calls-per-second", float64(calls.reads.Load())/readTime.Seconds(), "1/s"),
	}
}

// firstAnswerLost fails the first commit of each id, after its effect or in
// place of it.
type firstAnswerLost struct {
	table.Table
	withEffect bool
	seen       sync.Map
}

func (f *firstAnswerLost) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if _, repeated := f.seen.LoadOrStore(txn.ID, true); repeated || len(txn.Conditions) == 0 {
		return f.Table.Commit(ctx, txn)
	}
	if f.withEffect {
		if _, err := f.Table.Commit(ctx, txn); err != nil {
			return table.Outcome{}, err
		}
	}
	return table.Outcome{}, table.ErrUnsettled
}

// measureSettling times transactions whose first answer is lost with its
// connection: one that took effect and is found by the repeat, and one that is
// refused and needs a fence.
func measureSettling(ctx context.Context, service table.Table) ([]figure, error) {
	var figures []figure
	for _, c := range []struct {
		name   string
		effect bool
	}{{"settle-by-repeat", true}, {"settle-by-fence", false}} {
		times := hdrhistogram.New(1, microsecondsPerMinute, 3)
		raw := &firstAnswerLost{Table: service, withEffect: c.effect}
		for round := range settleRounds {
			key := "claim/0" // taken by the claims, so that creating it is refused
			if c.effect {
				key = fmt.Sprintf("settle/%d", round)
			}
			claim := newClaim(key)
			txn := table.Transaction{ID: table.NewTransactionID(), Conditions: claim.Conditions, Writes: claim.Writes}
			begin := time.Now()
			outcome, err := newTableClient(raw).For(table.PurposeClaims).Commit(ctx, txn)
			if err != nil || outcome.Applied != c.effect {
				return figures, errors.Errorf("%s: %+v, %v", c.name, outcome, err)
			}
			_ = times.RecordValue(time.Since(begin).Microseconds())
		}
		figures = append(figures,
			measured(c.name+"-p50", milliseconds(times, 50), "ms"),
			measured(c.name+"-p99", milliseconds(times, 99), "ms"))
	}
	return figures, nil
}
