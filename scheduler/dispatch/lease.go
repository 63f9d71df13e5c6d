package dispatch

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// HostLinked records that the sidecar of a host has opened a new link.
func (c *Core) HostLinked(host string, link Link) {
	w := c.worker(host)
	if w.linked && w.link == link {
		return
	}
	w.hadOtherProcess = w.hadOtherProcess || (w.link != Link{} && w.link.Process != link.Process)
	w.linked, w.link = true, link
	w.listed, w.reachable, w.unresponsive, w.shutDown, w.follows = false, false, false, false, false
	w.candidate, w.lastPing = nil, 0
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

// HostPinged records a ping from the sidecar of a host, by its number on the current
// link. Zero stands for a sign of life that is no ping.
func (c *Core) HostPinged(host string, number uint64) {
	w := c.worker(host)
	w.lastPing = max(w.lastPing, number)
	c.extendLease(w)
}

// LeaseExtended records that the sidecar of a host may extend the worker's lease, after an
// answer on a link that is not the current one any more. That the worker answers again may
// have been reported on such a link too, so an earlier report that it does not says nothing.
func (c *Core) LeaseExtended(host string) {
	c.raiseLeaseExpiry(c.worker(host))
}

// extendLease records that the sidecar may extend the worker's lease from now on, unless it
// has reported that the worker does not answer.
func (c *Core) extendLease(w *workerState) {
	if !w.unresponsive {
		c.raiseLeaseExpiry(w)
	}
}

// raiseLeaseExpiry counts a lease that is extended now at the latest.
func (c *Core) raiseLeaseExpiry(w *workerState) {
	w.leaseExpiry = max(w.leaseExpiry, c.now.Monotonic+maxLeaseDuration(c.config.WorkerLease))
}

// countLateLease counts the lease that a late call may have given an incarnation that follows
// another one under its ID, with the first listing of the incarnation to this holder. Calls that
// are later than that are refused by their fence.
func (c *Core) countLateLease(w *workerState, l *WorkerListing) {
	if w.hasListed {
		return
	}
	evidence := c.lateLeaseEvidence(w, l)
	remaining := min(l.LateLease.Remaining, maxLeaseDuration(c.config.MaxLease))
	switch {
	case evidence == lateStartMayHaveBegun:
		remaining = c.config.MaxLease
	case remaining <= 0:
		return // the sidecar rules out that a call was late
	}
	d := Decision{Kind: DecidedLateLease, Host: w.host, Detail: string(evidence), Incarnation: l.Incarnation, Waited: maxLeaseDuration(remaining)}
	if evidence.isNone() {
		d.Kind = DecidedLateLeaseRuledOut
	} else {
		w.lateExpiry = c.now.Monotonic + d.Waited
	}
	c.recordDecision(d)
}

// lateLeaseEvidence returns whether a late call may have extended the lease of an incarnation whose
// sidecar can't rule that out, and why. The calls of earlier processes of the sidecar matter only
// if there was such a process and an earlier incarnation, as far as this holder or its
// predecessors know.
func (c *Core) lateLeaseEvidence(w *workerState, l *WorkerListing) lateLeaseEvidence {
	follows := c.followsUnderItsID(w)
	switch {
	case follows && len(l.Running)+len(l.Ends) > 0:
		return lateStartMayHaveBegun
	case l.LateLease.Unanswered:
		return lateCallUnanswered
	case c.unreportedWorkers[l.Incarnation].lateExpiry > 0:
		return lateLeaseRecorded
	case !follows:
		return noEarlierIncarnation
	case !w.hadOtherProcess:
		return noEarlierProcess
	case c.followsEndedUnderItsID(w):
		return lateCallBeforeEnd
	}
	return lateCallOfEarlierProcess
}

// hasLateLease reports whether a late call may have extended the lease of the worker beyond the one
// that the holder counts otherwise. If its host is lost, its tasks wait for the longest lease.
func (c *Core) hasLateLease(w *workerState) bool { return c.now.Monotonic < w.lateExpiry }

// recordLateLeaseOver has the record of a worker rewritten once a late lease is over, so that a
// later holder doesn't count it.
func (c *Core) recordLateLeaseOver(w *workerState) {
	if !w.recordedLate || !w.recorded || !w.hasListed || c.now.Held < w.lateExpiry {
		return
	}
	w.recordedLate = false
	c.record(w)
}

// followsUnderItsID reports whether another incarnation under the worker's ID preceded it.
func (c *Core) followsUnderItsID(w *workerState) bool {
	known := w.description.Incarnation
	for incarnation, u := range c.unreportedWorkers {
		if u.host == w.host && incarnation.ID == known.ID && incarnation != known {
			return true
		}
	}
	return c.followsEndedUnderItsID(w) || slices.ContainsFunc(w.replaced, func(i runs.Incarnation) bool { return i.ID == known.ID })
}

// followsEndedUnderItsID reports whether an incarnation under the worker's ID has ended before it.
func (c *Core) followsEndedUnderItsID(w *workerState) bool {
	known := w.description.Incarnation
	for incarnation, e := range c.endedWorkers {
		if e.host == w.host && incarnation.ID == known.ID && incarnation != known {
			return true
		}
	}
	return false
}

// expiry returns when no lease of the worker can be valid any more.
func (w *workerState) expiry() time.Duration { return max(w.leaseExpiry, w.lateExpiry) }

// HostLost records that the link of a host has ended.
func (c *Core) HostLost(host string) {
	w := c.worker(host)
	w.linked, w.reachable, w.listed = false, false, false
	w.candidate = nil
	c.recordDecision(Decision{Kind: DecidedLinkLost, Host: host, Waited: w.leaseExpiry - c.now.Monotonic, Detail: c.describeLateLease(w)})
}

// WorkerUnreachable records that the sidecar of a host can't reach its worker, whose
// lease expires after remaining. A negative value means that the sidecar does
// not know the time. The worker may run the tasks of late starts, by a later incarnation under its ID.
func (c *Core) WorkerUnreachable(host string, remaining time.Duration, lateStarts ...carobkeel.TaskName) {
	w := c.worker(host)
	c.updateLateStarts(w, lateStarts)
	if w.unresponsive {
		c.countLaterReport(w, remaining)
		return
	}
	w.reachable, w.listed, w.unresponsive = false, false, true
	if remaining >= 0 && remaining < c.config.WorkerLease && !c.isInDoubt(w) {
		expiry := c.now.Monotonic + maxLeaseDuration(remaining)
		w.leaseExpiry = min(w.leaseExpiry, expiry)
		w.inheritedExpiry = min(w.inheritedExpiry, expiry)
	}
	c.recordDecision(Decision{Kind: DecidedWorkerUnreachable, Host: host, Waited: remaining, Detail: c.describeLateLease(w)})
}

// countLaterReport counts the lease that a further report states. The worker may have answered
// since the one before, in a listing that this holder dropped, and its lease was extended then.
func (c *Core) countLaterReport(w *workerState, remaining time.Duration) {
	if remaining <= 0 || w.shutDown {
		return
	}
	expiry := c.now.Monotonic + maxLeaseDuration(min(remaining, c.config.WorkerLease))
	w.leaseExpiry, w.inheritedExpiry = max(w.leaseExpiry, expiry), max(w.inheritedExpiry, expiry)
}

// isInDoubt reports whether what the sidecar of a host says of its worker's lease may be about
// another incarnation than the one whose runs this holder waits for.
func (c *Core) isInDoubt(w *workerState) bool {
	if w.candidate != nil {
		return true
	}
	for incarnation, u := range c.unreportedWorkers {
		if u.host == w.host && w.description.ID != "" && w.description.Incarnation != incarnation {
			return true
		}
	}
	return false
}

// mayHaveInheritedRuns reports whether runs that an earlier holder started may
// be active on the worker although it has not listed them.
func (c *Core) mayHaveInheritedRuns(w *workerState) bool {
	for _, u := range c.unreportedWorkers {
		if u.host == w.host {
			return true
		}
	}
	return false
}

// WorkerShutDown records that an incarnation of a host's worker has shut down. The sidecar
// reports that once the incarnation does not answer at the worker's address any more. A
// listing of it in the next moments refutes the report.
func (c *Core) WorkerShutDown(host string, incarnation runs.Incarnation) {
	goneFrom := c.now.Monotonic + exitGrace
	if u, unreported := c.unreportedWorkers[incarnation]; unreported && u.host == host {
		u.goneFrom = goneFrom
		c.unreportedWorkers[incarnation] = u
	}
	w := c.workers[host]
	if w == nil || w.description.Incarnation != incarnation {
		return
	}
	c.recordDecision(Decision{Kind: DecidedWorkerShutDown, Host: host, Detail: incarnation.ID})
	w.reachable, w.listed, w.unresponsive, w.shutDown = false, false, true, true
	w.leaseExpiry, w.lateExpiry = min(w.leaseExpiry, goneFrom), min(w.lateExpiry, goneFrom)
}

// exitGrace is how long a worker may take to exit after its departure was reported.
const exitGrace = 500 * time.Millisecond

// expireLeases releases the runs of workers whose lease has expired. A later holder
// may have extended those that expired after Now.Held.
func (c *Core) expireLeases() {
	for _, w := range c.workers {
		c.recordLateLeaseOver(w)
		if w.reachable || w.listed || c.now.Held < w.expiry() {
			continue
		}
		delete(c.partlyListed, w.host)
		c.expireInheritedOn(w)
		idle := len(w.runs) == 0 && len(w.replaced) == 0 && !w.recorded
		if idle || c.mayHaveInheritedRuns(w) {
			continue
		}
		evidence := describeExpiry(w, c.now.Held)
		c.recordDecision(Decision{Kind: DecidedLeaseExpired, Host: w.host, Detail: evidence})
		c.releaseRuns(w, "lease expired: "+evidence)
		c.endRecords(w)
	}
}

// expireInheritedOn drops the incarnations of a worker that have not listed to
// this holder, once no lease of an earlier holder can be valid there.
func (c *Core) expireInheritedOn(w *workerState) {
	if !w.linked || !w.follows || !w.unresponsive || c.now.Held < c.inheritedExpiryOn(w) || !c.mayHaveInheritedRuns(w) {
		return
	}
	c.recordDecision(Decision{Kind: DecidedInheritedLeaseExpired, Host: w.host, Detail: c.describeInherited(w.description.Incarnation, w.host)})
	c.endAllUnreported(w.host)
}

// inheritedExpiryOn returns when the leases that the sidecar of a worker, which follows this
// holder, has extended for earlier ones have certainly expired, and those that late calls have.
func (c *Core) inheritedExpiryOn(w *workerState) time.Duration {
	expiry := w.inheritedExpiry
	for _, u := range c.unreportedWorkers {
		if u.host == w.host {
			expiry = max(expiry, u.lateExpiry)
		}
	}
	return expiry
}
