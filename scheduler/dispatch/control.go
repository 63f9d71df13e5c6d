package dispatch

import "time"

const (
	// fullPace is the share at which a run begins to work, in percent.
	fullPace = 100
	// slowAbove is the tail latency, as a share of the target, above which
	// filling tasks are slowed down.
	slowAbove = 0.85
	// hastenBelow is the share below which they are sped up again. The gap keeps
	// the pace from swinging.
	hastenBelow = 0.6
	// slowFactor is what the pace is multiplied by, hastenStep what is added to
	// it, in percent.
	slowFactor = 0.4
	hastenStep = 15
	// minPace is the least pace above a standstill, in percent.
	minPace = 10
	// controlInterval is the time between two changes of a worker's pace: a
	// figure covers half a second, and a pace works after 100 ms.
	controlInterval = 600 * time.Millisecond
)

// control is the pace of filling tasks on one worker.
type control struct {
	// slow is how far the pace is below the full one, in percent.
	slow int
	// changed is when the pace was last set.
	changed time.Duration
}

// controlInterference slows filling tasks down where a serving task beside them
// comes near its target, and speeds them up where there is room.
func (c *Core) controlInterference() {
	for _, w := range c.workers {
		if !w.listed || !w.hasFilling() {
			continue
		}
		c.controlWorker(w)
	}
}

func (w *workerState) hasFilling() bool {
	for _, r := range w.copies {
		if r.task != nil && r.task.step.spec.Fills {
			return true
		}
	}
	return false
}

func (c *Core) controlWorker(w *workerState) {
	if c.now.Steady-w.control.changed >= controlInterval {
		pace := nextPace(fullPace-w.control.slow, w.worstTail())
		if pace != fullPace-w.control.slow {
			w.control.changed = c.now.Steady
			w.control.slow = fullPace - pace
		}
	}
	pace := fullPace - w.control.slow
	for _, r := range w.copies {
		if r.task == nil || !r.task.step.spec.Fills || r.stopping || r.phase != runConfirmed || r.pace == pace {
			continue
		}
		r.pace = pace
		c.orders = append(c.orders, Order{
			Host: w.host, Life: w.description.Life, Kind: OrderPace, Task: r.name, Run: r.run, Percent: pace,
		})
		c.note(Decision{Kind: "pace set", Task: r.name, Run: r.run, Host: w.host})
	}
}

// worstTail returns the highest tail latency of the worker's serving tasks, as a
// share of their targets. Zero means that none serves.
func (w *workerState) worstTail() float64 {
	worst := 0.0
	for _, r := range w.copies {
		if r.task == nil || r.task.step.spec.LatencyTarget <= 0 {
			continue
		}
		target := float64(r.task.step.spec.LatencyTarget.Milliseconds())
		worst = max(worst, float64(r.figure)/max(1, target))
	}
	return worst
}

// nextPace returns the pace after one that led to a tail latency.
func nextPace(pace int, tail float64) int {
	switch {
	case tail > 1:
		return 0
	case tail > slowAbove:
		pace = int(float64(pace) * slowFactor)
		if pace < minPace {
			return 0
		}
		return pace
	case tail < hastenBelow:
		return min(fullPace, pace+hastenStep)
	}
	return pace
}
