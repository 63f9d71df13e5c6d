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
	// quarantinedUntil is when the worker may get tasks again that can run
	// elsewhere.
	quarantinedUntil time.Duration
	// refusesUntil is when the worker may get tasks again after a refusal.
	refusesUntil time.Duration
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
		h.quarantinedUntil = 0
	case runs.OutcomeFailed:
		if h.failedJobs == nil {
			h.failedJobs = make(map[string]bool)
		}
		h.failedJobs[string(r.name.Job)] = true
		if len(h.failedJobs) >= quarantineFailures {
			h.quarantinedUntil = c.now.Monotonic + quarantineDuration
			c.recordDecision(Decision{Kind: DecidedWorkerQuarantined, Host: r.worker.host, Detail: "runs of several jobs failed"})
		}
	}
}

func (c *Core) isQuarantined(w *workerState) bool {
	return c.now.Monotonic < w.health.quarantinedUntil
}

// mayUseQuarantined reports whether a task that no other worker has room for may
// start on a quarantined worker. A long-running task must run wherever there is
// room. Other tasks lose an attempt on a worker that fails its runs, unless so
// many workers are quarantined that their tasks are the more likely cause.
func (c *Core) mayUseQuarantined(p *pass, t *task) bool {
	if len(p.quarantined) == 0 || !c.isStarved(t) {
		return false
	}
	return t.step.spec.LongRunning || len(p.quarantined) > len(p.workers)
}

func (c *Core) recordRefusal(w *workerState, result runs.Result) {
	switch result {
	case runs.ResultUnhealthy, runs.ResultNoRoom, runs.ResultDraining, runs.ResultInvalid:
		w.health.refusesUntil = max(w.health.refusesUntil, c.now.Monotonic+refusalBackoff)
	}
}
