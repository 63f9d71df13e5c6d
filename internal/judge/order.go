package judge

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// judgeOrder looks for starts before the steps that they follow are done, and before their
// time.
func judgeOrder(h *history) []Finding {
	var findings []Finding
	for _, r := range h.runs {
		step := h.step(r.Task)
		if step == nil {
			continue
		}
		if missing, undone := h.undone(r, step); undone {
			findings = append(findings, findTask(RuleOrder, r.Task, r.start.At, []Event{r.start},
				"%v began before %v was done", r, missing))
		}
		if due, timed := h.due(r.Task); timed && !r.Late && r.start.At < due-h.bounds.Early {
			findings = append(findings, findTask(RuleOrder, r.Task, r.start.At, []Event{r.start},
				"%v began %v before its time", r, due-r.start.At))
		}
	}
	return findings
}

// undone returns a task that wasn't done when the run began, of the steps that the run's
// step follows.
func (h *history) undone(r *run, step *carobkeel.Step) (carobkeel.TaskName, bool) {
	for _, number := range step.After {
		first := carobkeel.TaskName{Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: number}
		if missing, found := h.undoneOf(first, r.start.Number); found {
			return missing, true
		}
	}
	return carobkeel.TaskName{}, false
}

// undoneOf returns a task of the step of first that wasn't done by the event with the
// number. One end as done represents all members of a gang.
func (h *history) undoneOf(first carobkeel.TaskName, number int) (carobkeel.TaskName, bool) {
	step := h.step(first)
	if step == nil {
		return first, true
	}
	missing, found := first, false
	for index := range step.Count {
		task := first
		task.Index = index
		done := h.taskDone(task, number)
		if done && step.Gang {
			return carobkeel.TaskName{}, false
		}
		if !done && !found {
			missing, found = task, true
		}
	}
	return missing, found
}

// taskDone reports whether a run of the task had ended as done by the event with the
// number.
func (h *history) taskDone(task carobkeel.TaskName, number int) bool {
	for _, r := range h.byTask[task] {
		if r.done(number) {
			return true
		}
	}
	return false
}

// due returns the time of a task's occurrence, since the record began.
func (h *history) due(task carobkeel.TaskName) (time.Duration, bool) {
	spec := h.jobs[task.Job].spec()
	if spec == nil || spec.Repeats == 0 {
		return 0, false
	}
	due := spec.First.Add(time.Duration(task.Occurrence) * spec.Period)
	return due.Sub(h.Began), true
}
