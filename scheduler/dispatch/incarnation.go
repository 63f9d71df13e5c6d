package dispatch

import (
	"slices"

	"github.com/carobkeel/carobkeel/worker/runs"
)

// DescribeWorker applies a worker's description. That of another incarnation than the known one
// is only a hint: it may go back to a heartbeat that was late or came from another host's
// worker. The known one is replaced once the other has listed its runs.
func (c *Core) DescribeWorker(host string, d runs.Description) {
	w := c.worker(host)
	switch {
	case w.description.Incarnation == d.Incarnation:
		c.describeKnown(w, d)
	case w.isEstablished():
		c.holdCandidate(w, d)
	default:
		c.replaceIncarnation(w, d)
	}
}

// isEstablished reports whether the known incarnation has listed its runs to a holder. Otherwise
// its description, if there is one, is only a hint too.
func (w *workerState) isEstablished() bool { return w.hasListed || w.recorded }

// describeKnown applies a description of the known incarnation.
func (c *Core) describeKnown(w *workerState, d runs.Description) {
	w.candidate = nil
	if d.Sequence < w.description.Sequence {
		return
	}
	if d.Draining && !w.description.Draining {
		c.recordDecision(Decision{Kind: DecidedWorkerDraining, Host: w.host, Waited: d.Remaining})
	}
	w.description = d
}

// holdCandidate keeps the description of an incarnation that may have replaced the known one.
// Nothing is sent to the known one before it has listed its runs again. Its lease is taken as
// extended as long as the sidecar reaches a worker.
func (c *Core) holdCandidate(w *workerState, d runs.Description) {
	w.reachable, w.listed = false, false
	if w.candidate == nil || w.candidate.Incarnation != d.Incarnation {
		c.recordDecision(Decision{Kind: DecidedOtherIncarnation, Host: w.host, Detail: describeStarts(w, d.Incarnation)})
	} else if d.Sequence < w.candidate.Sequence {
		return
	}
	w.candidate = &d
}

// acceptCandidate replaces the known incarnation by the candidate if that is the one that has
// listed. The sidecar lists at the worker's address, so the known one is not there any more.
func (c *Core) acceptCandidate(w *workerState, listed runs.Incarnation) {
	if w.candidate != nil && w.candidate.Incarnation == listed {
		c.replaceIncarnation(w, *w.candidate)
	}
}

// replaceIncarnation makes an incarnation the known one.
func (c *Core) replaceIncarnation(w *workerState, d runs.Description) {
	w.candidate = nil
	restarted := w.isEstablished()
	if restarted {
		c.recordDecision(Decision{Kind: DecidedWorkerRestarted, Host: w.host, Detail: describeStarts(w, d.Incarnation)})
		c.endIncarnation(w, d)
		w.replaced = append(w.replaced, w.description.Incarnation)
	}
	recorded := c.recordedIncarnations[d.Incarnation] == w.host
	w.replaced = slices.DeleteFunc(w.replaced, func(i runs.Incarnation) bool { return i == d.Incarnation })
	w.description = d
	w.listed, w.hasListed, w.recorded = false, false, recorded
	w.lateExpiry, w.recordedLate = 0, recorded && c.unreportedWorkers[d.Incarnation].lateExpiry > 0
	w.lastEnd, w.pendingEnds, w.acknowledged = 0, nil, 0
	w.followsEnds = restarted && !recorded
	w.health = health{}
	w.slowStart = slowStart{}
	w.stall = stallState{lastProgress: c.now.Monotonic}
	w.control = paceControl{}
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
		r.listed = false
		r.confirmed, r.stopConfirmedAt = listingMark{}, listingMark{}
	}
}

// reasonRestarted is the reason for the release of runs that ended with an incarnation.
const reasonRestarted = "worker restarted"
