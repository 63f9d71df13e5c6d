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

// gate hands out the upstream's slots. A request that finds a free slot and
// nobody waiting takes it with one atomic step. Others are put in order by one
// goroutine, and each parks on a channel of its own.
type gate struct {
	slots *entry.Slots
	// queued counts the waiters that have no outcome yet, urgent those of them
	// that the queue holds and that are latency-critical.
	queued atomic.Int64
	urgent atomic.Int64
	events *mailbox.Mailbox[gateEvent]
	// limiter and queue are used by the goroutine of run alone.
	limiter *entry.Limiter
	queue   *entry.Queue[*waiter]
}

// gateEvent tells of a waiter that came or went, or of a slot that was given
// back where the waiter is nil.
type gateEvent struct {
	waiter *waiter
	gone   bool
}

// States of a waiter.
const (
	waiterWaiting int32 = iota
	waiterGranted
	waiterRefused
	waiterAbandoned
)

type waiter struct {
	entry.Waiting
	state atomic.Int32
	// settled is closed once the waiter is granted a slot or refused one.
	settled chan struct{}
	// refusal is set before settled is closed.
	refusal *carobkeel.Error
	// item is the waiter's place in the queue, for the goroutine of run alone.
	item *entry.Item[*waiter]
}

func newGate(slots, queue int) *gate {
	g := &gate{
		slots:   entry.NewSlots(slots),
		events:  mailbox.New[gateEvent](),
		limiter: entry.NewLimiter(slots),
	}
	g.queue = entry.NewQueue(g.slots, queue, g.refuse)
	return g
}

// load returns the requests that run and wait, and the limit.
func (g *gate) load() sidecar.Load {
	return sidecar.Load{
		Running:      g.slots.Running(),
		Queued:       int(g.queued.Load()),
		UrgentQueued: int(g.urgent.Load()),
		Limit:        g.slots.Limit(),
	}
}

// enter takes a slot, waiting until ctx ends, and returns how long it waited.
func (g *gate) enter(ctx context.Context, w entry.Waiting) (time.Duration, *carobkeel.Error) {
	if g.queued.Load() == 0 && g.slots.TryTake(w.Share) {
		return 0, nil
	}
	arrived := time.Now()
	refusal := g.wait(ctx, w)
	return time.Since(arrived), refusal
}

// wait parks until there is a slot for the request or ctx ends.
func (g *gate) wait(ctx context.Context, w entry.Waiting) *carobkeel.Error {
	g.queued.Add(1)
	mine := &waiter{Waiting: w, settled: make(chan struct{})}
	g.events.Push(gateEvent{waiter: mine})
	select {
	case <-mine.settled:
		return mine.refusal
	case <-ctx.Done():
	}
	if !mine.state.CompareAndSwap(waiterWaiting, waiterAbandoned) {
		<-mine.settled // at the same moment
		return mine.refusal
	}
	g.queued.Add(-1)
	g.events.Push(gateEvent{waiter: mine, gone: true})
	return carobkeel.NewError(carobkeel.CodeTimeoutNotRun, "the request waited for a slot until its time ran out")
}

// leave gives a slot of the share back after the upstream took the time for its
// request.
func (g *gate) leave(share *entry.Share, service time.Duration) {
	g.slots.Release(share, service)
	if g.queued.Load() > 0 {
		g.events.Push(gateEvent{})
	}
}

// run orders the waiting requests until ctx ends.
func (g *gate) run(ctx context.Context) {
	ticker := time.NewTicker(entry.TickInterval)
	defer ticker.Stop()
	var batch []gateEvent
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.events.Signal():
			batch = g.events.TryTake(batch[:0])
			g.apply(batch)
			clear(batch)
		case now := <-ticker.C:
			g.limiter.Tick(g.slots)
			g.queue.Expire(now)
		}
		g.grant()
		g.urgent.Store(int64(g.queue.LenOf(carobkeel.ClassLatencyCritical)))
	}
}

func (g *gate) apply(batch []gateEvent) {
	now := time.Now()
	for _, event := range batch {
		switch w := event.waiter; {
		case w == nil:
		case event.gone:
			if w.item != nil {
				g.queue.Remove(w.item)
			}
		case w.state.Load() == waiterWaiting:
			w.item = g.queue.Push(w.Waiting, w, now)
		}
	}
}

// grant gives the free slots to the waiters that are due.
func (g *gate) grant() {
	now := time.Now()
	for {
		w, ok := g.queue.Next(now)
		if !ok {
			return
		}
		if !g.settle(w, waiterGranted, nil) {
			g.slots.Release(w.Share, 0)
		}
	}
}

// refuse settles a waiter that leaves the queue without a slot.
func (g *gate) refuse(w *waiter, refusal *carobkeel.Error) { g.settle(w, waiterRefused, refusal) }

// settle ends the wait. It returns false where the waiter is gone.
func (g *gate) settle(w *waiter, state int32, refusal *carobkeel.Error) bool {
	if !w.state.CompareAndSwap(waiterWaiting, state) {
		return false
	}
	g.queued.Add(-1)
	w.refusal = refusal
	close(w.settled)
	return true
}
