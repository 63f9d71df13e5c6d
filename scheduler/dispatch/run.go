package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// runPhase is the confirmed progress of a run's start.
type runPhase uint8

const (
	// runOrdered is the phase of a run whose start order has not been answered.
	runOrdered runPhase = iota
	// runConfirmed is the phase of a run that has started.
	runConfirmed
)

// runState is a run that may be active on a worker and holds resources there.
type runState struct {
	// task is nil if the run belongs to no known task.
	task   *task
	name   carobkeel.TaskName
	number int
	worker *workerState
	// reserved holds the worker's resources that the run has reserved.
	reserved carobkeel.Resources
	phase    runPhase
	// listed reports that a listing has shown the run to this holder.
	listed bool
	// hasBegun reports that a worker has confirmed the start, if only an earlier incarnation
	// of it.
	hasBegun bool
	// startOrders counts the start orders sent. If there was more than one, the
	// refusal of one of them does not show that the run did not start.
	startOrders int
	// orderedAt is when the start was last ordered.
	orderedAt time.Duration
	// inconclusive reports that the answer to the last order left it open whether
	// the order was or will be carried out. The next full listing repeats it.
	inconclusive bool
	// adopted reports that an earlier holder started the run. It began some time before
	// started.
	adopted bool
	// carriedOver reports that the run was ordered from an incarnation that another one with
	// the same ID has replaced. That one may begin it, until it has listed its runs.
	carriedOver bool
	// started is when the start was confirmed, or ordered if it is not confirmed yet.
	started time.Duration
	// confirmed is the mark at which the run was last known to have started.
	confirmed listingMark
	stopping  bool
	// stopOrderedAt is when the stop was first ordered, and stopOverdue reports
	// that the run was still listed, or its end unknown, stopTimeout later.
	stopOrderedAt time.Duration
	stopOverdue   bool
	// stopConfirmed reports that the worker will not start the run any more, from
	// the mark stopConfirmedAt on.
	stopConfirmed   bool
	stopConfirmedAt listingMark
	loadMetric      int
	// percent is the progress in the last listing.
	percent int
	pace    int
	// paceInDoubt reports that the run may have another pace than the one ordered last.
	paceInDoubt bool
	// observedFrom is when the run started, or when its pace last rose to
	// minObservedPace. No progress is missed before.
	observedFrom time.Duration
	// slowSince is when the run's pace dropped below minStartPace, zero while
	// it has not.
	slowSince time.Duration
	ticket    string
}

type runKey struct {
	task carobkeel.TaskName
	run  int
}

// isWithdrawn reports whether the run is stopped and its start was not confirmed, so that it may
// never have begun.
func (r *runState) isWithdrawn() bool { return r.stopping && r.phase == runOrdered }

// releaseRuns releases all runs of a worker, because none of them is active any
// more.
func (c *Core) releaseRuns(w *workerState, reason string) {
	for _, r := range w.runs {
		c.release(r, reason)
	}
}

// release gives up a run: it has ended although its worker has listed no end of it. The reason
// names the evidence.
func (c *Core) release(r *runState, reason string) {
	if r.task != nil {
		r.task.recordGivenUp(r.number)
	}
	c.remove(r, Decision{Kind: DecidedRunGivenUp, Detail: reason})
}

// releaseEnded releases a run whose end its worker has listed.
func (c *Core) releaseEnded(r *runState, end runs.End, listing uint64) {
	r.hasBegun = true
	c.remove(r, endDecision(DecidedRunEnded, r.worker, end, listing))
}

// remove frees the resources of a run, and records the decision that led to it. The run's task
// waits again unless it is done. It has waited all the while if the run never began.
func (c *Core) remove(r *runState, d Decision) {
	w := r.worker
	c.recordEndedBestEffort(r)
	delete(w.runs, runKey{r.name, r.number})
	w.used = w.used.Sub(r.reserved)
	switch {
	case r.stopOverdue:
		w.overdueStops--
	case r.stopping:
		w.beingStopped = w.beingStopped.Sub(r.reserved)
	}
	c.markChanged(w)
	d.Task, d.Run, d.Host, d.Waited = r.name, r.number, w.host, c.now.Monotonic-r.started
	c.recordDecision(d)
	if r.task == nil {
		return
	}
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if t.isWaiting() && r.hasBegun {
		t.waitingSince = c.now.Monotonic
	}
	t.step.tasks.update(t)
}

