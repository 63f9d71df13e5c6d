package dispatch

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// job is a job that the shard has accepted.
type job struct {
	spec *carobkeel.JobSpec
	// inherited reports that the job was accepted before this epoch, so that
	// the previous holder may have started its tasks on workers that have not
	// reported yet.
	inherited bool
	accepted  time.Duration
	cancelled bool
	failed    bool
	// hasStarted reports that a worker has confirmed the start of a task of the job.
	hasStarted bool
	// occurrences are those from doneUpTo on that have come due or that a worker or the store has
	// named. All tasks of the ones before are done.
	occurrences []*occurrence
	doneUpTo    int
	// criticalPaths holds, for each step, the longest chain of estimated work
	// that begins with it.
	criticalPaths []time.Duration
	// remaining counts the tasks that are not done.
	remaining int
	// visibleState is the state that callers see.
	visibleState carobkeel.JobState
	// revision counts the changes of the progress, and storedRevision is the
	// newest revision that is durable.
	revision, storedRevision uint64
	// storeBy is when the newest revision is to be stored.
	storeBy time.Duration
	// rejectedUntil is when the job's progress, which the table service has rejected, is
	// offered to it again, in a batch of its own. It is zero if the last one was stored.
	rejectedUntil time.Duration
	// ended reports that the job is in Core.ended, whose records expire.
	ended bool
	// endedAt is when the job ended, or when this holder learned of its end.
	endedAt time.Duration
}

// stepState is a step of an occurrence.
type stepState struct {
	occurrence *occurrence
	index      int
	// name identifies the step among all jobs.
	name  string
	spec  *carobkeel.Step
	tasks taskSet
	done  int
	// completedTime is the total duration of the completed runs, and
	// completedRuns their number.
	completedTime time.Duration
	completedRuns int
	// readyAt is when all earlier steps were done.
	readyAt time.Duration
	ready   bool
	// noRoomAt is the value of Core.workerChanges when no worker had room for
	// the step's tasks. Only workers that have changed since can have room.
	noRoomAt uint64
	// starved reports that a task of a long-running step was starved at the
	// start of the current pass.
	starved bool
	// valueRate is the result of Core.valueRate at the start of the current pass.
	valueRate float64
	advice    stepAdvice
	// durations are those of the runs that were done.
	durations durationRatios
	// contentionRecorded reports that the step counts in the contention of its rack.
	contentionRecorded bool
	// copyReportDue is when it may next be reported that the step gets no copies.
	copyReportDue time.Duration
	// plan is that of a gang that waits for room, nil for none.
	plan *gangPlan
}

// AddJob adds an accepted job. Inherited reports that it was accepted before
// this epoch began. A job that is already known is not changed.
func (c *Core) AddJob(spec *carobkeel.JobSpec, inherited bool) {
	if _, known := c.jobs[spec.ID]; known {
		return
	}
	j := &job{spec: spec, inherited: inherited, accepted: c.now.Monotonic}
	if spec.Repeats == 0 {
		c.makeOccurrences(j, 1)
	}
	j.remaining = j.tasksPerOccurrence() * spec.Occurrences()
	c.jobs[spec.ID] = j
	c.footprint += footprint(spec)
	delete(c.marks.latest, spec.ID)
	c.active = append(c.active, j)
	c.publishState(j, carobkeel.JobPending)
	c.recordDecision(Decision{Kind: DecidedJobAdded, Job: spec.ID, Detail: string(spec.Queue.Name)})
}

// maxWake bounds the time to the next call of Advance.
const maxWake = 24 * time.Hour

// isReady reports whether the step may start: its occurrence is due and all
// earlier steps are done.
func (c *Core) isReady(s *stepState) bool {
	if s.ready {
		return true
	}
	due := s.occurrence.due
	if !due.IsZero() && c.now.Wall.Before(due) {
		c.wakeAt(c.now.Monotonic + min(due.Sub(c.now.Wall), maxWake))
		return false
	}
	for _, earlier := range s.spec.After {
		predecessor := s.occurrence.steps[earlier]
		if predecessor.done < predecessor.tasks.count {
			return false
		}
	}
	s.ready = true
	s.readyAt = c.now.Monotonic
	return true
}

// Cancel ends a job at its caller's request. It returns false if the job is not known.
func (c *Core) Cancel(id carobkeel.JobID) (known bool) {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	if j.cancelled || c.isFinal(j) {
		return true
	}
	j.cancelled = true
	c.recordEnded(j)
	c.recordDecision(Decision{Kind: DecidedJobCancelled, Job: id})
	c.stopAll(j)
	c.markDirty(j)
	return true
}

// stopAll stops all runs of a job.
func (c *Core) stopAll(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks.running {
				for _, r := range t.runs {
					c.stop(r, "job ended")
				}
			}
		}
	}
}

// hasRuns reports whether a run of the job may be active.
func (j *job) hasRuns() bool {
	return j.hasRunThat(func(*runState) bool { return true })
}

// hasExpectedRun reports whether a run of the job has started, or is meant to start.
func (j *job) hasExpectedRun() bool {
	return j.hasRunThat(func(r *runState) bool { return !r.isWithdrawn() })
}

// hasRunThat reports whether a condition holds for one of the job's runs.
func (j *job) hasRunThat(holds func(*runState) bool) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks.running {
				if slices.ContainsFunc(t.runs, holds) {
					return true
				}
			}
		}
	}
	return false
}

// isFinal reports whether the job has ended, even if its end is not stored yet.
func (c *Core) isFinal(j *job) bool { return j.cancelled || j.failed || j.remaining == 0 }

// state returns the current state of the job, which may not be stored yet.
func (j *job) state() carobkeel.JobState {
	switch {
	case j.cancelled:
		return carobkeel.JobCancelled
	case j.failed:
		return carobkeel.JobFailed
	case j.remaining == 0:
		return carobkeel.JobCompleted
	case j.hasStarted:
		return carobkeel.JobActive
	}
	return carobkeel.JobPending
}

// beginJob records that a task of the job has started. Callers see that once it is stored, so
// that no later holder shows them the job as pending.
func (c *Core) beginJob(j *job) {
	if j.hasStarted || c.isFinal(j) {
		return
	}
	j.hasStarted = true
	c.markDirty(j)
	j.storeBy = c.now.Monotonic + maxStartDelay
}

// publishState makes a state visible to callers.
func (c *Core) publishState(j *job, state carobkeel.JobState) {
	j.visibleState = state
	c.views = append(c.views, StateChange{Job: j.spec.ID, Queue: j.spec.Queue.Name, State: state})
}

// task returns the named task, nil if there is none.
func (c *Core) task(name carobkeel.TaskName) *task {
	j := c.jobs[name.Job]
	if j == nil {
		return nil
	}
	o := c.occurrence(j, name.Occurrence)
	if o == nil {
		return nil
	}
	steps := o.steps
	if name.Step < 0 || name.Step >= len(steps) {
		return nil
	}
	tasks := &steps[name.Step].tasks
	if name.Index < 0 || name.Index >= tasks.count {
		return nil
	}
	return tasks.get(name.Index)
}
