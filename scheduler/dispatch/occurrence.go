package dispatch

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// occurrence is one execution of a job's steps. A repeated job has several. Each is made when it
// comes due, and dropped once its tasks and those of all earlier ones are done, so that what a job
// takes in memory and in the store does not grow with the number of times that it repeats.
type occurrence struct {
	job   *job
	index int
	// due is the time of day at which a scheduled occurrence starts. It is zero
	// if the occurrence starts immediately.
	due   time.Time
	steps []*stepState
}

func newOccurrence(j *job, index int, now time.Duration) *occurrence {
	o := &occurrence{job: j, index: index}
	if j.spec.Repeats > 0 {
		o.due = j.dueTime(index)
	}
	for i := range j.spec.Steps {
		s := &stepState{occurrence: o, index: i, spec: &j.spec.Steps[i]}
		s.name = carobkeel.TaskName{Job: j.spec.ID, Occurrence: index, Step: i}.StepName()
		s.tasks = newTaskSet(s, s.spec.Count, now)
		o.steps = append(o.steps, s)
	}
	return o
}

// dueTime returns the time of day at which an occurrence of a repeated job is due.
func (j *job) dueTime(index int) time.Time {
	return j.spec.First.Add(time.Duration(index) * j.spec.Period)
}

// tasksPerOccurrence returns the number of tasks of each occurrence.
func (j *job) tasksPerOccurrence() int {
	n := 0
	for i := range j.spec.Steps {
		n += j.spec.Steps[i].Count
	}
	return n
}

// nextOccurrence returns the index of the first occurrence that is not made yet.
func (j *job) nextOccurrence() int { return j.doneUpTo + len(j.occurrences) }

// makeOccurrences makes the occurrences before the given one that are not made yet.
func (c *Core) makeOccurrences(j *job, end int) {
	for k := j.nextOccurrence(); k < min(end, j.spec.Occurrences()); k++ {
		j.occurrences = append(j.occurrences, newOccurrence(j, k, c.now.Monotonic))
	}
}

// occurrence returns an occurrence of a job by its index, nil if there is none or all its tasks are
// done. One that is not due yet is made: an earlier holder may have started it by its clock.
func (c *Core) occurrence(j *job, index int) *occurrence {
	if index < j.doneUpTo || index >= j.spec.Occurrences() {
		return nil
	}
	c.makeOccurrences(j, index+1)
	return j.occurrences[index-j.doneUpTo]
}

// updateOccurrences makes the occurrences of a repeated job that are due, and drops those that are
// over.
func (c *Core) updateOccurrences(j *job) {
	if j.spec.Repeats == 0 {
		return
	}
	for k := j.nextOccurrence(); k < j.spec.Occurrences(); k++ {
		if due := j.dueTime(k); c.now.Wall.Before(due) {
			c.wakeAt(c.now.Monotonic + min(due.Sub(c.now.Wall), maxWake))
			break
		}
		c.makeOccurrences(j, k+1)
	}
	over := 0
	for over < len(j.occurrences) && j.occurrences[over].isOver() {
		over++
	}
	j.occurrences = slices.Delete(j.occurrences, 0, over)
	j.doneUpTo += over
}

// isOver reports whether all tasks are done and none has a run left.
func (o *occurrence) isOver() bool {
	for _, s := range o.steps {
		if s.done < s.tasks.count || len(s.tasks.running) > 0 {
			return false
		}
	}
	return true
}

// restoreDone records that all tasks of the occurrences before one are done.
func (j *job) restoreDone(upTo int) {
	if upTo <= j.doneUpTo || upTo > j.spec.Occurrences() || len(j.occurrences) > 0 {
		return
	}
	j.remaining -= (upTo - j.doneUpTo) * j.tasksPerOccurrence()
	j.doneUpTo = upTo
}
