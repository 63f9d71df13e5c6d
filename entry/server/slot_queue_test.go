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

// startSlotQueue runs a slotQueue until the end of the test.
func startSlotQueue(t *testing.T, slots, queue int) *slotQueue {
	t.Helper()
	q := newSlotQueue(slots, queue)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go q.run(ctx)
	return q
}

func (q *slotQueue) newWaiting(owner carobkeel.Owner, class carobkeel.Class, timeout time.Duration) entry.QueuedRequest {
	share := q.slots.Share(carobkeel.OwnerClass{Owner: owner, Class: class}, carobkeel.ShareLimits{})
	return entry.QueuedRequest{Share: share, Deadline: time.Now().Add(timeout)}
}

// acquireUncancelled takes a slot with a context that never ends. It returns nil
// if the slot was granted.
func (q *slotQueue) acquireUncancelled(w entry.QueuedRequest) *carobkeel.Error {
	_, refusal := q.acquire(context.Background(), w)
	return refusal
}

func TestSlotQueueNeverRunsMoreThanItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		queue := startSlotQueue(t, 3, 8)
		var running, highest, ran, refused atomic.Int64
		var group sync.WaitGroup
		const callers, rounds = 24, 20
		for i := range callers {
			group.Go(func() {
				for range rounds {
					w := queue.newWaiting("a", carobkeel.Class(i%2), 40*time.Millisecond)
					ctx, cancel := context.WithDeadline(context.Background(), w.Deadline)
					_, refusal := queue.acquire(ctx, w)
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
					queue.release(w.Share, time.Millisecond)
				}
			})
		}
		group.Wait()
		synctest.Wait()
		g.Expect(highest.Load()).To(BeNumerically("<=", 3))
		g.Expect(ran.Load() + refused.Load()).To(Equal(int64(callers * rounds)))
		g.Expect(refused.Load()).To(BeNumerically(">", 0))
		load := queue.load()
		g.Expect([]int{load.Running, load.Queued, load.UrgentQueued}).To(Equal([]int{0, 0, 0}))
	})
}

func TestSlotQueueGivesAbandonedPlacesToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		queue := startSlotQueue(t, 1, 1)
		first := queue.newWaiting("a", carobkeel.ClassBatch, time.Second)
		g.Expect(queue.acquireUncancelled(first)).To(BeNil())
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan *carobkeel.Error, 1)
		go func() {
			_, refusal := queue.acquire(ctx, queue.newWaiting("a", carobkeel.ClassBatch, time.Second))
			gone <- refusal
		}()
		synctest.Wait()
		g.Expect(queue.load().Queued).To(Equal(1))
		cancel()
		g.Expect((<-gone).Code).To(Equal(carobkeel.CodeTimeoutNotRun))
		granted := make(chan *carobkeel.Error, 1)
		go func() {
			granted <- queue.acquireUncancelled(queue.newWaiting("a", carobkeel.ClassBatch, time.Second))
		}()
		synctest.Wait()
		queue.release(first.Share, time.Millisecond)
		g.Expect(<-granted).To(BeNil())
	})
}

func TestSlotQueueGrantsNothingAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		queue := startSlotQueue(t, 1, 4)
		first := queue.newWaiting("a", carobkeel.ClassBatch, time.Second)
		g.Expect(queue.acquireUncancelled(first)).To(BeNil())
		// The context outlasts the deadline, so only the queue can refuse the
		// request.
		late := make(chan *carobkeel.Error, 1)
		go func() {
			late <- queue.acquireUncancelled(queue.newWaiting("a", carobkeel.ClassBatch, 50*time.Millisecond))
		}()
		<-time.After(60 * time.Millisecond)
		queue.release(first.Share, 0)
		g.Expect((<-late).Code).To(Equal(carobkeel.CodeTimeoutNotRun))
		synctest.Wait()
		g.Expect(queue.load().Running).To(BeZero())
	})
}

func TestSlotQueueCountsAndPrefersUrgentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		queue := startSlotQueue(t, 1, 8)
		first := queue.newWaiting("a", carobkeel.ClassBatch, time.Second)
		g.Expect(queue.acquireUncancelled(first)).To(BeNil())
		order := make(chan carobkeel.Class, 3)
		for _, class := range []carobkeel.Class{carobkeel.ClassBatch, carobkeel.ClassBatch, carobkeel.ClassLatencyCritical} {
			go func() {
				w := queue.newWaiting("a", class, time.Second)
				if queue.acquireUncancelled(w) == nil {
					order <- class
					queue.release(w.Share, time.Millisecond)
				}
			}()
			synctest.Wait()
		}
		load := queue.load()
		g.Expect([]int{load.Running, load.Queued, load.UrgentQueued}).To(Equal([]int{1, 3, 1}))
		queue.release(first.Share, time.Millisecond)
		g.Expect([]carobkeel.Class{<-order, <-order, <-order}).To(Equal([]carobkeel.Class{
			carobkeel.ClassLatencyCritical, carobkeel.ClassBatch, carobkeel.ClassBatch,
		}))
	})
}
