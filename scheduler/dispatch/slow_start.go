package dispatch

import (
	"fmt"
	"time"
)

const (
	// probeStarts is the first bound of a worker that has just begun, in starts without an answer.
	probeStarts = 4
	// fullStarts is the bound at which a slow start ends. A worker that accepts all starts reaches it
	// after two rounds.
	fullStarts = 4 * probeStarts
)

// slowStart bounds the starts without an answer on a worker that has just begun.
//
// It is for the moment when power returns to a rack or a whole fleet while a backlog waits. Without
// a bound, the whole backlog would be ordered at once from workers of which nothing is known yet. If
// these can't start tasks for a moment, each task is given up and waits until its worker's backoff is
// over. With the bound, only the most urgent tasks are ordered at first, and the others wait for
// workers that have accepted a start. Each accepted start raises the bound by one, so that it doubles
// with each round trip, and a round of refused starts halves it. A worker that accepts all starts has
// no bound after two round trips.
type slowStart struct {
	// isDecided reports that it has been decided whether the incarnation needs a slow start.
	isDecided bool
	// limit is the most starts without an answer, zero for no bound.
	limit int
	// beganAt is when the slow start began, and reducedAt when the bound was last halved.
	beganAt, reducedAt time.Duration
}

// begin bounds the starts to a probe.
func (s *slowStart) begin(now time.Duration) {
	s.limit, s.beganAt, s.reducedAt = probeStarts, now, 0
}

// isBounded reports whether the starts are bounded.
func (s *slowStart) isBounded() bool { return s.limit > 0 }

// permits reports whether a further start may be ordered beside those without an answer.
func (s *slowStart) permits(unanswered int) bool { return !s.isBounded() || unanswered < s.limit }

// accept raises the bound after an accepted start. It reports whether it ended the slow start.
func (s *slowStart) accept() bool {
	if !s.isBounded() {
		return false
	}
	if s.limit++; s.limit < fullStarts {
		return false
	}
	s.limit = 0
	return true
}

// refuse halves the bound after a refused start, unless the start was ordered before the bound was
// last halved. It reports whether it has halved the bound.
func (s *slowStart) refuse(orderedAt, now time.Duration) bool {
	if !s.isBounded() || orderedAt <= s.reducedAt {
		return false
	}
	s.limit, s.reducedAt = max(1, s.limit/2), now
	return true
}

// beginSlowStart begins the slow start of an incarnation at its first listing to this holder, unless
// the listing shows runs or ends: such an incarnation has accepted starts before, perhaps those of an
// earlier holder.
func (c *Core) beginSlowStart(w *workerState, l *WorkerListing) {
	s := &w.slowStart
	if s.isDecided || !c.config.Policy.FleetRecovery {
		return
	}
	s.isDecided = true
	if len(l.Running)+len(l.Ends) > 0 || l.Partial {
		return
	}
	s.begin(c.now.Monotonic)
	c.recordSlowStart(w, DecidedSlowStartBegun)
}

// raiseSlowStart raises the bound of a worker that has accepted a start. Tasks may start there that
// could not before.
func (c *Core) raiseSlowStart(w *workerState) {
	if !w.slowStart.isBounded() {
		return
	}
	c.markChanged(w)
	if w.slowStart.accept() {
		c.recordSlowStart(w, DecidedSlowStartEnded)
	}
}

// reduceSlowStart halves the bound of a worker that has refused a start.
func (c *Core) reduceSlowStart(r *runState) {
	if r.worker.slowStart.refuse(r.orderedAt, c.now.Monotonic) {
		c.recordSlowStart(r.worker, DecidedSlowStartReduced)
	}
}

// waitsForSlowStart reports whether a worker that has just begun gets no start of a task yet.
// Long-running tasks don't wait, since they should run again soon, nor do gangs, of which all
// members have to start at once, nor do starved tasks, since answers may be late.
func (c *Core) waitsForSlowStart(t *task, w *workerState) bool {
	if !w.slowStart.isBounded() || t.step.spec.LongRunning || t.step.spec.Gang {
		return false
	}
	return !w.slowStart.permits(w.countUnanswered()) && !c.isStarved(t)
}

// countUnanswered returns how many starts of the worker's runs have no answer. Those that are being
// stopped don't count: their answers may be lost.
func (w *workerState) countUnanswered() int {
	n := 0
	for _, r := range w.runs {
		if r.phase == runOrdered && !r.stopping {
			n++
		}
	}
	return n
}

func (c *Core) recordSlowStart(w *workerState, kind DecisionKind) {
	c.recordDecision(Decision{
		Kind: kind, Host: w.host, Waited: c.now.Monotonic - w.slowStart.beganAt, Detail: fmt.Sprintf("limit %d", w.slowStart.limit),
	})
}
