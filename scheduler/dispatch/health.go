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
	// start. An unhealthy one is quarantined for twice as long, and for twice as
	// long again with each further refusal, up to maxRefusals.
	refusalBackoff = 300 * time.Millisecond
	maxRefusals    = 4
)

// health is the evidence about a worker from the ends of its runs.
type health struct {
	// failedJobs are the jobs whose runs have failed since the last successful
	// run.
	failedJobs map[string]bool
	// quarantinedUntil is when the worker may get tasks again that can run
	// elsewhere.
	quarantinedUntil time.Duration
	// refusals counts the starts refused since the last one that was accepted,
	// up to the one whose quarantine has the full duration.
	refusals int
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
			c.quarantine(r.worker, quarantineDuration, 0, "runs of several jobs failed")
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

// recordStartAnswer records a worker's answer to a start order as evidence about
// the worker.
func (c *Core) recordStartAnswer(w *workerState, result runs.Result) {
	h := &w.health
	switch result {
	case runs.ResultOK:
		h.refusals = 0
		return
	case runs.ResultUnhealthy:
		h.refusals = min(h.refusals+1, maxRefusals)
		c.quarantine(w, min(quarantineDuration, refusalBackoff<<h.refusals), 0, "starts refused")
	case runs.ResultUnknown:
		c.quarantine(w, quarantineDuration, 0, "a start without an answer")
	case runs.ResultNoRoom, runs.ResultDraining, runs.ResultInvalid:
	default:
		return
	}
	h.refusesUntil = max(h.refusesUntil, c.now.Monotonic+refusalBackoff)
}

// quarantine makes a worker the last choice for tasks. Waited is how long the
// evidence took, if it took any time.
func (c *Core) quarantine(w *workerState, duration, waited time.Duration, reason string) {
	until := c.now.Monotonic + duration
	if until <= w.health.quarantinedUntil {
		return
	}
	w.health.quarantinedUntil = until
	c.recordDecision(Decision{Kind: DecidedWorkerQuarantined, Host: w.host, Waited: waited, Detail: reason})
}
