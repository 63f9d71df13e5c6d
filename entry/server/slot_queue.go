package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/internal/mailbox"
	"github.com/carobkeel/carobkeel/sidecar"
)

// slotQueue assigns the upstream's slots to requests. A request that finds a free
// slot and no other request waiting takes the slot with atomic operations alone.
// Otherwise one goroutine orders the waiting requests, each of which blocks on a
// channel of its own.
type slotQueue struct {
	slots *entry.Slots
	// queued counts the waiters without an outcome. urgent counts the
	// latency-critical ones in the queue, as of the last pass of run.
	queued atomic.Int64
	urgent atomic.Int64
	events *mailbox.Mailbox[slotEvent]
	// limiter and queue are used only by the goroutine of run.
	limiter *entry.Limiter
	queue   *entry.Queue[*waiter]
}

// slotEvent reports a new waiter, or one that stopped waiting if abandoned is
// set. A nil waiter reports a released slot.
type slotEvent struct {
	waiter    *waiter
	abandoned bool
}

// States of a waiter.
const (
	waiterWaiting int32 = iota
	waiterGranted
	waiterRefused
	waiterAbandoned
)

type waiter struct {
	entry.QueuedRequest
	state atomic.Int32
	// resolved is closed when the waiter has been granted a slot or refused.
	resolved chan struct{}
	// refusal is set before settled is closed.
	refusal *carobkeel.Error
	// item is the waiter's item in the queue. Only the goroutine of run uses
	// it.
	item *entry.Item[*waiter]
}

func newSlotQueue(slots, queue int) *slotQueue {
	q := &slotQueue{
		slots:   entry.NewSlots(slots),
		events:  mailbox.New[slotEvent](),
		limiter: entry.NewLimiter(slots),
	}
	q.queue = entry.NewQueue(q.slots, queue, q.refuse)
	return q
}

// load returns the numbers of running and waiting requests and the limit.
func (q *slotQueue) load() sidecar.Load {
	return sidecar.Load{
		Running:      q.slots.Running(),
		Queued:       int(q.queued.Load()),
		UrgentQueued: int(q.urgent.Load()),
		Limit:        q.slots.Limit(),
	}
}

// acquire takes a slot, waiting for one until ctx ends. It returns how long it
// waited.
func (q *slotQueue) acquire(ctx context.Context, w entry.QueuedRequest) (time.Duration, *carobkeel.Error) {
	if q.queued.Load() == 0 && q.slots.TryAcquire(w.Share) {
		return 0, nil
	}
	arrived := time.Now()
	refusal := q.wait(ctx, w)
	return time.Since(arrived), refusal
}

// wait blocks until there is a slot for the request or ctx ends.
func (q *slotQueue) wait(ctx context.Context, w entry.QueuedRequest) *carobkeel.Error {
	q.queued.Add(1)
	self := &waiter{QueuedRequest: w, resolved: make(chan struct{})}
	q.events.Push(slotEvent{waiter: self})
	select {
	case <-self.resolved:
		return self.refusal
	case <-ctx.Done():
	}
	if !self.state.CompareAndSwap(waiterWaiting, waiterAbandoned) {
		<-self.resolved // granted or refused just as ctx ended
		return self.refusal
	}
	q.queued.Add(-1)
	q.events.Push(slotEvent{waiter: self, abandoned: true})
	return carobkeel.NewError(carobkeel.CodeTimeoutNotRun, "the request waited for a slot until its time ran out")
}

// release releases a slot of the share. service is how long the upstream took, as
// in entry.Slots.Release.
func (q *slotQueue) release(share *entry.Share, service time.Duration) {
	q.slots.Release(share, service)
	if q.queued.Load() > 0 {
		q.events.Push(slotEvent{})
	}
}

// run orders the waiting requests until ctx ends.
func (q *slotQueue) run(ctx context.Context) {
	ticker := time.NewTicker(entry.TickInterval)
	defer ticker.Stop()
	var batch []slotEvent
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.events.Signal():
			batch = q.events.TryTake(batch[:0])
			q.apply(batch)
			clear(batch)
		case now := <-ticker.C:
			q.limiter.Tick(q.slots)
			q.queue.Expire(now)
		}
		q.grant()
		q.urgent.Store(int64(q.queue.LenOfClass(carobkeel.ClassLatencyCritical)))
	}
}

func (q *slotQueue) apply(batch []slotEvent) {
	now := time.Now()
	for _, event := range batch {
		switch w := event.waiter; {
		case w == nil:
		case event.abandoned:
			if w.item != nil {
				q.queue.Remove(w.item)
			}
		case w.state.Load() == waiterWaiting:
			w.item = q.queue.Push(w.QueuedRequest, w, now)
		}
	}
}

// grant assigns the free slots to the next waiters.
func (q *slotQueue) grant() {
	now := time.Now()
	for {
		w, ok := q.queue.Next(now)
		if !ok {
			return
		}
		if !q.resolve(w, waiterGranted, nil) {
			q.slots.Release(w.Share, 0)
		}
	}
}

// refuse ends the wait of a waiter that the queue refused.
func (q *slotQueue) refuse(w *waiter, refusal *carobkeel.Error) { q.resolve(w, waiterRefused, refusal) }

// resolve ends the wait. It returns false if the waiter stopped waiting before.
func (q *slotQueue) resolve(w *waiter, state int32, refusal *carobkeel.Error) bool {
	if !w.state.CompareAndSwap(waiterWaiting, state) {
		return false
	}
	q.queued.Add(-1)
	w.refusal = refusal
	close(w.resolved)
	return true
}
