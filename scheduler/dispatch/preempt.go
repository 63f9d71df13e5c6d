package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// gangPatience is how long a gang waits before room is kept for it.
	gangPatience = time.Second
	// perpetualPatience is how long a perpetual task waits before others make
	// room: it should be back within 3 s.
	perpetualPatience = 200 * time.Millisecond
	// urgentPatience is how long other tasks of the first priority wait: a task
	// of a second should end within 1.8 s.
	urgentPatience = 300 * time.Millisecond
)

// urgentPriority is the priority whose tasks may preempt others.
const urgentPriority = 0

// makeRoom keeps room for a task that found none, and stops less urgent runs
// where that is the only way. It reports whether other tasks of the step may
// have more luck.
func (c *Core) makeRoom(p *pass, t *task) bool {
	if c.queueOf(t.job()).Priority != urgentPriority {
		return false
	}
	demand := t.step.spec.Reserved()
	if w := c.soonFree(p, t, demand); w != nil {
		p.held[w] = p.held[w].Add(demand)
		return true
	}
	patience := urgentPatience
	if t.step.spec.Perpetual {
		patience = perpetualPatience
	}
	since := max(t.waitingSince, t.step.readyAt)
	if c.now.Steady-since < patience {
		c.wakeAt(since + patience)
		return false
	}
	w, victims := c.cheapestVictims(p, t, demand)
	if w == nil {
		return false
	}
	for _, v := range victims {
		c.stop(v, "preempted by "+t.name().String())
	}
	p.held[w] = p.held[w].Add(demand)
	return true
}

// soonFree returns a worker where the runs that are being stopped leave room.
func (c *Core) soonFree(p *pass, t *task, demand carobkeel.Resources) *workerState {
	for _, w := range p.workers {
		if c.isAllowed(t, w) && demand.FitsIn(w.freeAfterStops().Sub(p.held[w])) {
			return w
		}
	}
	return nil
}

// freeAfterStops is the room once all runs have ended that are being stopped.
func (w *workerState) freeAfterStops() carobkeel.Resources {
	free := w.free()
	for _, r := range w.copies {
		if r.stopping {
			free = free.Add(r.reserved)
		}
	}
	return free
}

// cheapestVictims returns the worker where the least work is lost by stopping
// runs of lower priority, and these.
func (c *Core) cheapestVictims(p *pass, t *task, demand carobkeel.Resources) (*workerState, []*liveRun) {
	var best *workerState
	var bestVictims []*liveRun
	bestCost := 0.0
	for _, w := range p.workers {
		if !c.isAllowed(t, w) {
			continue
		}
		victims, cost, fits := c.victimsOn(w, demand, w.freeAfterStops().Sub(p.held[w]))
		if fits && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = w, victims, cost
		}
	}
	return best, bestVictims
}

// victimsOn returns the runs whose end makes room on a worker, and what their
// lost work costs.
func (c *Core) victimsOn(w *workerState, demand, free carobkeel.Resources) ([]*liveRun, float64, bool) {
	var candidates []*liveRun
	for _, r := range w.copies {
		if r.task != nil && !r.stopping && !r.task.step.spec.Perpetual && c.queueOf(r.task.job()).Priority > urgentPriority {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *liveRun) int {
		return cmp.Or(cmp.Compare(c.lostWork(a), c.lostWork(b)), cmp.Compare(a.name.String(), b.name.String()))
	})
	var victims []*liveRun
	cost := 0.0
	for _, r := range candidates {
		if demand.FitsIn(free) {
			break
		}
		free = free.Add(r.reserved)
		victims = append(victims, r)
		cost += c.lostWork(r)
	}
	return victims, cost, demand.FitsIn(free)
}

// savedShare is the share of its work that a run with checkpoints loses, on
// average, when it is stopped.
const savedShare = 0.2

// lostWork is what stopping a run throws away, in core-seconds.
func (c *Core) lostWork(r *liveRun) float64 {
	cores := float64(r.task.step.spec.Demand.MilliCPU) / 1000
	lost := cores * (c.now.Steady - r.started).Seconds()
	if r.task.step.spec.SavesProgress {
		lost *= savedShare
	}
	return lost
}
