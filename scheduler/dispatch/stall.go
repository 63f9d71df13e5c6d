package dispatch

import "time"

const (
	// minStallTime is the least time without progress on any run of a worker
	// after which the worker counts as stalled. Progress is listed in whole
	// percents, five times a second.
	minStallTime = time.Second
	// missedPercents is a part of a run's work, in percent. A worker counts as
	// stalled, and is quarantined, if none of its runs progresses for as long as
	// the fastest of them may take for this part, but at least minStallTime.
	missedPercents = 4
	// maxEstimateFactor is how many times longer than its estimate a task may
	// take.
	maxEstimateFactor = 10
	// minStallQuarantine and maxStallQuarantine bound how long a stalled worker
	// gets no tasks. The time doubles each time the worker stalls again without
	// progress in between.
	minStallQuarantine = 2 * time.Second
	maxStallQuarantine = 8 * time.Second
	// minObservedPace is the lowest pace, in percent, at which a run is
	// expected to show progress.
	minObservedPace = 50
)

// stallState is the state of the stall detection of a worker.
type stallState struct {
	// lastProgress is when a run last progressed, or when no progress was
	// expected.
	lastProgress time.Duration
	// quarantine is how long the worker got no tasks after its last stall.
	quarantine time.Duration
}

// shouldProgress reports whether a run should show progress from one listing to
// the next.
func (c *Core) shouldProgress(r *runState) bool {
	return r.task != nil && !r.task.step.spec.LongRunning && !r.task.step.spec.Gang &&
		r.phase == runConfirmed && !r.stopping && r.pace >= minObservedPace
}

// observeProgress checks a worker for a stall after a listing. Advanced reports
// that one of its runs has progressed.
func (c *Core) observeProgress(w *workerState, advanced bool) {
	if advanced {
		w.stall.quarantine = 0
		w.stall.lastProgress = c.now.Monotonic
		return
	}
	deadline, expected := c.stallDeadline(w)
	switch {
	case !expected:
		w.stall.lastProgress = c.now.Monotonic
	case c.now.Monotonic >= deadline:
		c.quarantineStalled(w, c.now.Monotonic-w.stall.lastProgress)
	}
}

// stallDeadline returns the time by which a run of the worker should have
// progressed, and whether progress is expected at all.
func (c *Core) stallDeadline(w *workerState) (deadline time.Duration, expected bool) {
	for _, r := range w.runs {
		if !c.shouldProgress(r) {
			continue
		}
		timeout := max(minStallTime, missedPercents*c.timePerPercent(r))
		if d := max(w.stall.lastProgress, r.observedFrom) + timeout; !expected || d < deadline {
			deadline, expected = d, true
		}
	}
	return deadline, expected
}

// timePerPercent returns how long a run takes for one percent of its work.
func (c *Core) timePerPercent(r *runState) time.Duration {
	if r.percent > 0 {
		return (c.now.Monotonic - r.started) / time.Duration(r.percent)
	}
	return maxEstimateFactor * r.task.step.spec.Estimate / 100
}

// quarantineStalled quarantines a stalled worker and starts its tasks
// elsewhere. Long-running tasks stay, since they may resume at any time.
func (c *Core) quarantineStalled(w *workerState, waited time.Duration) {
	w.stall.quarantine = min(maxStallQuarantine, max(minStallQuarantine, 2*w.stall.quarantine))
	w.stall.lastProgress = c.now.Monotonic
	c.quarantine(w, w.stall.quarantine, waited, "no run makes progress")
	for _, r := range w.runs {
		if c.shouldProgress(r) {
			c.stop(r, "worker stalled")
		}
	}
}
