package dispatch

import (
	"math"
	"slices"
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
	// in this state.
	unresponsive bool
	// listed reports that the worker has listed its runs in this epoch.
	listed bool
	// lastPing is the number of the sidecar's last ping on the current link, zero
	// before the first one.
	lastPing uint64
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
	lastEnd uint64
	// followsEnds reports that this holder has read the incarnation's ends from the first
	// one, or from one that an earlier holder left to it.
	followsEnds bool
	pendingEnds []pendingEnd
	// acknowledged is the number up to which the effects of ends are durable.
	acknowledged uint64
	// earlier is a description of an incarnation that began before the known one, nil
	// if the known one was described since. It comes from a late heartbeat, or the
	// clock was set back; it is accepted from earlierFrom on.
	earlier     *runs.Description
	earlierFrom time.Duration
	// replaced are the earlier incarnations under the same ID whose runs this one may
	// begin, until it has listed its runs.
	replaced []runs.Incarnation
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

// DescribeWorker applies a worker's description. A new incarnation runs nothing
// that the previous one ran.
func (c *Core) DescribeWorker(host string, d runs.Description) {
	w := c.worker(host)
	if w.description.Incarnation != d.Incarnation {
		if c.mayBeOutdated(w, d) {
			c.holdBack(w, d)
			return
		}
		c.replaceIncarnation(w, d)
		return
	}
	w.earlier = nil
	if d.Sequence < w.description.Sequence {
		return
	}
	if d.Draining && !w.description.Draining {
		c.recordDecision(Decision{Kind: DecidedWorkerDraining, Host: host, Waited: d.Remaining})
	}
	w.description = d
}

// mayBeOutdated reports whether a description of another incarnation may come from a late
// heartbeat: the incarnation began before the known one, whose runs may go on.
func (c *Core) mayBeOutdated(w *workerState, d runs.Description) bool {
	return w.description.ID != "" && len(w.runs) > 0 && d.StartedAtMs < w.description.StartedAtMs
}

// holdBack keeps a description that may be outdated until no lease of the known
// incarnation can be valid: its sidecar extends none while it describes another one.
func (c *Core) holdBack(w *workerState, d runs.Description) {
	w.reachable, w.listed = false, false
	if w.earlier != nil && w.earlier.Incarnation == d.Incarnation {
		w.earlier = &d
		return
	}
	w.earlier = &d
	w.earlierFrom = c.now.Monotonic + maxLeaseDuration(c.config.WorkerLease)
	c.recordDecision(Decision{Kind: DecidedEarlierIncarnation, Host: w.host, Detail: describeStarts(w, d.Incarnation)})
}

// acceptEarlier replaces the known incarnation by the earlier one that was described since,
// once no lease of the known one can be valid.
func (c *Core) acceptEarlier(w *workerState) {
	if w.earlier != nil && c.now.Held >= w.earlierFrom {
		c.replaceIncarnation(w, *w.earlier)
	}
}

func (c *Core) replaceIncarnation(w *workerState, d runs.Description) {
	w.earlier = nil
	known := w.description.ID != ""
	if known {
		c.recordDecision(Decision{Kind: DecidedWorkerRestarted, Host: w.host, Detail: describeStarts(w, d.Incarnation)})
		c.endIncarnation(w, d)
		w.replaced = append(w.replaced, w.description.Incarnation)
	}
	// After a late heartbeat of an earlier incarnation, the present one is described again.
	w.replaced = slices.DeleteFunc(w.replaced, func(i runs.Incarnation) bool { return i == d.Incarnation })
	c.forgetUnreported(w.host, d.Incarnation, true)
	w.description = d
	w.listed = false
	w.recorded = c.recordedIncarnations[d.Incarnation]
	w.lastEnd, w.pendingEnds, w.acknowledged = 0, nil, 0
	w.followsEnds = known
	w.health = health{}
	w.stall = stallState{lastProgress: c.now.Monotonic}
	w.control = paceControl{}
}

// forgetReplaced drops the incarnations that the present one has replaced, of whose runs none
// can begin any more.
func (c *Core) forgetReplaced(w *workerState) {
	for _, incarnation := range w.replaced {
		c.dropRecord(incarnation)
	}
	w.replaced = nil
}

// endIncarnation releases the runs of an incarnation that another one replaces. A worker that
// restarts under its ID may begin what was sent to its earlier incarnation until its sidecar
// has reached it, so those runs are kept until the next incarnation has listed what it runs.
func (c *Core) endIncarnation(w *workerState, next runs.Description) {
	for _, r := range w.runs {
		if next.ID != w.description.ID {
			c.release(r, reasonRestarted+": "+describeReplacement(w, next.Incarnation))
			continue
		}
		r.carriedOver, r.percent, r.observedFrom = true, 0, c.now.Monotonic
		r.phase, r.inconclusive, r.stopConfirmed = runOrdered, false, false
		r.confirmed, r.stopConfirmedAt = listingMark{}, listingMark{}
	}
}

// reasonRestarted is the reason for the release of runs that ended with an incarnation.
const reasonRestarted = "worker restarted"

// forgetUnreported drops the incarnations of a host's worker that began before the given
// one. It may be described by a late heartbeat, so later ones are kept. With keepSameID, those
// under its ID are kept too: it may begin what was sent to them.
func (c *Core) forgetUnreported(host string, incarnation runs.Incarnation, keepSameID bool) {
	for old, oldHost := range c.unreportedWorkers {
		if oldHost != host || old == incarnation || old.StartedAtMs > incarnation.StartedAtMs {
			continue
		}
		if keepSameID && old.ID == incarnation.ID {
			continue
		}
		delete(c.unreportedWorkers, old)
		c.dropRecord(old)
	}
}

// forgetAllUnreported drops the incarnations of a host's worker that have not listed.
func (c *Core) forgetAllUnreported(host string) {
	c.forgetUnreported(host, runs.Incarnation{StartedAtMs: math.MaxInt64}, false)
}

// forgetIncarnation drops the record of an incarnation without runs. If the
// worker reports again, a new record is written before anything starts there.
func (c *Core) forgetIncarnation(w *workerState) {
	c.forgetReplaced(w)
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

// recordIncarnation has a record of the worker's incarnation written, so that a
// later holder knows of it.
func (c *Core) recordIncarnation(w *workerState) {
	if w.recorded {
		return
	}
	c.workersToRecord = append(c.workersToRecord, WorkerRecord{Incarnation: w.description.Incarnation, Host: w.host})
}
