package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// quarantineFailures is how many runs of different jobs must fail in a row
	// on one worker before it is quarantined. Half a percent of the runs fail
	// on sound workers, and jobs that can't succeed fail on every worker.
	quarantineFailures = 3
	// quarantineDuration is how long a worker that is suspected of failing its
	// runs gets no tasks. After it, one more failed run renews the quarantine.
	quarantineDuration = 4 * time.Second
	// refusalBackoff is how long a worker that refused a start gets no further
	// start.
	refusalBackoff = 300 * time.Millisecond
)

// health is the evidence about a worker from the ends of its runs.
type health struct {
	// failedJobs are the jobs whose runs have failed since the last successful
	// run.
	failedJobs map[string]bool
	// excludedUntil is when the worker may get tasks again.
	excludedUntil time.Duration
}

// recordOutcome records the outcome of a run as evidence about its worker and
// its step.
func (c *Core) recordOutcome(r *runState, outcome runs.Outcome) {
	h := &r.worker.health
	switch outcome {
	case runs.OutcomeDone:
		if r.task != nil && !r.adopted {
			r.task.step.completedTime += c.now.Monotonic - r.started
			r.task.step.completedRuns++
		}
		h.failedJobs = nil
		h.excludedUntil = 0
	case runs.OutcomeFailed:
		if h.failedJobs == nil {
			h.failedJobs = make(map[string]bool)
		}
		h.failedJobs[string(r.name.Job)] = true
		if len(h.failedJobs) >= quarantineFailures {
			h.excludedUntil = c.now.Monotonic + quarantineDuration
			c.recordDecision(Decision{Kind: DecidedWorkerQuarantined, Host: r.worker.host, Detail: "runs of several jobs failed"})
		}
	}
}

func (c *Core) recordRefusal(w *workerState, result runs.Result) {
	switch result {
	case runs.ResultUnhealthy, runs.ResultNoRoom, runs.ResultDraining, runs.ResultInvalid:
		w.health.excludedUntil = max(w.health.excludedUntil, c.now.Monotonic+refusalBackoff)
	}
}
