package holder

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// tickInterval is how often a node checks whether to take over.
	tickInterval = 100 * time.Millisecond
	// storeInterval is the least time between two writes of records that no
	// caller waits for.
	storeInterval = 80 * time.Millisecond
	// batchDelayFactor is the ratio of the time that the loop lets events
	// accumulate after a step to the duration of that step. Each round of
	// decisions covers the whole shard, however many events there are.
	batchDelayFactor = 2
	// minBatchedWork is the duration of a step below which there is no such
	// delay, and maxBatchDelay bounds the delay: a start is due within 300 ms.
	minBatchedWork = 500 * time.Microsecond
	maxBatchDelay  = 25 * time.Millisecond
	// slowStep is the duration from which a step is logged.
	slowStep = 100 * time.Millisecond
)

// loop is the state of a node's event loop, which runs in one goroutine.
type loop struct {
	node *Node
	ctx  context.Context
	// core is nil while this node does not hold the shard.
	core *dispatch.Core
	// term is cancelled when this node steps down as the holder.
	term    context.Context
	endTerm context.CancelFunc
	// holdConfirmed is the last time at which the holder row that this node knows
	// was the newest one, by a read or by the feed of its changes.
	holdConfirmed time.Duration
	// handledUpTo is a time up to which all queued events have been handled, among
	// them the pings of sidecars that this node has answered.
	handledUpTo time.Duration
	// confirmRequested is when the holder row was last read to confirm that this
	// node holds the shard.
	confirmRequested time.Duration
	// predecessors are the earlier holders, as far as this process has seen them.
	predecessors predecessors
	// candidacy is the wait before this node takes over.
	candidacy candidacy
	// endTakeover ends the attempt to take over that is in progress.
	endTakeover context.CancelFunc
	// batchInFlight reports that a batch is being stored, and batchEnded is
	// when the last one was finished.
	batchInFlight bool
	batchEnded    time.Duration
	// batchTaken is when the batch in flight was taken from the core.
	batchTaken time.Duration
	// singleBatches is the number of batches of one record each that follow a rejected
	// batch.
	singleBatches int
	// progress has the rows of each job's progress, as this holder knows them.
	progress map[carobkeel.JobID]*progressRows
	// workerRows has the versions of the records of workers, by key. The batch in flight
	// follows them.
	workerRows map[string]table.Version
	// jobRows has the versions of the rows of jobs that were passed to the core, until the feed
	// reports their removal.
	jobRows map[carobkeel.JobID]table.Version
	// markRows has the versions of the cancellations of unknown jobs.
	markRows map[carobkeel.JobID]table.Version
	// pending maps the jobs that have not started to their queues.
	pending map[carobkeel.JobID]carobkeel.QueueName
	// storeClock is the last reading of the table service's clock in this term, and authority the
	// state of the promises by it.
	storeClock storeInstant
	authority  authority
	wake       time.Duration
	// parts are the times that the parts of the present step have taken, and partBegan is when the
	// present part began.
	parts     [stepParts]time.Duration
	partBegan time.Duration
	// viewMade is when the last view of the shard's load was made.
	viewMade time.Duration
}

func newLoop(n *Node) *loop {
	return &loop{node: n, jobRows: make(map[carobkeel.JobID]table.Version)}
}

func (l *loop) run(ctx context.Context) {
	l.ctx = ctx
	var batch []event
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.node.events.Signal():
		case <-timer.C:
		}
		start := clock.Boottime()
		batch = l.node.events.TryTake(batch[:0])
		events := len(batch)
		l.runStep(batch, start)
		clear(batch)
		work := clock.Boottime() - start
		l.logSlowStep(work, events)
		if clock.Sleep(ctx, batchDelay(work)) != nil {
			return
		}
		timer.Reset(l.nextTimeout())
	}
}

// runStep handles events and makes the decisions that they require. A panic leaves the
// scheduling state undefined, so the node steps down and drops it; the process goes on,
// and its next term starts from the table service. The batch holds all events that were
// queued before taken.
func (l *loop) runStep(batch []event, taken time.Duration) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		l.node.metrics.Panics.Inc(1)
		l.node.log.Error().Any("cause", cause).Str("stack", string(debug.Stack())).Msg("scheduling step panicked")
		if l.core != nil {
			l.stepDown("scheduling step panicked")
		}
	}()
	l.partBegan = taken
	if l.core != nil {
		l.core.Advance(l.now())
	}
	for _, handle := range batch {
		handle(l)
	}
	l.handledUpTo = taken
	l.endPart(partEvents)
	l.step()
	l.node.decidedAt.Store(int64(clock.Boottime()))
}

// logSlowStep logs a step of the holder that delayed the events after it, with the time that each part of it
// took, and clears these.
func (l *loop) logSlowStep(work time.Duration, events int) {
	if l.core != nil && work >= slowStep {
		line := l.node.log.Warn().Int64("ms", work.Milliseconds()).Int("events", events)
		for part, took := range l.parts {
			line = line.Int64(stepPartNames[part]+"_ms", took.Milliseconds())
		}
		line.Msg("slow scheduling step")
	}
	l.parts = [stepParts]time.Duration{}
}

