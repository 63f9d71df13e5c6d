package dispatch

import (
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// refusalBackoff is how long a worker that refused a start gets no further
	// start. An unhealthy one is quarantined for twice as long, and for twice as
	// long again with each further refusal, up to maxRefusals.
	refusalBackoff = 300 * time.Millisecond
	maxRefusals    = 4
	// minCommonWorkers is the least number of workers whose refusals may count as having a common
	// cause. Fewer may well be most of a small fleet by chance.
	minCommonWorkers = 3
)

// refusals is the evidence about a worker from the answers to its starts.
type refusals struct {
	// count counts the refusals since the last start that was accepted, up to the one whose
	// quarantine has the full duration. Starts of one round count once.
	count int
	// countedAt is when the last counted refusal was answered.
	countedAt time.Duration
	// until is when the quarantine that rests on refusals ends.
	until time.Duration
	// backoffUntil is when the worker may get starts again, also those of tasks that may use
	// quarantined workers.
	backoffUntil time.Duration
	// answer is the last counted answer.
	answer runs.Result
	// excused reports that a missing answer in a common round has been excused since the last
	// accepted start. The next one is not.
	excused bool
}

// refusalRound is a round of start orders that workers have refused or not answered. All of them were
// ordered before the first of these answers came. If most workers refuse in the same round, the cause
// is likely one that they share, for example that they have all just begun, and not a fault of each.
type refusalRound struct {
	// answeredAt is when the first of the orders was answered, zero before the first round.
	answeredAt time.Duration
	// workers are those that refused a start of the round, or did not answer it.
	workers map[*workerState]bool
	// common reports that these are most of the fleet.
	common bool
	// listed is the number of listed workers, counted at listedAt.
	listed   int
	listedAt time.Duration
}

// fleetCountInterval is how long a number of listed workers is used while it excuses none. All
// workers of a large fleet may refuse starts within moments.
const fleetCountInterval = 50 * time.Millisecond

// recordStartAnswer records a worker's answer to a start order as evidence about
// the worker.
func (c *Core) recordStartAnswer(r *runState, result runs.Result) {
	e := &r.worker.health.refusals
	switch result {
	case runs.ResultOK:
		e.count, e.excused = 0, false
		return
	case runs.ResultUnhealthy, runs.ResultUnknown:
		c.recordRefusal(r, result)
	case runs.ResultNoRoom, runs.ResultDraining, runs.ResultInvalid, runs.ResultExpired, runs.ResultUnconfirmed:
	default:
		return
	}
	c.reduceSlowStart(r)
	e.backoffUntil = max(e.backoffUntil, c.now.Monotonic+refusalBackoff)
}

// recordRefusal counts a start that was refused or got no answer, unless it was ordered before the
// last counted one was answered: both then belong to one piece of evidence.
func (c *Core) recordRefusal(r *runState, result runs.Result) {
	w, e := r.worker, &r.worker.health.refusals
	c.addToRound(r)
	if e.countedAt > 0 && r.orderedAt <= e.countedAt {
		return
	}
	e.countedAt, e.answer = c.now.Monotonic, result
	if c.refusalRound.common && e.excuse() {
		return
	}
	if result == runs.ResultUnknown {
		c.quarantineRefusing(w, quarantineDuration, "a start without an answer")
		return
	}
	e.count = min(e.count+1, maxRefusals)
	c.quarantineRefusing(w, min(quarantineDuration, refusalBackoff<<e.count), "starts refused")
}

// excuse reports whether the last counted answer is no evidence against the worker, given that its
// round is common. A refusal always is excused, as it costs no more than the backoff. A missing answer
// holds its task back for longer, so only the first one is excused.
func (e *refusals) excuse() bool {
	if e.answer != runs.ResultUnknown {
		return true
	}
	wasExcused := e.excused
	e.excused = true
	return !wasExcused
}

// addToRound adds the worker of a refused start to the round of the order, or to a new round if
// the start was ordered later.
func (c *Core) addToRound(r *runState) {
	round := &c.refusalRound
	if round.answeredAt == 0 || r.orderedAt > round.answeredAt {
		*round = refusalRound{answeredAt: c.now.Monotonic, workers: make(map[*workerState]bool)}
	}
	round.workers[r.worker] = true
	if round.common || !c.isCommon(round) {
		return
	}
	round.common = true
	c.withdrawRefusals()
}

// isCommon reports whether the workers of a round are most of the fleet.
func (c *Core) isCommon(round *refusalRound) bool {
	if len(round.workers) < minCommonWorkers {
		return false
	}
	if round.isMost() || c.now.Monotonic-round.listedAt >= fleetCountInterval {
		round.listed, round.listedAt = c.countListed(), c.now.Monotonic
	}
	return round.isMost()
}

// isMost reports whether the workers of the round are most of those counted.
func (r *refusalRound) isMost() bool {
	return float64(len(r.workers)) > maxFailingShare*float64(r.listed)
}

// withdrawRefusals ends the quarantines that rest on the refusals of a common round.
func (c *Core) withdrawRefusals() {
	round := &c.refusalRound
	for w := range round.workers {
		e := &w.health.refusals
		if e.countedAt < round.answeredAt || !e.excuse() {
			continue
		}
		if e.answer == runs.ResultUnhealthy {
			e.count = max(0, e.count-1)
		}
		e.until = 0
	}
	c.recordDecision(Decision{
		Kind: DecidedCommonRefusal, Detail: fmt.Sprintf("%d of %d workers", len(round.workers), c.countListed()),
	})
}

// countListed returns the number of workers that have listed their runs and do not drain.
func (c *Core) countListed() int {
	n := 0
	for _, w := range c.workers {
		if w.reachable && w.listed && !w.description.Draining {
			n++
		}
	}
	return n
}

// quarantineRefusing quarantines a worker for the answer to a start.
func (c *Core) quarantineRefusing(w *workerState, duration time.Duration, reason string) {
	until := c.now.Monotonic + duration
	if until <= max(w.health.refusals.until, w.health.quarantinedUntil) {
		return
	}
	w.health.refusals.until = until
	c.recordDecision(Decision{Kind: DecidedWorkerQuarantined, Host: w.host, Detail: reason})
}
