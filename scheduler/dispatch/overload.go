package dispatch

import (
	"fmt"
	"math"
	"time"
)

// overload says whether so many batch tasks of the shard wait for room that moves and copies of
// running tasks would take it from them. Without it, a shard under a burst of large best-effort jobs
// stops and restarts runs while other tasks wait for the same room.
//
// A new holder begins as not overloaded and measures for itself.
type overload struct {
	active bool
	// pressure is the demand that waited at the last measure as a multiple of the demand that was
	// served, and measuredAt is when that was.
	pressure   float64
	measuredAt time.Duration
	// crossedAt is since when the pressure has been beyond the threshold at which active changes,
	// zero if it is not.
	crossedAt time.Duration
	// activeSince is when the overload began.
	activeSince time.Duration
	// first is the most urgent step that waits for room, nil if none does.
	first *stepState
	// withheldMoves and withheldCopies count what was withheld in this overload.
	withheldMoves, withheldCopies int
}

const (
	// overloadMeasureInterval is the time between two measures.
	overloadMeasureInterval = 100 * time.Millisecond
	// From overloadEnterPressure on a shard becomes overloaded, and from overloadLeavePressure
	// down it ceases to be. Between the two, the state stays as it is. A shard clears a queue of a
	// quarter of what is running within the time of one task, so that is not an overload.
	overloadEnterPressure = 0.25
	overloadLeavePressure = 0.1
	// overloadEnterDelay and overloadLeaveDelay are how long the pressure must have been beyond the
	// threshold. A burst that is over within a second delays no caller by more than that.
	overloadEnterDelay = time.Second
	overloadLeaveDelay = 2 * time.Second
)

// overloadMeasure is the load of a shard by batch tasks, in thousandths of a core.
type overloadMeasure struct {
	// waiting is the demand of the tasks that found no room. running is the demand of the running
	// tasks, each multiplied by its pace.
	waiting, running int64
}

// pressure returns the demand that waits as a multiple of the demand that is served.
func (m overloadMeasure) pressure() float64 {
	return float64(m.waiting) / float64(max(1, m.running))
}

// update takes a measure and reports whether the state has changed.
func (o *overload) update(now time.Duration, m overloadMeasure) bool {
	o.pressure, o.measuredAt = m.pressure(), now
	beyond, delay := o.pressure >= overloadEnterPressure, overloadEnterDelay
	if o.active {
		beyond, delay = o.pressure <= overloadLeavePressure, overloadLeaveDelay
	}
	switch {
	case !beyond:
		o.crossedAt = 0
		return false
	case o.crossedAt == 0:
		o.crossedAt = now
	}
	if now-o.crossedAt < delay {
		return false
	}
	o.active, o.crossedAt = !o.active, 0
	if o.active {
		o.activeSince, o.withheldMoves, o.withheldCopies = now, 0, 0
	}
	return true
}

// maxCopyShare is the largest share of the running tasks of a shard that may be copies, while
// no task waits.
const maxCopyShare = 0.1

// copyBudget returns how many copies may run beside the given number of running tasks. It
// shrinks to zero as tasks wait for room.
func (o *overload) copyBudget(running int) int {
	if o.active {
		return 0
	}
	free := max(0, 1-o.pressure/overloadEnterPressure)
	return int(math.Ceil(free * maxCopyShare * float64(running)))
}

const (
	// moveTime is how long a moved task does no work: while it is stopped, started on the other
	// worker, and restored from the progress that was saved at the stop.
	moveTime = time.Second
	// minMoveGain is the least time that a move must be expected to save.
	minMoveGain = 300 * time.Millisecond
	// minAssumedPace is the least pace, in percent, that a run is assumed to have for the rest of
	// its time. A lower one will not last, since paces follow loads that change within seconds.
	minAssumedPace = 10
)

// movePays reports whether a run with the given pace would end sooner on a worker that runs it at
// full pace, by minMoveGain at least. Left is how long the rest of the run takes at full pace.
func movePays(left time.Duration, pace int) bool {
	here := left * fullPace / time.Duration(max(minAssumedPace, pace))
	return here >= moveTime+left+minMoveGain
}

