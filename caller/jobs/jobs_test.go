package jobs

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

const shard = scheduler.ShardID("east-1")

var sample = &carobkeel.Entry{
	Name: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: carobkeel.Resources{MilliCPU: 1000},
}

// counted counts the transactions, and loses the answers to the first lose of them.
type counted struct {
	*memory.Table
	commits atomic.Int64
	lose    int64
	down    bool
}

func (c *counted) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if c.down {
		return table.Outcome{}, table.ErrUnavailable
	}
	n := c.commits.Add(1)
	outcome, err := c.Table.Commit(ctx, txn)
	if n <= c.lose {
		return table.Outcome{}, table.ErrUnsettled
	}
	return outcome, err
}

func newService(t *testing.T, rows table.Table) *Service {
	t.Helper()
	service, err := New(t.Context(), Config{
		Table: rows, Incarnation: 1, Shards: []scheduler.ShardID{shard}, Delay: DefaultDelay, Timeout: DefaultTimeout,
		MaxJobs: DefaultMaxJobs, MaxRequests: DefaultMaxRequests,
	})
	if err != nil {
		t.Fatal(err)
	}
	return service
}

func TestSubmitIsDurableOnceThoughAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows := &counted{Table: memory.New(), lose: 2}
		service := newService(t, rows)
		job, err := service.Submit(t.Context(), sample)
		g.Expect(err).NotTo(HaveOccurred())
		found, err := service.Get(t.Context(), job.ID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.State).To(Equal(scheduler.StateQueued))
		jobs, err := store.New(rows, shard).Jobs(t.Context(), "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(jobs).To(HaveLen(1))
	})
}

func TestSubmitSaysThatTheStoreDidNotTakeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := newService(t, &counted{Table: memory.New(), down: true})
		_, err := service.Submit(t.Context(), sample)
		g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeStoreUnavailable))
		g.Expect(carobkeel.AsError(err).Ran).To(Equal(carobkeel.RanNo))
	})
}

func TestSubmitTakesBatchTasksOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		service := newService(t, memory.New())
		entry := *sample
		entry.Class = carobkeel.ClassLatencyCritical
		_, err := service.Submit(t.Context(), &entry)
		g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeInvalidRequest))
		_, err = service.Get(t.Context(), "east-1.none")
		g.Expect(carobkeel.CodeOf(err)).To(Equal(carobkeel.CodeUnknownJob))
		g.Expect(carobkeel.CodeOf(service.Cancel(t.Context(), "none"))).To(Equal(carobkeel.CodeUnknownJob))
	})
}

func TestBurstOfCancellationsSharesTransactions(t *testing.T) {
	const count = 10_000
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rows := &counted{Table: memory.New()}
		service := newService(t, rows)
		var done sync.WaitGroup
		var failed atomic.Int64
		for i := range count {
			done.Go(func() {
				id := scheduler.NewJobID(shard, fmt.Sprint(i))
				for service.Cancel(t.Context(), id) != nil {
					failed.Add(1)
					<-time.After(DefaultDelay)
				}
			})
		}
		done.Wait()
		messages, err := store.New(rows, shard).Inbox(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		cancelled := 0
		for _, message := range messages {
			cancelled += len(message.Cancelled)
		}
		g.Expect(cancelled).To(Equal(count))
		t.Logf("%d transactions, %d refused at first", rows.commits.Load(), failed.Load())
		g.Expect(rows.commits.Load()).To(BeNumerically("<=", count/100))
	})
}
