package dispatch

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// task is one task of a step.
type task struct {
	step  *stepState
	index int
	done  bool
	// queued reports that the task is in the order of waits of its step.
	queued bool
	// lastRun is the highest run number assigned so far.
	lastRun int
	// givenUp holds the numbers of the last runs that were given up and whose end has not been
	// listed since, at most maxGivenUp.
	givenUp []int
	// failedRuns holds the numbers of the runs that failed. Numbers are needed
	// because a worker also reports an end to the next holder until the end is
	// acknowledged, and workers list in any order.
	failedRuns []int
	// checkpoint is the newest one that is known, and checkpointRun the run that saved it, zero if
	// it was read from the store.
	checkpoint    string
	checkpointRun int
	// runs are the runs that may be active.
	runs []*runState
	// located reports that a worker has listed the only run of the task under this
	// epoch, so that no other worker has one that an earlier holder started.
	located bool
	// waitingSince is when the task last began to wait. Starts that never took place don't
	// end a wait.
	waitingSince time.Duration
	// failedHosts are the hosts on which runs failed, and failedAt is when the
	// last one did.
	failedHosts []string
	failedAt    time.Duration
	// avoidedHosts are the hosts on which a long-running task failed repeatedly in
	// quick succession.
	avoidedHosts []string
	// near is the task's wait for near room.
	near nearWait
}

func (t *task) name() carobkeel.TaskName {
	o := t.step.occurrence
	return carobkeel.TaskName{Job: o.job.spec.ID, Occurrence: o.index, Step: t.step.index, Index: t.index}
}

func (t *task) job() *job { return t.step.occurrence.job }

// keepCheckpoint keeps the checkpoint of a run, unless a later run has saved one. It reports whether
// it is a new one.
func (t *task) keepCheckpoint(run int, checkpoint string) bool {
	if t.done || checkpoint == "" || run < t.checkpointRun || checkpoint == t.checkpoint {
		return false
	}
	t.checkpoint, t.checkpointRun = checkpoint, run
	return true
}

// isWaiting reports whether the task needs to be started.
func (t *task) isWaiting() bool { return !t.done && len(t.runs) == 0 }

// isHeldBack reports whether a worker that has not listed its runs may run the task.
func (c *Core) isHeldBack(t *task) bool {
	if c.mayRunLate(t) {
		return true
	}
	return c.holdsBackUntouched(t.step) && !t.located
}

// holdsBackUntouched reports whether workers that have not listed their runs may run tasks of the step that
// this holder knows nothing of.
func (c *Core) holdsBackUntouched(s *stepState) bool {
	return s.occurrence.job.inherited && len(c.unreportedWorkers)+len(c.partlyListed) > 0
}

// canStart reports whether the task needs to be started and surely runs nowhere.
func (c *Core) canStart(t *task) bool { return t.isWaiting() && !c.isHeldBack(t) }

// runsPerEpoch is the distance between the first run numbers of successive
// epochs. A new holder does not know how many runs the previous one started.
const runsPerEpoch = 1 << 12

// nextRun returns the number of the task's next run. It is higher than the
// numbers of all earlier runs, those of earlier epochs included.
func (c *Core) nextRun(t *task) int {
	previousMax := 0
	if t.job().inherited {
		previousMax = c.inheritedRuns()
	}
	t.lastRun = max(t.lastRun, previousMax) + 1
	return t.lastRun
}

// inheritedRuns returns the highest number that a run of an earlier epoch can have.
func (c *Core) inheritedRuns() int { return int(c.config.Epoch-1) * runsPerEpoch }

// finishTask marks a task as done.
func (c *Core) finishTask(t *task) {
	if t.done {
		return
	}
	t.step.tasks.setDone(t)
	t.step.done++
	j := t.job()
	j.remaining--
	c.markDirty(j)
	if j.remaining == 0 {
		c.recordEnded(j)
		c.recordDecision(Decision{Kind: DecidedJobDone, Job: j.spec.ID, Waited: c.now.Monotonic - j.accepted, Objective: c.objective(j)})
	}
}

// failures returns how many attempts have failed: of the task or, as its members start and end
// together, of its gang.
func (t *task) failures() int {
	if !t.step.spec.Gang {
		return len(t.failedRuns)
	}
	failed := make(map[int]bool)
	for _, member := range t.step.tasks.known {
		for _, run := range member.failedRuns {
			failed[run] = true
		}
	}
	return len(failed)
}

// addFailedHost records the host of a failed run. Long-running tasks also fail on
// sound hosts now and then, so only failures in quick succession add up.
func (c *Core) addFailedHost(t *task, host string) {
	if t.step.spec.LongRunning && c.now.Monotonic-t.failedAt >= failureWindow {
		t.failedHosts, t.avoidedHosts = nil, nil
	}
	t.failedAt = c.now.Monotonic
	switch {
	case !slices.Contains(t.failedHosts, host):
		t.failedHosts = append(t.failedHosts, host)
	case t.step.spec.LongRunning && !slices.Contains(t.avoidedHosts, host):
		t.avoidedHosts = append(t.avoidedHosts, host)
	}
	if t.step.spec.LongRunning && !c.hasUntriedWorker(t) {
		t.failedHosts, t.avoidedHosts = []string{host}, nil
	}
}

// hasUntriedWorker reports whether a worker accepts the task on which no run of it
// has failed.
func (c *Core) hasUntriedWorker(t *task) bool {
	for _, w := range c.workers {
		if w.usable && c.meetsRequirements(t.step, w) && !slices.Contains(t.failedHosts, w.host) {
			return true
		}
	}
	return false
}

// avoids reports whether a task waits for another worker than this one, on which
// its runs failed. It does so until it is starved.
func (c *Core) avoids(t *task, w *workerState) bool {
	return slices.Contains(t.avoidedHosts, w.host) && !c.isStarved(t)
}

// failTask records a failed run. The job fails when one of its tasks has no
// attempts left.
func (c *Core) failTask(t *task, run int, host string) {
	j := t.job()
	if slices.Contains(t.failedRuns, run) {
		return
	}
	t.failedRuns = append(t.failedRuns, run)
	c.addFailedHost(t, host)
	limit := c.queueOf(j).MaxAttempts
	c.markDirty(j)
	if t.step.spec.LongRunning {
		t.failedRuns = nil // long-running tasks have no limit of attempts
		return
	}
	if limit == 0 || t.failures() < limit || j.failed {
		return
	}
	j.failed = true
	if c.cannotSucceed(t) {
		c.withdrawFailures(j.spec.ID)
	}
	c.recordEnded(j)
	c.recordDecision(Decision{Kind: DecidedJobFailed, Job: j.spec.ID, Task: t.name(), Host: host, Waited: c.now.Monotonic - j.accepted})
	c.stopAll(j)
}
