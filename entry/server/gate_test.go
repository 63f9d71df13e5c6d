package server

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
)

// startGate runs a gate until the test's end.
func startGate(t *testing.T, slots, queue int) *gate {
	t.Helper()
	g := newGate(slots, queue)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.run(ctx)
	return g
}

func (g *gate) waiting(owner carobkeel.Owner, class carobkeel.Class, timeout time.Duration) entry.Waiting {
	share := g.slots.Share(carobkeel.OwnerClass{Owner: owner, Class: class}, carobkeel.ShareLimits{})
	return entry.Waiting{Share: share, Deadline: time.Now().Add(timeout)}
}

// refusal enters the gate with a caller that never goes away.
func (g *gate) refusal(w entry.Waiting) *carobkeel.Error {
	_, refusal := g.enter(context.Background(), w)
	return refusal
}

func TestGateNeverRunsMoreThanItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := startGate(t, 3, 8)
		var running, highest, ran, refused atomic.Int64
		var group sync.WaitGroup
		const callers, rounds = 24, 20
		for i := range callers {
			group.Go(func() {
				for range rounds {
					w := gate.waiting("a", carobkeel.Class(i%2), 40*time.Millisecond)
					ctx, cancel := context.WithDeadline(context.Background(), w.Deadline)
					_, refusal := gate.enter(ctx, w)
					cancel()
					if refusal != nil {
						g.Expect(refusal.Ran).To(Equal(carobkeel.RanNo))
						refused.Add(1)
						<-time.After(time.Millisecond)
						continue
					}
					if now := running.Add(1); now > highest.Load() {
						highest.Store(now)
					}
					<-time.After(time.Duration(1+i%7) * time.Millisecond)
					running.Add(-1)
					ran.Add(1)
					gate.leave(w.Share, time.Millisecond)
				}
			})
		}
		group.Wait()
		synctest.Wait()
		g.Expect(highest.Load()).To(BeNumerically("<=", 3))
		g.Expect(ran.Load() + refused.Load()).To(Equal(int64(callers * rounds)))
		g.Expect(refused.Load()).To(BeNumerically(">", 0))
		load := gate.load()
		g.Expect([]int{load.Running, load.Queued, load.UrgentQueued}).To(Equal([]int{0, 0, 0}))
	})
}

func TestGateGivesAbandonedPlacesToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := startGate(t, 1, 1)
		first := gate.waiting("a", carobkeel.ClassBatch, time.Second)
		g.Expect(gate.refusal(first)).To(BeNil())
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan *carobkeel.Error, 1)
		go func() {
			_, refusal := gate.enter(ctx, gate.waiting("a", carobkeel.ClassBatch, time.Second))
			gone <- refusal
		}()
		synctest.Wait()
		g.Expect(gate.load().Queued).To(Equal(1))
		cancel()
		g.Expect((<-gone).Code).To(Equal(carobkeel.CodeTimeoutNotRun))
		granted := make(chan *carobkeel.Error, 1)
		go func() {
			granted <- gate.refusal(gate.waiting("a", carobkeel.ClassBatch, time.Second))
		}()
		synctest.Wait()
		gate.leave(first.Share, time.Millisecond)
		g.Expect(<-granted).To(BeNil())
	})
}

func TestGateGrantsNothingAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := startGate(t, 1, 4)
		first := gate.waiting("a", carobkeel.ClassBatch, time.Second)
		g.Expect(gate.refusal(first)).To(BeNil())
		// The caller's own context lives on, as that of a slow reader does.
		late := make(chan *carobkeel.Error, 1)
		go func() {
			late <- gate.refusal(gate.waiting("a", carobkeel.ClassBatch, 50*time.Millisecond))
		}()
		<-time.After(60 * time.Millisecond)
		gate.leave(first.Share, 0)
		g.Expect((<-late).Code).To(Equal(carobkeel.CodeTimeoutNotRun))
		synctest.Wait()
		g.Expect(gate.load().Running).To(BeZero())
	})
}

func TestGateTellsUrgentRequestsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := startGate(t, 1, 8)
		first := gate.waiting("a", carobkeel.ClassBatch, time.Second)
		g.Expect(gate.refusal(first)).To(BeNil())
		order := make(chan carobkeel.Class, 3)
		for _, class := range []carobkeel.Class{carobkeel.ClassBatch, carobkeel.ClassBatch, carobkeel.ClassLatencyCritical} {
			go func() {
				w := gate.waiting("a", class, time.Second)
				if gate.refusal(w) == nil {
					order <- class
					gate.leave(w.Share, time.Millisecond)
				}
			}()
			synctest.Wait()
		}
		load := gate.load()
		g.Expect([]int{load.Running, load.Queued, load.UrgentQueued}).To(Equal([]int{1, 3, 1}))
		gate.leave(first.Share, time.Millisecond)
		g.Expect([]carobkeel.Class{<-order, <-order, <-order}).To(Equal([]carobkeel.Class{
			carobkeel.ClassLatencyCritical, carobkeel.ClassBatch, carobkeel.ClassBatch,
		}))
	})
}
