package client_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/client"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/memory"
)

// countingTable counts the calls that reach a table.
type countingTable struct {
	table.Table
	reads, commits atomic.Int64
}

func (c *countingTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, key)
}

func (c *countingTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	c.commits.Add(1)
	return c.Table.Commit(ctx, txn)
}

// fixture is a client of an in-memory table with injected faults.
type fixture struct {
	rows   *memory.Table
	faults *faulty.Table
	calls  *countingTable
	client *client.Client
}

func newFixture(seed uint64) *fixture {
	f := &fixture{rows: memory.New()}
	f.faults = faulty.New(f.rows, seed, clock.System{})
	f.calls = &countingTable{Table: f.faults}
	f.client = client.New(f.calls, client.DefaultConfig(), newMetrics())
	return f
}

func newMetrics() *client.Metrics { return client.NewMetrics(tally.NoopScope) }

// create writes a row on condition that it is absent.
func create(key, value string) table.Transaction {
	return table.Transaction{
		ID:         table.NewTransactionID(),
		Conditions: []table.Condition{{Key: key}},
		Writes:     []table.Write{{Key: key, Value: []byte(value)}},
	}
}

// withMarker adds a write of a row that no other transaction writes, so that the
// test sees whether the transaction took effect and, by its version, how often.
func withMarker(txn table.Transaction) table.Transaction {
	txn.Writes = append(txn.Writes, table.Write{Key: markerKey(txn)})
	return txn
}

func markerKey(txn table.Transaction) string { return "mark/" + txn.ID.String() }

// commitResult is a transaction with the outcome or error that its caller got.
type commitResult struct {
	txn     table.Transaction
	outcome table.Outcome
	err     error
}

// expectConsistent compares a result with the rows of the service.
func (f *fixture) expectConsistent(g *WithT, r commitResult) {
	mark, ran, _ := f.rows.Get(context.Background(), markerKey(r.txn))
	switch {
	case r.err == nil && r.outcome.Applied:
		g.Expect(mark.Version).To(Equal(r.outcome.Version), "applied once, as reported")
	case r.err == nil:
		g.Expect(r.outcome.Conflicts).NotTo(BeEmpty())
		g.Expect(ran).To(BeFalse(), "reported as refused")
	case errors.Is(r.err, table.ErrUnavailable):
		g.Expect(ran).To(BeFalse(), "reported as unavailable")
	default:
		g.Expect(errors.Is(r.err, table.ErrUnsettled)).To(BeTrue(), "%v", r.err)
	}
}

// runConcurrentWriters lets workers create, change and delete the same few rows.
func (f *fixture) runConcurrentWriters(workers, rounds int) []commitResult {
	var mu sync.Mutex
	var all []commitResult
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			view := f.client.For(table.PurposeClaims)
			for round := range rounds {
				txn := f.nextEdit(fmt.Sprintf("row/%d", round%3), (worker+round)%2 == 0)
				outcome, err := view.Commit(context.Background(), txn)
				mu.Lock()
				all = append(all, commitResult{txn, outcome, err})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	<-time.After(time.Hour) // all delayed effects have taken place
	synctest.Wait()
	return all
}

// nextEdit creates the row if it is absent, and otherwise deletes or changes it.
func (f *fixture) nextEdit(key string, remove bool) table.Transaction {
	row, _, _ := f.rows.Get(context.Background(), key)
	txn := create(key, "1")
	txn.Conditions[0].Version = row.Version
	txn.Writes[0].Delete = remove && row.Version != 0
	return withMarker(txn)
}

var faultMatrix = map[string]faulty.Faults{
	"none":                      {},
	"slow":                      {Delay: 300 * time.Millisecond, Jitter: 900 * time.Millisecond},
	"request lost":              {LostRequests: 0.5},
	"answer lost after effect":  {LostAnswers: 0.5},
	"effect late":               {LateEffects: 0.5, LateBy: 2 * time.Second},
	"effect after the deadline": {LateEffects: 0.7, LateBy: time.Minute},
	"conflict":                  {Conflicts: 0.5},
	"limits":                    {WritesPerSecond: 10, ReadsPerSecond: 20},
	"together": {
		Delay: 5 * time.Millisecond, Jitter: 50 * time.Millisecond, LostRequests: 0.2, LostAnswers: 0.2,
		LateEffects: 0.2, LateBy: 3 * time.Second, Conflicts: 0.2, WritesPerSecond: 100,
	},
}

func TestEveryFaultIsReportedTruly(t *testing.T) {
	for name, faults := range faultMatrix {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newFixture(seed)
					g.Expect(f.faults.Set(faults)).To(Succeed())
					results := f.runConcurrentWriters(8, 12)
					for _, r := range results {
						f.expectConsistent(g, r)
					}
					t.Log(countReports(results))
					g.Expect(results).To(HaveLen(96))
					g.Expect(results).To(ContainElement(Satisfy(func(r commitResult) bool { return r.outcome.Applied })))
				})
			})
		}
	}
}