// batchDelay returns how long events may accumulate after a step of the given
// duration.
func batchDelay(work time.Duration) time.Duration {
	if work < minBatchedWork {
		return 0
	}
	return min(maxBatchDelay, batchDelayFactor*work)
}

func (l *loop) now() dispatch.Now {
	return dispatch.Now{Monotonic: clock.Boottime(), Held: min(time.Duration(l.node.holdRead.Load()), l.handledUpTo), Wall: time.Now()}
}

// nextTimeout returns the time until the loop must run again without an event.
func (l *loop) nextTimeout() time.Duration {
	timeout := tickInterval
	if l.wake > 0 {
		timeout = min(timeout, max(time.Millisecond, l.wake-clock.Boottime()))
	}
	return timeout
}

// step makes the decisions that the events require and carries them out.
func (l *loop) step() {
	if l.core == nil {
		l.wake = 0
		l.considerTakeover()
		return
	}
	if clock.Boottime()-l.holdConfirmed > authorityTimeout {
		l.stepDown("holding the shard not confirmed in time")
		return
	}
	out := l.core.Finish()
	l.endPart(partDecisions)
	l.execute(out)
	l.publishView()
	l.node.jobBytes.Store(l.core.Footprint())
	l.endPart(partOrders)
	l.wake = out.Wake
	if out.ConfirmHold {
		l.confirmHold(tickInterval)
	} else {
		l.confirmHold(holdReadInterval)
	}
	l.renewAuthority()
	l.store()
	l.endPart(partRecords)
}

// confirmHold reads the holder row, at most once in each interval.
func (l *loop) confirmHold(interval time.Duration) {
	requestedAt := clock.Boottime()
	if requestedAt-l.confirmRequested < interval {
		return
	}
	l.confirmRequested = requestedAt
	n, term, version := l.node, l.term, l.node.holderState.Load().Version
	go func() {
		ctx, cancel := context.WithTimeout(term, followTimeout)
		defer cancel()
		scan, err := n.rows.Scan(ctx, TableHolders, n.config.Shard, holderKey)
		if err != nil || findRow(scan.Rows, holderKey).Version != version {
			return // the feed delivers a newer row
		}
		read := storeInstant{at: scan.Transfer.ServiceTime, requested: requestedAt, received: clock.Boottime()}
		n.recordHoldRead(requestedAt)
		n.events.Push(func(l *loop) {
			if l.core != nil && l.term == term {
				l.storeClock = read
				l.holdConfirmed = max(l.holdConfirmed, requestedAt)
				l.core.Advance(l.now())
			}
		})
	}()
}

// execute carries out the output of the core.
func (l *loop) execute(out dispatch.Output) {
	l.logDecisions(out.Decisions)
	l.publish(out.StateChanges)
	l.requestAdvice(out.AdviceQuestion)
	l.sendOrders(slices.Concat(out.RecordedWorkers, out.Orders))
}

// sendOrders sends each order over the link on which it was decided. Orders for a link that
// has ended or was replaced are dropped: the core repeats them after the first listing over
// the next one.
func (l *loop) sendOrders(orders []dispatch.Order) {
	byPeer := make(map[*peer][]wire.Order)
	for _, order := range orders {
		current, linked := l.node.sidecars.Load(order.Host)
		if !linked || current.(*peer).id != order.Link {
			l.node.metrics.OrdersDropped.Inc(1)
			continue
		}
		byPeer[current.(*peer)] = append(byPeer[current.(*peer)], wire.FromOrder(order))
	}
	epoch := carobkeel.Epoch(l.node.holderState.Load().Row.Epoch)
	for p, orders := range byPeer {
		for _, message := range wire.SplitOrders(epoch, orders) {
			message.SharePayloads()
			p.send(wire.TypeOrders, message)
		}
	}
}

// publish makes states of jobs visible to callers.
func (l *loop) publish(views []dispatch.StateChange) {
	if len(views) == 0 {
		return
	}
	for _, v := range views {
		if v.Removed {
			l.node.states.Delete(v.Job)
			continue
		}
		l.node.states.Store(v.Job, v.State)
		if v.State == carobkeel.JobPending {
			l.pending[v.Job] = v.Queue
		} else {
			delete(l.pending, v.Job)
		}
	}
	waiting := make(map[carobkeel.QueueName]int)
	for _, queue := range l.pending {
		waiting[queue]++
	}
	l.node.waiting.Store(&waiting)
}

// stepDown stops scheduling the shard.
func (l *loop) stepDown(reason string) {
	l.node.log.Warn().Str("reason", reason).Msg("stepped down as holder of the shard")
	l.node.metrics.StepDowns.Inc(1)
	l.core = nil
	l.wake = 0
	l.endTerm()
	next := *l.node.holderState.Load()
	next.Leading = false
	l.node.holderState.Store(&next)
	l.node.states.Clear()
	l.node.ownView.Store(nil)
	l.node.notifySidecars()
}
