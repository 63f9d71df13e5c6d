package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/internal/mailbox"
)

// gate hands out the upstream's slots. A request that finds a free slot and
// nobody waiting takes it with one atomic step. Others are put in order by one
// goroutine, and each parks on a channel of its own.
type gate struct {
	limit   int64
	room    int64
	running atomic.Int64
	queued  atomic.Int64
	events  *mailbox.Mailbox[*waiter]
	queue   entry.Queue[*waiter]
}

// States of a waiter.
const (
	waiterWaiting int32 = iota
	waiterGranted
	waiterAbandoned
)

type waiter struct {
	entry.Waiting
	state   atomic.Int32
	granted chan struct{}
}

func newGate(slots, queue int) *gate {
	return &gate{limit: int64(slots), room: int64(queue), events: mailbox.New[*waiter]()}
}

// enter takes a slot, waiting until ctx ends.
func (g *gate) enter(ctx context.Context, w entry.Waiting) *carobkeel.Error {
	if g.queued.Load() == 0 && g.tryTake() {
		return nil
	}
	if g.queued.Add(1) > g.room {
		g.queued.Add(-1)
		return carobkeel.NewError(carobkeel.CodeQueueFull, "the queue of %d is full", g.room).WithRetryAfter(queueRetryAfter)
	}
	mine := &waiter{Waiting: w, granted: make(chan struct{})}
	g.events.Push(mine)
	select {
	case <-mine.granted:
		return nil
	case <-ctx.Done():
	}
	if !mine.state.CompareAndSwap(waiterWaiting, waiterAbandoned) {
		return nil // granted at the same moment
	}
	g.queued.Add(-1)
	return carobkeel.NewError(carobkeel.CodeTimeoutNotRun, "the request waited for a slot until its time ran out")
}

// queueRetryAfter is the advice to callers whose request found the queue full.
const queueRetryAfter = time.Second

// leave gives a slot back.
func (g *gate) leave() {
	g.running.Add(-1)
	if g.queued.Load() > 0 {
		g.events.Push(nil)
	}
}

func (g *gate) tryTake() bool {
	for {
		running := g.running.Load()
		if running >= g.limit {
			return false
		}
		if g.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// run orders the waiting requests until ctx ends.
func (g *gate) run(ctx context.Context) {
	var batch []*waiter
	var err error
	for {
		if batch, err = g.events.Take(ctx, batch[:0]); err != nil {
			return
		}
		for _, w := range batch {
			if w != nil {
				g.queue.Push(w.Waiting, w)
			}
		}
		for g.queue.Len() > 0 && g.tryTake() {
			g.grant()
		}
	}
}

// grant gives a slot that was taken to the first request that still waits, or
// gives it back.
func (g *gate) grant() {
	for {
		w, ok := g.queue.Pop()
		if !ok {
			g.running.Add(-1)
			return
		}
		if w.state.CompareAndSwap(waiterWaiting, waiterGranted) {
			g.queued.Add(-1)
			close(w.granted)
			return
		}
	}
}
