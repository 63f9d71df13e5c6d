package client_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/client"
	"github.com/carobkeel/carobkeel/table/faulty"
)

func TestOutageOpensTheBreakerAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		view := f.client.For(table.PurposeClaims)
		g.Expect(f.faults.Set(faulty.Faults{Down: true})).To(Succeed())
		const outage = time.Minute
		begin := time.Now()
		for time.Since(begin) < outage {
			_, err := view.Commit(context.Background(), create("k", "1"))
			g.Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue())
		}
		config := client.DefaultConfig()
		probes := int64(time.Since(begin)/config.BreakerTimeout) + int64(config.BreakerFailures)
		g.Expect(f.calls.commits.Load()).To(BeNumerically("<=", probes), "one call for each time that the breaker is open")

		g.Expect(f.faults.Set(faulty.Faults{})).To(Succeed())
		outcome, err := view.Commit(context.Background(), create("k", "1"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(outcome.Applied).To(BeTrue())
	})
}

func TestEqualReadsShareACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		g.Expect(f.faults.Set(faulty.Faults{Delay: 10 * time.Millisecond})).To(Succeed())
		view := f.client.For(table.PurposeCatalogue)
		var group sync.WaitGroup
		for range 100 {
			group.Go(func() {
				_, _, err := view.Get(context.Background(), "k")
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
		group.Wait()
		g.Expect(f.calls.reads.Load()).To(BeEquivalentTo(1))
	})
}

func TestReadDoesNotJoinOneStartedBeforeOwnWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		view := f.client.For(table.PurposeCatalogue)
		stale := &slowRead{Table: f.rows, release: make(chan struct{})}
		f.calls.Table = stale
		go func() { _, _, _ = view.Get(context.Background(), "k") }()
		synctest.Wait()
		_, err := view.Commit(context.Background(), create("k", "1"))
		g.Expect(err).NotTo(HaveOccurred())
		_, ok, err := view.Get(context.Background(), "k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ok).To(BeTrue())
		close(stale.release)
		synctest.Wait()
	})
}

// slowRead blocks the first read until release is closed.
type slowRead struct {
	table.Table
	reads   atomic.Int64
	release chan struct{}
}

func (s *slowRead) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if s.reads.Add(1) == 1 {
		<-s.release
		return table.Row{}, false, nil
	}
	return s.Table.Get(ctx, key)
}

func TestSharedReadContinuesAfterItsFirstCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		g.Expect(f.faults.Set(faulty.Faults{Delay: 100 * time.Millisecond})).To(Succeed())
		view := f.client.For(table.PurposeCatalogue)
		ctx, cancel := context.WithCancel(context.Background())
		first := make(chan error, 1)
		go func() {
			_, _, err := view.Get(ctx, "k")
			first <- err
		}()
		synctest.Wait()
		second := make(chan error, 1)
		go func() {
			_, _, err := view.Get(context.Background(), "k")
			second <- err
		}()
		synctest.Wait()
		cancel()
		g.Expect(errors.Is(<-first, table.ErrUnavailable)).To(BeTrue())
		g.Expect(<-second).To(Succeed())
		g.Expect(f.calls.reads.Load()).To(BeEquivalentTo(1))
	})
}

func TestBudgetBoundsTheCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		view := f.client.For(table.PurposeStops)
		const seconds = 10
		ctx, cancel := context.WithTimeout(context.Background(), seconds*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				for ctx.Err() == nil {
					_, _ = view.Commit(ctx, create("k", "1"))
				}
			})
		}
		group.Wait()
		perSecond := table.PurposeStops.Budget().Writes
		g.Expect(f.calls.commits.Load()).To(BeNumerically("<=", perSecond*(seconds+1)))
		g.Expect(f.calls.commits.Load()).To(BeNumerically(">=", perSecond*seconds))
		_, err := f.client.For(table.PurposeStatus).Commit(context.Background(), create("k", "1"))
		g.Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue(), "a purpose without writes")
	})
}
