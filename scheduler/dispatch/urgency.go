package dispatch

import (
	"cmp"
	"time"
)

// compareUrgency orders starved long-running steps first, since they must run
// wherever there is room, then by the queue's priority, then long-running steps
// first, then by the value of their jobs for the work that is left, and then by
// their due time.
func (c *Core) compareUrgency(a, b *stepState) int {
	ja, jb := a.occurrence.job, b.occurrence.job
	return cmp.Or(
		compareFalseFirst(!a.starved, !b.starved),
		cmp.Compare(c.queueOf(ja).Priority, c.queueOf(jb).Priority),
		compareFalseFirst(!a.spec.LongRunning, !b.spec.LongRunning),
		cmp.Compare(b.valueRate, a.valueRate),
		cmp.Compare(c.dueAt(a), c.dueAt(b)),
		cmp.Compare(a.waitStart(), b.waitStart()),
	)
}

// dueAt returns when the step's job should be complete: SlowdownFactor times its
// longest chain of estimated work, plus Objective, after its wait began.
func (c *Core) dueAt(s *stepState) time.Duration {
	q := c.queueOf(s.occurrence.job)
	return s.waitStart() + time.Duration(q.SlowdownFactor*float64(s.occurrence.job.criticalPath(0))) + q.Objective
}

// objective returns the time in which a job should be complete, zero for one that repeats or whose
// queue sets none.
func (c *Core) objective(j *job) time.Duration {
	if j.spec.Repeats > 0 {
		return 0
	}
	return objectiveOf(c.queueOf(j), longestChain(j.spec))
}

// lateness rates how late a job is, and so the value that its completion still
// has for the caller.
type lateness uint8

const (
	// inTime jobs can still be complete when they are due.
	inTime lateness = iota
	// late jobs can't, even if nothing delays them further.
	late
	// tooLate jobs take more than tooLateFactor times as long as they should.
	tooLate
)

// tooLateFactor is the multiple of the time that a job should take after which
// its completion has no value to its caller.
const tooLateFactor = 3

// lateness returns how late a step's job will be if nothing delays it from now
// on.
func (c *Core) lateness(s *stepState) lateness {
	done := c.now.Monotonic + time.Duration(minRemainingShare*float64(s.occurrence.job.criticalPath(s.index)))
	since, due := s.waitStart(), c.dueAt(s)
	switch {
	case done <= due:
		return inTime
	case done <= since+tooLateFactor*(due-since):
		return late
	}
	return tooLate
}

// minRemainingShare is the part of the estimated remaining work that is assumed
// to be left when a job is rated as late, since estimates are up to 90% off.
const minRemainingShare = 0.5

// maxCriticalPath bounds a chain of work, so that sums with it don't overflow.
const maxCriticalPath time.Duration = 1 << 60

// criticalPath returns the longest chain of estimated work from a step on.
func (j *job) criticalPath(from int) time.Duration {
	if j.criticalPaths == nil {
		steps := j.spec.Steps
		j.criticalPaths = make([]time.Duration, len(steps))
		for i := len(steps) - 1; i >= 0; i-- {
			j.criticalPaths[i] = min(maxCriticalPath, j.criticalPaths[i]+steps[i].Estimate)
			for _, earlier := range steps[i].After {
				j.criticalPaths[earlier] = max(j.criticalPaths[earlier], j.criticalPaths[i])
			}
		}
	}
	return j.criticalPaths[from]
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// waitStart returns when the step's job was accepted, or when its occurrence
// became due.
func (s *stepState) waitStart() time.Duration {
	if !s.occurrence.due.IsZero() {
		return s.occurrence.steps[0].readyAt
	}
	return s.occurrence.job.accepted
}