// reserve adds a run to a worker and reserves its resources.
func (c *Core) reserve(w *workerState, t *task, name carobkeel.TaskName, run int) *runState {
	r := &runState{task: t, name: name, number: run, worker: w, started: c.now.Monotonic, observedFrom: c.now.Monotonic, pace: fullPace}
	if t != nil {
		r.reserved = t.step.spec.Reserved()
		t.runs = append(t.runs, r)
		t.step.tasks.update(t)
	}
	w.runs[runKey{name, run}] = r
	w.used = w.used.Add(r.reserved)
	w.sharing = nil
	return r
}

// stop orders the stop of a run.
func (c *Core) stop(r *runState, reason string) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.stopOrderedAt = c.now.Monotonic
	r.worker.beingStopped = r.worker.beingStopped.Add(r.reserved)
	c.markChanged(r.worker)
	c.recordDecision(Decision{Kind: DecidedRunStopped, Task: r.name, Run: r.number, Host: r.worker.host, Detail: reason})
	c.orderStop(r)
}

// stopTimeout is how long after the order a stopped run should have ended: workers
// take up to a second, and listings come five times a second.
const stopTimeout = 1300 * time.Millisecond

// observeStops finds the runs of a worker whose stop is overdue. Tasks no longer
// wait for the resources that they hold.
func (c *Core) observeStops(w *workerState) {
	for _, r := range w.runs {
		if !r.stopping || r.stopOverdue || c.now.Monotonic-r.stopOrderedAt < stopTimeout {
			continue
		}
		r.stopOverdue = true
		w.overdueStops++
		w.beingStopped = w.beingStopped.Sub(r.reserved)
		c.recordDecision(Decision{Kind: DecidedStopOverdue, Task: r.name, Run: r.number, Host: w.host, Waited: c.now.Monotonic - r.stopOrderedAt})
	}
}

func (c *Core) orderStop(r *runState) {
	if !r.worker.listed {
		return
	}
	c.order(r.worker, Order{Kind: OrderStop, Task: r.name, Run: r.number})
}

// order adds an order for a worker, which goes over the link that its host has now.
func (c *Core) order(w *workerState, o Order) {
	o.Host, o.Incarnation, o.Link = w.host, w.description.Incarnation, w.link.ID
	c.orders = append(c.orders, o)
}

// start orders the start of a task's next run on a worker.
func (c *Core) start(t *task, w *workerState) {
	r := c.reserve(w, t, t.name(), c.nextRun(t))
	r.ticket, _ = c.ticketFor(t.step, w)
	c.orderStart(r)
	c.recordDecision(Decision{
		Kind: DecidedRunStarted, Task: r.name, Run: r.number, Host: w.host,
		Waited: c.now.Monotonic - t.waitsSince(),
	})
}

// confirm records that a run has started. Its age counts from now on: the order may have taken
// long to be carried out.
func (c *Core) confirm(r *runState) {
	r.started, r.observedFrom = c.now.Monotonic, c.now.Monotonic
	if r.task != nil {
		c.reportConfirmed(r)
		c.beginJob(r.task.job())
	}
	r.phase, r.hasBegun = runConfirmed, true
	c.raiseSlowStart(r.worker)
}

// reportConfirmed records how long a task has waited for a run that this holder has started. A
// task does not wait for its speculative run.
func (c *Core) reportConfirmed(r *runState) {
	if r.adopted || r.hasBegun || r != r.task.runs[0] {
		return
	}
	waited := c.now.Monotonic - r.task.waitsSince()
	c.recordDecision(Decision{Kind: DecidedRunConfirmed, Task: r.name, Run: r.number, Host: r.worker.host, Waited: waited})
}

// waitsSince returns when the task last began to wait and could start.
func (t *task) waitsSince() time.Duration { return max(t.waitingSince, t.step.readyAt) }

func (c *Core) orderStart(r *runState) {
	r.startOrders++
	r.orderedAt = c.now.Monotonic
	c.order(r.worker, Order{
		Kind: OrderStart, Task: r.name, Run: r.number,
		Payload: r.task.job().spec.Payload, Checkpoint: r.task.checkpoint, Ticket: r.ticket, Ping: r.worker.lastPing,
	})
}
