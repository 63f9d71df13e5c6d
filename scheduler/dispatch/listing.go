package dispatch

import (
	"fmt"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// WorkerListing is a worker's listing as forwarded by the sidecar of its host.
type WorkerListing struct {
	Host        string
	Incarnation runs.Incarnation
	// Number numbers the sidecar's requests for listings, and Requested is the number
	// of the last one when this listing was answered. The answer to an order names
	// that number too. Listings may overtake each other.
	Number, Requested uint64
	// Full reports a full listing: Running holds all runs. Otherwise it holds
	// only changes.
	Full    bool
	Running []runs.Running
	Ends    []runs.End
	// Partial reports that a run that is not in the listing may still run, or may
	// have ended.
	Partial bool
	// LateLease is what the sidecar knows of a lease that late calls may have given the
	// incarnation.
	LateLease runs.LateLease
}

// ApplyListing applies a worker's listing.
func (c *Core) ApplyListing(l WorkerListing) {
	w := c.worker(l.Host)
	c.acceptCandidate(w, l.Incarnation)
	if w.description.Incarnation != l.Incarnation {
		return
	}
	c.countLateLease(w, &l)
	w.reachable, w.hasListed = w.linked, true
	if w.unresponsive {
		w.unresponsive, w.shutDown = false, false
		c.extendLease(w)
	}
	for _, end := range l.Ends {
		c.handleEnd(w, end, l.Number)
	}
	if !l.Full {
		return
	}
	w.endsCutOff = len(l.Ends) >= runs.MaxListedEnds
	seen := make(map[runKey]bool, len(l.Running))
	advanced := false
	for _, running := range l.Running {
		seen[runKey{running.Task, running.Run}] = true
		if c.updateRun(w, running, l.Requested) {
			advanced = true
		}
		c.recordListed(w, running, l.Number)
	}
	c.observeProgress(w, advanced || l.Partial)
	w.sharing = nil // the load metrics have changed
	c.observeSharing(w)
	first := !w.listed
	w.listed = true
	if !l.Partial {
		delete(c.partlyListed, w.host)
		c.dropLateStarts(w.host)
		c.releaseMissing(w, l.Number, seen)
	} else {
		c.holdBackInherited(w, first)
	}
	c.observeStops(w)
	if first {
		c.beginSlowStart(w, &l)
		c.recordIncarnation(w)
		c.recordInheritedListing(w, &l)
		c.retireEarlier(w)
		delete(c.unreportedWorkers, w.description.Incarnation)
	}
	c.repeatOrders(w, first)
	if first && w.recorded {
		c.tellRecorded(w)
	}
	if first && w.acknowledged > 0 {
		c.orderAcknowledge(w)
	}
}

// handleEnd handles one end in a listing. A worker repeats ends until they are acknowledged.
func (c *Core) handleEnd(w *workerState, end runs.End, listing uint64) {
	if end.Number <= w.lastEnd {
		return
	}
	c.reportMissedEnds(w, end.Number)
	w.lastEnd, w.followsEnds = end.Number, true
	c.awaitFurtherEnds(w, end)
	w.stall.lastProgress = c.now.Monotonic
	t := c.task(end.Task)
	firstDecision := len(c.decisions)
	c.applyEnd(w, t, end, listing)
	pending := pendingEnd{number: end.Number}
	if t != nil {
		pending.job, pending.revision = t.job(), t.job().revision
		pending.job.storeBy = c.now.Monotonic
	}
	w.pendingEnds = append(w.pendingEnds, pending)
	c.recordRevision(firstDecision, pending)
}

// awaitFurtherEnds gives a partly listed worker another lease to list the rest, after an end of a
// run that an earlier holder started. There are only so many of them.
func (c *Core) awaitFurtherEnds(w *workerState, end runs.End) {
	t := c.task(end.Task)
	isInherited := t == nil || (t.job().inherited && end.Run <= c.inheritedRuns())
	if _, partly := c.partlyListed[w.host]; partly && isInherited {
		c.awaitRest(w)
	}
}

// holdBackInherited decides after a partial listing whether inherited tasks wait for what it may
// lack. A worker has one lease from its first listing over a link on to list the rest, and as long
// as it takes if it has more ends than it lists at a time.
func (c *Core) holdBackInherited(w *workerState, first bool) {
	until, partly := c.partlyListed[w.host]
	switch {
	case first && (partly || c.mayHaveInheritedRuns(w)):
		c.awaitRest(w)
	case partly && !w.endsCutOff && c.now.Held >= max(c.inheritedExpiry, until):
		delete(c.partlyListed, w.host) // a row that can't be decoded may stay
	}
}

// awaitRest gives a partly listed worker a lease to list the rest.
func (c *Core) awaitRest(w *workerState) {
	c.partlyListed[w.host] = c.now.Monotonic + maxLeaseDuration(c.config.WorkerLease)
}

// reportMissedEnds reports a gap before the end with the given number. Ends are numbered
// without gaps, and are listed until this holder has had them acknowledged.
func (c *Core) reportMissedEnds(w *workerState, number uint64) {
	if !w.followsEnds || number == w.lastEnd+1 {
		return
	}
	c.recordDecision(Decision{Kind: DecidedEndsMissed, Host: w.host, Detail: fmt.Sprintf("%d to %d", w.lastEnd+1, number-1)})
}

// applyEnd updates the run and the task after an end. The task is nil if it is
// unknown.
func (c *Core) applyEnd(w *workerState, t *task, end runs.End, listing uint64) {
	r := w.runs[runKey{end.Task, end.Run}]
	if t != nil && t.step.spec.SavesProgress && t.keepCheckpoint(end.Run, end.Checkpoint) && !c.isFinal(t.job()) {
		c.markDirty(t.job()) // the worker forgets it once the end is acknowledged
	}
	if r != nil {
		c.recordOutcome(r, end.Outcome)
		c.releaseEnded(r, end, listing)
	} else {
		c.recordUnknownEnd(w, t, end, listing)
	}
	if t == nil {
		return
	}
	defer t.step.tasks.update(t) // a task that was done before loses its structure again
	c.beginJob(t.job())
	switch end.Outcome {
	case runs.OutcomeDone:
		c.handleDone(t)
	case runs.OutcomeFailed:
		if !t.done {
			c.failTask(t, end.Run, w.host)
		}
	}
}

// handleDone marks a task as done. In a gang, the end of one member completes
// all of them.
func (c *Core) handleDone(t *task) {
	if t.step.spec.LongRunning {
		return
	}
	if !t.step.spec.Gang {
		c.finishTask(t)
		c.stopRuns(t)
		return
	}
	for i := range t.step.tasks.count {
		c.finishTask(t.step.tasks.get(i))
	}
}

// stopRuns stops the remaining runs of a completed task.
func (c *Core) stopRuns(t *task) {
	for _, r := range t.runs {
		c.stop(r, "another run is done")
	}
}

// updateRun applies the listed state of one run, and reports whether the run
// has progressed since the last listing. When the listing was answered, the given number
// of listings had been requested.
func (c *Core) updateRun(w *workerState, running runs.Running, requested uint64) bool {
	r := w.runs[runKey{running.Task, running.Run}]
	if r == nil {
		r = c.adopt(w, running)
	}
	r.carriedOver = false
	if r.phase == runOrdered {
		c.confirm(r)
	}
	if mark := markAt(w, requested); r.confirmed.precedes(w, requested) {
		r.confirmed = mark
	}
	r.loadMetric = running.LoadMetric
	advanced := c.shouldProgress(r) && running.Percent > r.percent
	r.percent = running.Percent
	if t := r.task; t != nil {
		t.keepCheckpoint(running.Run, running.Checkpoint)
	}
	return advanced
}

// adopt adds a run that an earlier holder started. A run that is not needed is
// stopped.
func (c *Core) adopt(w *workerState, running runs.Running) *runState {
	t := c.task(running.Task)
	needed := t != nil && t.isWaiting() && !c.isFinal(t.job())
	detail := c.explainUnknownRun(t, running.Run)
	r := c.reserve(w, t, running.Task, running.Run)
	r.adopted, r.paceInDoubt = true, true
	c.confirm(r)
	if t != nil {
		t.lastRun = max(t.lastRun, running.Run)
		t.located = t.located || !t.step.spec.AllowsDuplicates
	}
	c.recordDecision(Decision{Kind: DecidedRunAdopted, Task: running.Task, Run: running.Run, Host: w.host, Detail: detail})
	if !needed {
		c.stop(r, "not needed")
	}
	return r
}

// explainUnknownRun returns why a worker may list a run of the task that this holder does
// not know, for the log: it began after this holder had given it up, or under an earlier one.
func (c *Core) explainUnknownRun(t *task, run int) string {
	switch {
	case t == nil:
		return "unknown task"
	case c.isOfEarlierHolder(t, run):
		return "of an earlier holder"
	case t.done:
		return "given up before, and the task is done"
	}
	return "given up before"
}

// isOfEarlierHolder reports whether a run that this holder does not have is one that it has
// not started.
func (c *Core) isOfEarlierHolder(t *task, run int) bool {
	return run > t.lastRun || (t.job().inherited && run <= c.inheritedRuns())
}

// releaseMissing releases runs that are missing from a full listing although
// the worker should list them. A run is released only by a listing that was requested
// after the last message that could have started it.
func (c *Core) releaseMissing(w *workerState, number uint64, seen map[runKey]bool) {
	for key, r := range w.runs {
		switch {
		case seen[key]:
		case r.carriedOver:
			c.release(r, reasonRestarted+": "+describeMissing(w, number))
		case r.stopping && r.stopConfirmed && r.stopConfirmedAt.precedes(w, number):
			c.release(r, "stopped before it started: "+r.stopConfirmedAt.describe(w, number))
		case r.phase == runConfirmed && r.confirmed.precedes(w, number):
			c.release(r, "not listed any more: "+r.confirmed.describe(w, number))
		}
	}
}

// repeatOrders repeats the orders whose answers were inconclusive or, if all is set,
// all orders that are not answered yet: they may have been lost with an earlier
// link. A worker carries out each order only once. Paces are ordered again by the pace control.
func (c *Core) repeatOrders(w *workerState, all bool) {
	for _, r := range w.runs {
		if !all && !r.inconclusive {
			continue
		}
		r.paceInDoubt = r.paceInDoubt || all
		r.inconclusive = false
		switch {
		case r.stopping:
			c.orderStop(r)
		case r.phase == runOrdered && (r.carriedOver || !w.recorded):
			r.inconclusive = true
		case r.phase == runOrdered:
			c.orderStart(r)
			c.recordRepeatedStart(r)
		}
	}
}

// OrderAnswer is the answer to an order.
type OrderAnswer struct {
	Host        string
	Incarnation runs.Incarnation
	Kind        OrderKind
	Task        carobkeel.TaskName
	Run         int
	Result      runs.Result
	// Listing is the number of the listing in progress when the worker
	// answered.
	Listing uint64
}

// ApplyAnswer applies the answer to a start, a stop or a pace.
func (c *Core) ApplyAnswer(a OrderAnswer) {
	c.recordStartAnswered(a)
	w := c.workers[a.Host]
	if w == nil || w.description.Incarnation != a.Incarnation {
		return
	}
	r := w.runs[runKey{a.Task, a.Run}]
	if r == nil {
		return
	}
	switch a.Kind {
	case OrderStart:
		c.handleStartAnswer(r, a)
	case OrderStop:
		c.handleStopAnswer(r, a)
	case OrderPace:
		r.paceInDoubt = r.paceInDoubt || leavesPaceInDoubt(a.Result)
	}
}

// leavesPaceInDoubt reports whether an order of a pace has to be repeated. A worker that does
// not know the run, or rejects the pace, would answer the same again.
func leavesPaceInDoubt(result runs.Result) bool {
	return result != runs.ResultOK && result != runs.ResultOldRun && result != runs.ResultInvalid
}

func (c *Core) handleStartAnswer(r *runState, a OrderAnswer) {
	if r.phase != runOrdered {
		return
	}
	c.recordStartAnswer(r, a.Result)
	switch a.Result {
	case runs.ResultOK:
		c.confirm(r)
		r.confirmed = markAt(r.worker, a.Listing)
		r.worker.control.pacesChangedAt = 0 // a best-effort task starts at full pace
	case runs.ResultUnknown, runs.ResultOtherIncarnation, runs.ResultStaleEpoch:
		// The run may still start. The stop order makes sure that it does not.
		c.stop(r, "start "+a.Result.String())
	case runs.ResultLate:
		r.inconclusive = true
	default:
		if a.Result == runs.ResultNoTicket {
			c.dropTicket(r.task.step, a.Incarnation)
		}
		if r.startOrders > 1 {
			c.stop(r, "start refused, and ordered twice: "+a.Result.String())
			return
		}
		c.release(r, "start refused: "+a.Result.String())
	}
}

func (c *Core) handleStopAnswer(r *runState, a OrderAnswer) {
	switch a.Result {
	case runs.ResultOK, runs.ResultOldRun:
		r.stopConfirmed = true
		r.stopConfirmedAt = markAt(r.worker, a.Listing)
	case runs.ResultStaleEpoch:
		// The next holder resolves this run.
	default:
		// The next listing resolves the run of another incarnation, unless the worker was
		// taken for one by mistake.
		r.inconclusive = true
	}
}