// measureOverload measures the load after a pass that left tasks of the steps waiting.
func (c *Core) measureOverload(waiting []*stepState) {
	o := &c.overload
	if !c.config.Policy.OverloadControl {
		return
	}
	if due := o.measuredAt + overloadMeasureInterval; c.now.Monotonic < due {
		c.wakeAt(due)
		return
	}
	m := overloadMeasure{running: c.servedDemand()}
	o.first = nil
	for _, s := range waiting {
		n := c.countStartable(s)
		if n == 0 || s.spec.LongRunning {
			continue
		}
		if o.first == nil {
			o.first = s
		}
		m.waiting += int64(n) * s.spec.Demand.MilliCPU
	}
	if o.update(c.now.Monotonic, m) {
		c.reportOverload(m)
	}
	if o.active || o.crossedAt != 0 {
		c.wakeAt(c.now.Monotonic + overloadMeasureInterval)
	}
}

// servedDemand returns the sum of the demands of the running batch tasks, each multiplied by its
// pace, in thousandths of a core.
func (c *Core) servedDemand() int64 {
	var demand int64
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.task != nil && !r.stopping && !r.task.step.spec.LongRunning {
				demand += r.task.step.spec.Demand.MilliCPU * int64(r.pace) / fullPace
			}
		}
	}
	return demand
}

// countStartable returns how many tasks of a step can start.
func (c *Core) countStartable(s *stepState) int {
	n := 0
	if !c.holdsBackUntouched(s) {
		n = s.tasks.untouched
	}
	for _, t := range s.tasks.queue {
		if c.canStart(t) {
			n++
		}
	}
	return n
}

// reportOverload records the begin or the end of an overload.
func (c *Core) reportOverload(m overloadMeasure) {
	o := &c.overload
	if o.active {
		c.recordDecision(Decision{Kind: DecidedOverloadBegan, Detail: fmt.Sprintf("waiting_mcpu=%d running_mcpu=%d", m.waiting, m.running)})
		return
	}
	c.recordDecision(Decision{
		Kind: DecidedOverloadEnded, Waited: c.now.Monotonic - o.activeSince,
		Detail: fmt.Sprintf("withheld_moves=%d withheld_copies=%d", o.withheldMoves, o.withheldCopies),
	})
}

// mayMove reports whether a slow run may take room on another worker. The move must save time and,
// under overload, no step that waits for room may be more urgent than that of the run.
func (c *Core) mayMove(r *runState) bool {
	if !c.config.Policy.OverloadControl {
		return true
	}
	s := r.task.step
	if typical := s.typicalDuration(); typical > 0 && !movePays(typical*time.Duration(fullPercent-r.percent)/fullPercent, r.pace) {
		return false
	}
	if !c.overload.active || c.overload.first == nil {
		return true
	}
	s.valueRate = c.valueRate(s)
	return c.compareUrgency(s, c.overload.first) <= 0
}

// withholdMove records that a run stays where it is although another worker has room. It begins to
// count as slow anew, so that it isn't considered again in each pass.
func (c *Core) withholdMove(r *runState) {
	r.slowSince = c.now.Monotonic
	c.overload.withheldMoves++
	c.recordDecision(Decision{Kind: DecidedMoveWithheld, Task: r.name, Run: r.number, Host: r.worker.host})
}

// mayCopy reports whether one more copy of a running task may start, and counts one that may.
func (c *Core) mayCopy(p *pass, s *stepState) bool {
	if !c.config.Policy.OverloadControl {
		return true
	}
	if p.copies == nil {
		p.copies = c.countCopies()
	}
	if p.copies.copies < c.overload.copyBudget(p.copies.running) {
		p.copies.running++
		p.copies.copies++
		return true
	}
	c.withholdCopy(s)
	return false
}

// copyReportInterval is the least time between two reports of copies of one step that are
// withheld: each pass looks at its stragglers again.
const copyReportInterval = time.Second

// withholdCopy records that tasks of a step get no copies.
func (c *Core) withholdCopy(s *stepState) {
	if c.now.Monotonic < s.copyReportDue {
		return
	}
	s.copyReportDue = c.now.Monotonic + copyReportInterval
	c.overload.withheldCopies++
	c.recordDecision(Decision{Kind: DecidedCopyWithheld, Job: s.occurrence.job.spec.ID})
}

// copyCount is how many runs of batch tasks there are, and how many of them are copies.
type copyCount struct{ running, copies int }

// countCopies counts the runs of batch tasks.
func (c *Core) countCopies() *copyCount {
	n := &copyCount{}
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.task == nil || r.task.step.spec.LongRunning {
				continue
			}
			n.running++
			if len(r.task.runs) > 1 && r != r.task.runs[0] {
				n.copies++
			}
		}
	}
	return n
}
