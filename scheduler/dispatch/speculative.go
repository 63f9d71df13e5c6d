package dispatch

import (
	"slices"
	"time"
)

const (
	// maxRunsPerTask bounds the concurrent runs of a task.
	maxRunsPerTask = 2
	// speculationMargin is how much earlier than the current run a speculative
	// run must be expected to finish to be worth starting.
	speculationMargin = 300 * time.Millisecond
)

// startSpeculativeRuns starts a second run of tasks whose current run is much
// slower than the completed runs of the step, where resources are left.
func (c *Core) startSpeculativeRuns(p *pass) {
	for _, j := range c.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				c.speculate(p, s)
			}
		}
	}
}

// hasSpeculationCandidate reports whether a task that may run twice is running.
func (c *Core) hasSpeculationCandidate() bool {
	for _, j := range c.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.maySpeculate() {
					return true
				}
			}
		}
	}
	return false
}

// maySpeculate reports whether a step allows duplicate runs, has unfinished
// tasks, and has completed runs to compare them with.
func (s *stepState) maySpeculate() bool {
	return s.spec.AllowsDuplicates && !s.spec.Gang && s.completedRuns > 0 && s.done < s.tasks.count
}

func (c *Core) speculate(p *pass, s *stepState) {
	if !s.maySpeculate() {
		return
	}
	typical := s.completedTime / time.Duration(s.completedRuns)
	for _, t := range slices.Clone(s.tasks.running) {
		if t.done || len(t.runs) >= maxRunsPerTask || !c.isStraggler(t.runs[0], typical) {
			continue
		}
		w := c.selectWorkerAmong(p, p.workers, t, func(w *workerState) bool { return !w.hasRunOf(t) })
		if w == nil {
			continue
		}
		if !c.mayCopy(p, s) {
			return
		}
		c.startPlanned(p, t, w)
	}
}

// isStraggler reports whether a run is expected to end later than a speculative
// run that takes the typical time.
func (c *Core) isStraggler(r *runState, typical time.Duration) bool {
	if r.phase != runConfirmed || r.stopping {
		return false
	}
	age := c.now.Monotonic - r.started
	if age < typical+speculationMargin {
		c.wakeAt(r.started + typical + speculationMargin)
		return false
	}
	left := age * time.Duration(fullPercent-r.percent) / time.Duration(max(1, r.percent))
	return left > typical+speculationMargin
}

// fullPercent is the progress of a completed run.
const fullPercent = 100

// hasRunOf reports whether the worker has a run of the task.
func (w *workerState) hasRunOf(t *task) bool {
	for _, r := range t.runs {
		if r.worker == w {
			return true
		}
	}
	return false
}
