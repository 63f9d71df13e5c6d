package dispatch

import (
	"slices"
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
	// startOrders counts the start orders sent. If there was more than one, the
	// refusal of one of them does not show that the run did not start.
	startOrders int
	// inconclusive reports that the answer to the last order left it open whether
	// the order was or will be carried out. The next full listing repeats it.
	inconclusive bool
	// adopted reports that an earlier holder started the run. It began some
	// time before started.
	adopted bool
	started time.Duration
	// confirmedListing is the number of the listing in progress when the start
	// was confirmed. Only a later listing can show that the run is missing.
	confirmedListing uint64
	stopping         bool
	// stopOrderedAt is when the stop was first ordered, and stopOverdue reports
	// that the run was still listed, or its end unknown, stopTimeout later.
	stopOrderedAt time.Duration
	stopOverdue   bool
	// stopConfirmed reports that the worker will not start the run any more,
	// and stopConfirmedListing is the number of the listing in progress at that
	// time.
	stopConfirmed        bool
	stopConfirmedListing uint64
	loadMetric           int
	// percent is the progress in the last listing.
	percent int
	pace    int
	// observedFrom is when the run was started, or when its pace last rose to
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

// workerState is the worker of one host.
type workerState struct {
	host        string
	description runs.Description
	// reachable reports that the sidecar is linked and reaches its worker.
	reachable bool
	linked    bool
	// unresponsive reports that the sidecar can't reach its worker, or that the
	// worker has shut down. The sidecar's pings do not extend the worker's lease
	// in this state.
	unresponsive bool
	// listed reports that the worker has listed its runs in this epoch.
	listed bool
	// leaseExpiry is when the worker's lease has certainly expired.
	leaseExpiry time.Duration
	// follows reports that the sidecar follows this holder, so that it extends no
	// lease for an earlier one. inheritedExpiry is then when the leases that it
	// extended for earlier holders have certainly expired.
	follows         bool
	inheritedExpiry time.Duration
	runs            map[runKey]*runState
	// used is the sum of the resources that the runs hold, and beingStopped the
	// part of it held by runs that are being stopped and should end soon.
	used, beingStopped carobkeel.Resources
	// overdueStops counts the runs whose stop is overdue.
	overdueStops int
	// usable reports that the worker accepted tasks at the last check, and
	// lastChange is the value of Core.workerChanges at the worker's last
	// change.
	usable     bool
	lastChange uint64
	// sharing caches the state derived from the tasks that share the worker,
	// nil after a change.
	sharing *sharingState
	// lastEnd is the number of the last end handled, and pendingEnds are the
	// ends whose effects are not durable yet.
	lastEnd     uint64
	pendingEnds []pendingEnd
	// recorded reports that the store has a record of this incarnation, so that
	// a later holder knows of it. No task starts on the worker before.
	recorded bool
	health   health
	stall    stallState
	control  paceControl
}

// markChanged records that a worker has changed, so that tasks may start there
// that could not before.
func (c *Core) markChanged(w *workerState) {
	c.workerChanges++
	w.lastChange = c.workerChanges
	w.sharing = nil
}

func (w *workerState) free() carobkeel.Resources { return w.description.Capacity.Sub(w.used) }

func (c *Core) worker(host string) *workerState {
	w := c.workers[host]
	if w == nil {
		w = &workerState{host: host, runs: make(map[runKey]*runState)}
		c.workers[host] = w
	}
	return w
}

// HostLinked records that the sidecar of a host has opened a new link.
func (c *Core) HostLinked(host string) {
	w := c.worker(host)
	w.linked = true
	w.listed, w.reachable, w.unresponsive, w.follows = false, false, false, false
}

// HostFollows records that the sidecar of a host follows this holder.
func (c *Core) HostFollows(host string) {
	w := c.worker(host)
	if w.follows {
		return
	}
	w.follows = true
	w.inheritedExpiry = c.now.Monotonic + maxLeaseDuration(c.config.WorkerLease)
}

// HostPinged records a ping from the sidecar of a host, after which it may
// extend the worker's lease.
func (c *Core) HostPinged(host string) {
	w := c.worker(host)
	if !w.unresponsive {
		w.leaseExpiry = max(w.leaseExpiry, c.now.Monotonic+maxLeaseDuration(c.config.WorkerLease))
	}
}

// HostLost records that the link of a host has ended.
func (c *Core) HostLost(host string) {
	w := c.worker(host)
	w.linked, w.reachable, w.listed = false, false, false
	c.recordDecision(Decision{Kind: DecidedLinkLost, Host: host, Waited: w.leaseExpiry - c.now.Monotonic})
}

// WorkerUnreachable records that the sidecar of a host can't reach its worker, whose
// lease expires after remaining. A negative value means that the sidecar does
// not know the time.
func (c *Core) WorkerUnreachable(host string, remaining time.Duration) {
	w := c.worker(host)
	if w.unresponsive {
		return
	}
	w.reachable, w.listed, w.unresponsive = false, false, true
	if remaining >= 0 && remaining < c.config.WorkerLease {
		expiry := c.now.Monotonic + maxLeaseDuration(remaining)
		w.leaseExpiry = min(w.leaseExpiry, expiry)
		w.inheritedExpiry = min(w.inheritedExpiry, expiry)
	}
	c.recordDecision(Decision{Kind: DecidedWorkerUnreachable, Host: host, Waited: remaining})
}

// DescribeWorker applies a worker's description. A new incarnation runs nothing
// that the previous one ran.
func (c *Core) DescribeWorker(host string, d runs.Description) {
	w := c.worker(host)
	if w.description.Incarnation != d.Incarnation {
		c.replaceIncarnation(w, d)
		return
	}
	if d.Sequence < w.description.Sequence {
		return
	}
	if d.Draining && !w.description.Draining {
		c.recordDecision(Decision{Kind: DecidedWorkerDraining, Host: host, Waited: d.Remaining})
	}
	w.description = d
}

func (c *Core) replaceIncarnation(w *workerState, d runs.Description) {
	if w.description.ID != "" {
		c.recordDecision(Decision{Kind: DecidedWorkerRestarted, Host: w.host, Detail: d.ID})
		c.releaseRuns(w, "worker restarted")
		c.dropRecord(w.description.Incarnation)
	}
	c.forgetUnreported(w.host, d.Incarnation)
	w.description = d
	w.listed = false
	w.recorded = c.recordedIncarnations[d.Incarnation]
	w.lastEnd, w.pendingEnds = 0, nil
	w.health = health{}
	w.stall = stallState{lastProgress: c.now.Monotonic}
	w.control = paceControl{}
}

// forgetUnreported drops the incarnations of a host's worker other than the given
// one.
func (c *Core) forgetUnreported(host string, incarnation runs.Incarnation) {
	for old, oldHost := range c.unreportedWorkers {
		if oldHost == host && old != incarnation {
			delete(c.unreportedWorkers, old)
			c.dropRecord(old)
		}
	}
}

// mayHaveInheritedRuns reports whether runs that an earlier holder started may
// be active on the worker although it has not listed them.
func (c *Core) mayHaveInheritedRuns(w *workerState) bool {
	for _, host := range c.unreportedWorkers {
		if host == w.host {
			return true
		}
	}
	return false
}

// WorkerShutDown records that a worker has shut down in an orderly way.
func (c *Core) WorkerShutDown(host string, incarnation runs.Incarnation) {
	if _, unreported := c.unreportedWorkers[incarnation]; unreported {
		delete(c.unreportedWorkers, incarnation)
		c.dropRecord(incarnation)
	}
	w := c.workers[host]
	if w == nil || w.description.Incarnation != incarnation {
		return
	}
	c.recordDecision(Decision{Kind: DecidedWorkerShutDown, Host: host, Detail: incarnation.ID})
	w.description.Draining = true
	w.reachable, w.listed, w.unresponsive = false, false, true
	w.leaseExpiry = min(w.leaseExpiry, c.now.Monotonic+exitGrace)
}

// exitGrace is how long a worker may take to exit after it has announced its
// shutdown.
const exitGrace = 500 * time.Millisecond

// expireLeases releases the runs of workers whose lease has expired. A later holder
// may have extended those that expired after Now.Held.
func (c *Core) expireLeases() {
	for _, w := range c.workers {
		if w.reachable || w.listed || c.now.Held < w.leaseExpiry {
			continue
		}
		c.expireInheritedOn(w)
		if (len(w.runs) == 0 && !w.recorded) || c.mayHaveInheritedRuns(w) {
			continue
		}
		c.recordDecision(Decision{Kind: DecidedLeaseExpired, Host: w.host})
		c.releaseRuns(w, "lease expired")
		c.forgetIncarnation(w)
	}
}

// expireInheritedOn drops the incarnations of a worker that have not listed to
// this holder, once no lease of an earlier holder can be valid there.
func (c *Core) expireInheritedOn(w *workerState) {
	if !w.linked || !w.follows || !w.unresponsive || c.now.Held < w.inheritedExpiry || !c.mayHaveInheritedRuns(w) {
		return
	}
	c.recordDecision(Decision{Kind: DecidedInheritedLeaseExpired, Host: w.host})
	w.recorded = false
	c.forgetUnreported(w.host, runs.Incarnation{})
}

// forgetIncarnation drops the record of an incarnation without runs. If the
// worker reports again, a new record is written before anything starts there.
func (c *Core) forgetIncarnation(w *workerState) {
	if !w.recorded {
		return
	}
	w.recorded = false
	c.dropRecord(w.description.Incarnation)
}

// dropRecord has the record of an incarnation removed. From now on the incarnation
// counts as not recorded.
func (c *Core) dropRecord(incarnation runs.Incarnation) {
	delete(c.recordedIncarnations, incarnation)
	c.workersToRecord = slices.DeleteFunc(c.workersToRecord, func(r WorkerRecord) bool { return r.Incarnation == incarnation })
	if !slices.Contains(c.incarnationsToForget, incarnation) {
		c.incarnationsToForget = append(c.incarnationsToForget, incarnation)
	}
}

// releaseRuns releases all runs of a worker, because none of them is active any
// more.
func (c *Core) releaseRuns(w *workerState, reason string) {
	for _, r := range w.runs {
		c.release(r, reason)
	}
}

// release frees the resources of a run. Its task waits again unless it is done.
func (c *Core) release(r *runState, reason string) {
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
	if t.isWaiting() {
		t.waitingSince = c.now.Monotonic
	}
	c.recordDecision(Decision{Kind: DecidedRunEnded, Task: r.name, Run: r.number, Host: w.host, Detail: reason, Waited: c.now.Monotonic - r.started})
}

// reserve adds a run to a worker and reserves its resources.
func (c *Core) reserve(w *workerState, t *task, name carobkeel.TaskName, run int) *runState {
	r := &runState{task: t, name: name, number: run, worker: w, started: c.now.Monotonic, observedFrom: c.now.Monotonic, pace: fullPace}
	if t != nil {
		r.reserved = t.step.spec.Reserved()
		t.runs = append(t.runs, r)
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
	c.orders = append(c.orders, Order{
		Host: r.worker.host, Incarnation: r.worker.description.Incarnation, Kind: OrderStop, Task: r.name, Run: r.number,
	})
}

// start orders the start of a task's next run on a worker.
func (c *Core) start(t *task, w *workerState) {
	r := c.reserve(w, t, t.name(), c.nextRun(t))
	r.ticket, _ = c.ticketFor(t.step, w)
	t.job().hasStarted = true
	c.orderStart(r)
	c.recordDecision(Decision{
		Kind: DecidedRunStarted, Task: r.name, Run: r.number, Host: w.host,
		Waited: c.now.Monotonic - max(t.waitingSince, t.step.readyAt),
	})
	if t.job().visibleState == carobkeel.JobPending {
		c.publishState(t.job(), carobkeel.JobActive)
	}
}

func (c *Core) orderStart(r *runState) {
	r.startOrders++
	c.orders = append(c.orders, Order{
		Host: r.worker.host, Incarnation: r.worker.description.Incarnation, Kind: OrderStart, Task: r.name, Run: r.number,
		Payload: r.task.job().spec.Payload, Checkpoint: r.task.checkpoint, Ticket: r.ticket,
	})
}

// recordIncarnation has a record of the worker's incarnation written, so that a
// later holder knows of it.
func (c *Core) recordIncarnation(w *workerState) {
	if w.recorded {
		return
	}
	c.workersToRecord = append(c.workersToRecord, WorkerRecord{Incarnation: w.description.Incarnation, Host: w.host})
}
