package dispatch

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// quarantineFailures is how many runs of different jobs must fail in a row
	// on one worker before it is quarantined. Half a percent of the runs fail
	// on sound workers.
	quarantineFailures = 3
	// failureWindow is how long a failed run counts as evidence.
	failureWindow = 20 * time.Second
	// quarantineDuration is how long a worker that is suspected of failing its
	// runs gets no tasks. After it, one more failed run renews the quarantine.
	quarantineDuration = 4 * time.Second
	// maxFailingShare is the share of the workers that may be quarantined before
	// failed runs quarantine no more of them: so many failures are more likely
	// the jobs' fault.
	maxFailingShare = 0.5
)

// health is the evidence about a worker from its runs and the answers to its starts.
type health struct {
	// failures are the runs that have failed since the last successful run.
	failures []failedRun
	// quarantinedUntil and failingUntil are when the worker may get tasks again
	// that can run elsewhere. The latter rests on failures.
	quarantinedUntil, failingUntil time.Duration
	// refusals is the evidence from the answers to starts.
	refusals refusals
}

// failedRun is a failed run that is evidence about a worker.
type failedRun struct {
	job carobkeel.JobID
	at  time.Duration
}

// failedJobs counts the jobs of the runs that have failed on a worker. Runs that
// are no evidence any more are dropped.
func (c *Core) failedJobs(h *health) int {
	h.failures = slices.DeleteFunc(h.failures, func(f failedRun) bool { return c.now.Monotonic-f.at >= failureWindow })
	jobs := make(map[carobkeel.JobID]bool)
	for _, f := range h.failures {
		jobs[f.job] = true
	}
	return len(jobs)
}

// recordFailure records a failed run as evidence about its worker, unless its job
// has failed.
func (c *Core) recordFailure(r *runState) {
	if r.task == nil || r.task.job().failed {
		return
	}
	h := &r.worker.health
	h.failures = append(h.failures, failedRun{job: r.name.Job, at: c.now.Monotonic})
	if c.failedJobs(h) < quarantineFailures {
		return
	}
	renewed := c.isQuarantined(r.worker)
	if !renewed && c.quarantinedShare() >= maxFailingShare {
		return
	}
	h.failingUntil = c.now.Monotonic + quarantineDuration
	if !renewed {
		c.recordDecision(Decision{Kind: DecidedWorkerQuarantined, Host: r.worker.host, Detail: "runs of several jobs failed"})
	}
}

// cannotSucceed reports whether a task without attempts left is the likely cause
// of its failures: none of its step is done, and not all workers on which it
// failed are quarantined for failures.
func (c *Core) cannotSucceed(t *task) bool {
	return t.step.done == 0 && slices.ContainsFunc(t.failedHosts, func(host string) bool {
		w := c.workers[host]
		return w != nil && c.now.Monotonic >= w.health.failingUntil
	})
}

// withdrawFailures drops the failed runs of a job that can't succeed as evidence
// about workers, and ends the quarantines that rested on them.
func (c *Core) withdrawFailures(job carobkeel.JobID) {
	for _, w := range c.workers {
		h := &w.health
		h.failures = slices.DeleteFunc(h.failures, func(f failedRun) bool { return f.job == job })
		if c.failedJobs(h) < quarantineFailures {
			h.failingUntil = 0
		}
	}
}

// quarantinedShare returns the share of the workers accepting tasks that are
// quarantined.
func (c *Core) quarantinedShare() float64 {
	all, quarantined := 0, 0
	for _, w := range c.workers {
		if !c.acceptsTasks(w) {
			continue
		}
		all++
		if c.isQuarantined(w) {
			quarantined++
		}
	}
	return float64(quarantined) / float64(max(1, all))
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
			c.estimateRatio.add(r.task.step.spec.Estimate, c.now.Monotonic-r.started)
		}
		c.learnDuration(r)
		h.failures = nil
		h.quarantinedUntil, h.failingUntil, h.refusals.until = 0, 0, 0
	case runs.OutcomeFailed:
		c.recordFailure(r)
	}
}

func (c *Core) isQuarantined(w *workerState) bool {
	return c.now.Monotonic < max(w.health.quarantinedUntil, w.health.failingUntil, w.health.refusals.until)
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
