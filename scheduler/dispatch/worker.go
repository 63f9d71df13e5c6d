package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// workerState is the worker of one host.
type workerState struct {
	host        string
	description runs.Description
	// reachable reports that the sidecar is linked and reaches its worker.
	reachable bool
	linked    bool
	// link is the last link of the host.
	link Link
	// unresponsive reports that the sidecar can't reach its worker, or that the
	// worker has shut down. The sidecar's pings do not extend the worker's lease
	// in this state. shutDown reports that it is the departure that was reported.
	unresponsive, shutDown bool
	// listed reports that the worker has listed its runs in this epoch.
	listed bool
	// hasListed reports that this incarnation has listed runs to this holder at some time.
	hasListed bool
	// lastPing is the number of the sidecar's last ping on the current link, zero
	// before the first one.
	lastPing uint64
	// leaseExpiry is when a lease that was extended for this holder has certainly expired, and
	// lateExpiry when one has that a late call may have given the incarnation.
	leaseExpiry, lateExpiry time.Duration
	// recordedLate reports that the store has a record by which a later holder counts the
	// late lease.
	recordedLate bool
	// hadOtherProcess reports that another process of the sidecar was linked before, to this
	// holder or probably to an earlier one.
	hadOtherProcess bool
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
	lastEnd uint64
	// followsEnds reports that this holder has read the incarnation's ends from the first
	// one, or from one that an earlier holder left to it.
	followsEnds bool
	pendingEnds []pendingEnd
	// endsCutOff reports that the last full listing had as many ends as a worker lists at a
	// time. Further ones follow once these are acknowledged.
	endsCutOff bool
	// acknowledged is the number up to which the effects of ends are durable.
	acknowledged uint64
	// candidate is another incarnation that was described over the present link after the
	// known one, nil for none. It replaces the known one once it has listed its runs.
	candidate *runs.Description
	// replaced are the earlier incarnations whose records are kept until this one has
	// listed its runs: under the same ID it may begin theirs.
	replaced []runs.Incarnation
	// recorded reports that the store has a record of this incarnation, so that
	// a later holder knows of it. No task starts on the worker before.
	recorded  bool
	health    health
	stall     stallState
	slowStart slowStart
	control   paceControl
}

// unreportedWorker is a worker incarnation that an earlier holder used.
type unreportedWorker struct {
	host string
	// goneFrom is when it has certainly exited after its departure was reported.
	goneFrom time.Duration
	// lateExpiry is when a lease that a late call may have given it has certainly expired, zero if
	// there is none.
	lateExpiry time.Duration
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