func countReports(results []commitResult) map[string]int {
	counts := make(map[string]int)
	for _, r := range results {
		switch {
		case r.err == nil && r.outcome.Applied:
			counts["applied"]++
		case r.err == nil:
			counts["refused"]++
		case errors.Is(r.err, table.ErrUnavailable):
			counts["unavailable"]++
		default:
			counts["unsettled"]++
		}
	}
	return counts
}

func TestRepeatOfAnUnsettledTransactionResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		view := f.client.For(table.PurposeJobs)
		txn := withMarker(create("k", "1"))
		g.Expect(f.faults.Set(faulty.Faults{LostAnswers: 1})).To(Succeed())
		_, err := view.Commit(context.Background(), txn)
		g.Expect(errors.Is(err, table.ErrUnsettled)).To(BeTrue())
		g.Expect(f.faults.Set(faulty.Faults{Down: true})).To(Succeed())
		_, err = view.Commit(context.Background(), txn)
		g.Expect(errors.Is(err, table.ErrUnsettled)).To(BeTrue(), "this call sent nothing, but an earlier one did")
		g.Expect(f.faults.Set(faulty.Faults{})).To(Succeed())
		outcome, err := view.Commit(context.Background(), txn)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(outcome.Applied).To(BeTrue())
		f.expectConsistent(g, commitResult{txn, outcome, err})
	})
}

// scripted answers commits with a list of steps, and after them with the table.
type scripted struct {
	table.Table
	steps []func(context.Context, table.Transaction) (table.Outcome, error)
}

func (s *scripted) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if len(s.steps) == 0 {
		return s.Table.Commit(ctx, txn)
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(ctx, txn)
}

// The request is delayed in the network. Meanwhile another writer creates the
// row, so the retry is refused. When that writer deletes the row, the delayed
// request must not take effect although its condition holds again.
func TestDelayedRequestHasNoEffectAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := context.Background()
		rows := memory.New()
		_, err := rows.Commit(ctx, create("k", "rival"))
		g.Expect(err).NotTo(HaveOccurred())
		delay := func(context.Context, table.Transaction) (table.Outcome, error) {
			return table.Outcome{}, table.ErrUnsettled
		}
		raw := &scripted{Table: rows}
		raw.steps = append(raw.steps, delay)
		c := client.New(raw, client.DefaultConfig(), newMetrics())
		txn := create("k", "1")
		outcome, err := c.For(table.PurposeClaims).Commit(ctx, txn)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(outcome.Applied).To(BeFalse())
		g.Expect(outcome.Conflicts).To(HaveLen(1))

		synctest.Wait()
		_, ok, _ := rows.Get(ctx, table.FenceKey(txn.ID))
		g.Expect(ok).To(BeFalse(), "the fence row is removed")
		_, err = rows.Commit(ctx, table.Transaction{
			ID: table.NewTransactionID(), Writes: []table.Write{{Key: "k", Delete: true}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = rows.Commit(ctx, txn) // the delayed request arrives
		g.Expect(err).NotTo(HaveOccurred())
		_, ok, _ = rows.Get(ctx, "k")
		g.Expect(ok).To(BeFalse())
	})
}
