package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// gangReservationDelay is how long a gang waits before resources are
	// reserved for it.
	gangReservationDelay = time.Second
	// longRunningPreemptionDelay is how long a long-running task waits before
	// it preempts other tasks: it should be running again within 3 s.
	longRunningPreemptionDelay = 200 * time.Millisecond
	// preemptionDelay is how long other tasks of the highest priority wait
	// before they preempt: a task of one second should end within 1.8 s.
	preemptionDelay = 300 * time.Millisecond
)

// highestPriority is the highest priority. Only its tasks may preempt others.
const highestPriority = 0

// makeRoom reserves resources for a task that found no room, and preempts less
// urgent runs if there is no other way. It reports whether it is worth trying
// the other tasks of the step.
func (c *Core) makeRoom(p *pass, t *task) bool {
	if c.queueOf(t.job()).Priority != highestPriority {
		return false
	}
	demand := t.step.spec.Reserved()
	if w := c.workerFreeAfterStops(p, t, demand); w != nil {
		p.reservations[w] = p.reservations[w].Add(demand)
		return true
	}
	delay := preemptionDelay
	if t.step.spec.LongRunning {
		delay = longRunningPreemptionDelay
	}
	since := t.waitsSince()
	if c.now.Monotonic-since < delay {
		c.wakeAt(since + delay)
		return false
	}
	w, victims := c.cheapestVictims(p, t)
	if w == nil {
		return false
	}
	for _, v := range victims {
		c.stop(v, "preempted by "+t.name().String())
	}
	p.reservations[w] = p.reservations[w].Add(demand)
	return true
}

// workerFreeAfterStops returns a worker that has room once the runs that are
// being stopped have ended.
func (c *Core) workerFreeAfterStops(p *pass, t *task, demand carobkeel.Resources) *workerState {
	for _, w := range p.workers {
		if c.isAllowed(t, w) && demand.FitsIn(w.freeAfterStops().Sub(c.claimed(p, t, w))) {
			return w
		}
	}
	return nil
}

// freeAfterStops returns the free resources once all runs that are being
// stopped have ended.
func (w *workerState) freeAfterStops() carobkeel.Resources { return w.free().Add(w.beingStopped) }

// preemptibleRuns holds the runs of a worker that tasks of the highest priority
// may preempt, ordered by the work that would be lost, the least first.
type preemptibleRuns struct {
	runs []*runState
	// total is the sum of the resources that the runs hold.
	total carobkeel.Resources
}

// preemptibleOn returns the runs of a worker that tasks of the highest priority
// may preempt.
func (c *Core) preemptibleOn(p *pass, w *workerState) *preemptibleRuns {
	if s := p.preemptible[w]; s != nil {
		return s
	}
	s := &preemptibleRuns{}
	for _, r := range w.runs {
		if r.task == nil || r.stopping || r.task.step.spec.LongRunning || c.queueOf(r.task.job()).Priority <= highestPriority {
			continue
		}
		s.runs = append(s.runs, r)
		s.total = s.total.Add(r.reserved)
	}
	slices.SortFunc(s.runs, func(a, b *runState) int {
		return cmp.Or(cmp.Compare(c.lostWork(a), c.lostWork(b)), compareAge(a, b))
	})
	p.preemptible[w] = s
	return s
}

// cheapestVictims returns the worker on which preemption loses the least work,
// and the runs of lower priority to stop there. A worker with an overdue stop is
// the last choice, since it may not carry out further ones.
func (c *Core) cheapestVictims(p *pass, t *task) (*workerState, []*runState) {
	var best *workerState
	var bestVictims []*runState
	bestCost, bestOverdue := 0.0, false
	for _, w := range p.workers {
		if !c.isAllowed(t, w) {
			continue
		}
		victims, cost, fits := c.victimsOn(p, t, w)
		overdue := w.overdueStops > 0
		if fits && (best == nil || cmp.Or(compareFalseFirst(overdue, bestOverdue), cmp.Compare(cost, bestCost)) < 0) {
			best, bestVictims, bestCost, bestOverdue = w, victims, cost, overdue
		}
	}
	return best, bestVictims
}

// victimsOn returns the runs to stop to make room on a worker, the work that
// would be lost, and whether stopping them frees enough.
func (c *Core) victimsOn(p *pass, t *task, w *workerState) ([]*runState, float64, bool) {
	demand := t.step.spec.Reserved()
	free := w.freeAfterStops().Sub(c.claimed(p, t, w))
	candidates := c.preemptibleOn(p, w)
	if !demand.FitsIn(free.Add(candidates.total)) {
		return nil, 0, false
	}
	var victims []*runState
	cost := 0.0
	for _, r := range candidates.runs {
		if demand.FitsIn(free) {
			break
		}
		if r.stopping || !r.holdsAnyOf(demand.Sub(free)) {
			continue
		}
		free = free.Add(r.reserved)
		victims = append(victims, r)
		cost += c.lostWork(r)
	}
	return victims, cost, demand.FitsIn(free)
}

// holdsAnyOf reports whether the run holds any of the resources that are short.
func (r *runState) holdsAnyOf(shortage carobkeel.Resources) bool {
	return (shortage.MilliCPU > 0 && r.reserved.MilliCPU > 0) ||
		(shortage.MemoryBytes > 0 && r.reserved.MemoryBytes > 0) ||
		(shortage.Accelerators > 0 && r.reserved.Accelerators > 0)
}

// checkpointLoss is the average share of its work that a run with checkpoints
// loses when it is stopped.
const checkpointLoss = 0.2

// lostWork returns the work that stopping a run discards, in core-seconds.
func (c *Core) lostWork(r *runState) float64 {
	cores := float64(r.task.step.spec.Demand.MilliCPU) / 1000
	lost := cores * (c.now.Monotonic - r.started).Seconds()
	if r.task.step.spec.SavesProgress {
		lost *= checkpointLoss
	}
	return lost
}
