package client_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/caller/claims"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/client"
	"github.com/carobkeel/carobkeel/table/faulty"
)

// Claims of idempotency keys go through a Batcher.
var _ claims.Writer = (*client.Batcher)(nil)

// startBatcher runs a batcher until the returned function is called.
func startBatcher(c *client.Client, config client.BatcherConfig) (*client.Batcher, func()) {
	batcher := client.NewBatcher(c, table.PurposeClaims, config)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		batcher.Run(ctx)
		close(ended)
	}()
	return batcher, func() {
		cancel()
		<-ended
	}
}

func asChange(txn table.Transaction) table.Change {
	return table.Change{Conditions: txn.Conditions, Writes: txn.Writes}
}

// submitAll concurrently submits a change that creates each key.
func submitAll(batcher *client.Batcher, keys []string) []commitResult {
	results := make([]commitResult, len(keys))
	var group sync.WaitGroup
	for i, key := range keys {
		group.Go(func() {
			txn := withMarker(create(key, "1"))
			outcome, err := batcher.Submit(context.Background(), asChange(txn))
			results[i] = commitResult{txn, outcome, err}
		})
	}
	group.Wait()
	return results
}

func TestEachChangeOfABatchGetsItsOwnResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		ctx := context.Background()
		var keys []string
		for i := range 200 {
			key := fmt.Sprintf("k%d", i)
			keys = append(keys, key)
			if i%10 == 0 {
				_, err := f.rows.Commit(ctx, create(key, "taken"))
				g.Expect(err).NotTo(HaveOccurred())
			}
		}
		g.Expect(f.faults.Set(faulty.Faults{Delay: 5 * time.Millisecond})).To(Succeed())
		batcher, stop := startBatcher(f.client, client.DefaultBatcherConfig())
		defer stop()
		for i, r := range submitAll(batcher, keys) {
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.outcome.Applied).To(Equal(i%10 != 0))
			f.expectConsistent(g, r)
		}
		limits := client.DefaultBatcherConfig().Limits
		smallest := (len(keys) + limits.Changes - 1) / limits.Changes
		g.Expect(f.calls.commits.Load()).To(BeNumerically(">=", smallest))
		g.Expect(f.calls.commits.Load()).To(BeNumerically("<=", len(keys)/4))
	})
}

func TestOneOfConcurrentChangesOfARowSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		batcher, stop := startBatcher(f.client, client.DefaultBatcherConfig())
		defer stop()
		won := 0
		for _, r := range submitAll(batcher, []string{"k", "k", "k", "k", "k", "k"}) {
			f.expectConsistent(g, r)
			if r.outcome.Applied {
				won++
			}
		}
		g.Expect(won).To(Equal(1))
	})
}

func TestBatchesUnderEveryFaultAreReportedTruly(t *testing.T) {
	for name, faults := range faultMatrix {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFixture(1)
				g.Expect(f.faults.Set(faults)).To(Succeed())
				batcher, stop := startBatcher(f.client, client.DefaultBatcherConfig())
				defer stop()
				var keys []string
				for i := range 120 {
					keys = append(keys, fmt.Sprintf("k%d", i%40))
				}
				results := submitAll(batcher, keys)
				<-time.After(time.Hour) // all delayed effects have taken place
				synctest.Wait()
				for _, r := range results {
					f.expectConsistent(g, r)
				}
			})
		})
	}
}

func TestCancelledCallerLearnsWhetherItsChangeWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		g.Expect(f.faults.Set(faulty.Faults{Delay: 500 * time.Millisecond})).To(Succeed())
		config := client.DefaultBatcherConfig()
		config.Parallel = 1
		batcher, stop := startBatcher(f.client, config)
		ctx, cancel := context.WithCancel(context.Background())
		results := make(chan error, 2)
		for _, key := range []string{"sent", "waiting"} {
			go func() {
				_, err := batcher.Submit(ctx, asChange(create(key, "1")))
				results <- err
			}()
			synctest.Wait()
		}
		cancel()
		synctest.Wait()
		errs := []error{<-results, <-results}
		g.Expect(errs).To(ContainElement(Satisfy(func(err error) bool { return errors.Is(err, table.ErrUnsettled) })))
		g.Expect(errs).To(ContainElement(Satisfy(func(err error) bool { return errors.Is(err, table.ErrUnavailable) })))
		stop()
		_, ok, _ := f.rows.Get(context.Background(), "waiting")
		g.Expect(ok).To(BeFalse())
	})
}

func TestBatcherRefusesChangesWhenFullOrStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		config := client.DefaultBatcherConfig()
		config.MaxPending = 0
		full, stopFull := startBatcher(f.client, config)
		_, err := full.Submit(context.Background(), asChange(create("k", "1")))
		g.Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue())
		stopFull()
		batcher, stop := startBatcher(f.client, client.DefaultBatcherConfig())
		stop()
		_, err = batcher.Submit(context.Background(), asChange(create("k", "1")))
		g.Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue())
	})
}

func TestBatcherWithoutBudgetSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		batcher := client.NewBatcher(f.client, table.PurposeStatus, client.DefaultBatcherConfig())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go batcher.Run(ctx)
		_, err := batcher.Submit(ctx, asChange(create("k", "1")))
		g.Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue())
		g.Expect(f.calls.commits.Load()).To(BeZero())
	})
}
