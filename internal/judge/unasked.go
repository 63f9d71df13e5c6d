package judge

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// judgeUnasked looks for starts of what no caller sent, and for runs of cancelled jobs.
func judgeUnasked(h *history) []Finding {
	known := h.checkpoints()
	var findings []Finding
	for _, r := range h.runs {
		switch {
		case !h.wasSent(r):
			findings = append(findings, findTask(RuleUnasked, r.Task, r.start.At, []Event{r.start},
				"%v began, and no caller has sent that", r))
		case r.Checkpoint != "" && !known.has(h, r):
			findings = append(findings, findTask(RuleUnasked, r.Task, r.start.At, []Event{r.start},
				"%v began with the checkpoint %q, which isn't the task's", r, r.Checkpoint))
		default:
			findings = append(findings, h.runOfCancelled(r)...)
		}
	}
	return findings
}

// wasSent reports whether a caller had sent a job with the run's task and payload.
func (h *history) wasSent(r *run) bool {
	j := h.jobs[r.Task.Job]
	if j == nil {
		return false
	}
	for _, a := range j.attempts {
		if a.sent.Number < r.start.Number && a.Spec.Payload == r.Payload && hasTask(&a.Spec, r.Task) {
			return true
		}
	}
	return false
}

func hasTask(spec *carobkeel.JobSpec, task carobkeel.TaskName) bool {
	occurrences := max(1, spec.Repeats)
	if task.Occurrence >= occurrences || task.Step >= len(spec.Steps) {
		return false
	}
	return task.Index < spec.Steps[task.Step].Count
}

// checkpointOf names a checkpoint and where it came from.
type checkpointOf struct {
	origin     carobkeel.TaskName
	checkpoint string
}

// checkpoints holds the number of the event with which each checkpoint was first seen.
type checkpoints map[checkpointOf]int

func (h *history) checkpoints() checkpoints {
	known := make(checkpoints)
	for _, event := range h.Events {
		switch seen := event.Observation.(type) {
		case CheckpointSaved:
			known.add(h, seen.Task, seen.Checkpoint, event.Number)
		case RunEnded:
			known.add(h, seen.Task, seen.Checkpoint, event.Number)
		}
	}
	return known
}

func (c checkpoints) add(h *history, task carobkeel.TaskName, checkpoint string, number int) {
	key := checkpointOf{h.origin(task), checkpoint}
	if _, known := c[key]; !known {
		c[key] = number
	}
}

// has reports whether the checkpoint that a run began with had been seen.
func (c checkpoints) has(h *history, r *run) bool {
	number, known := c[checkpointOf{h.origin(r.Task), r.Checkpoint}]
	return known && number < r.start.Number
}

// origin returns the task, or for all members of a gang the first one.
func (h *history) origin(task carobkeel.TaskName) carobkeel.TaskName {
	if step := h.step(task); step != nil && step.Gang {
		task.Index = 0
	}
	return task
}

// runOfCancelled judges a run by the cancellation of its job.
func (h *history) runOfCancelled(r *run) []Finding {
	cancelled, event, ok := h.cancelledAt(h.jobs[r.Task.Job])
	if !ok {
		return nil
	}
	if r.start.At > cancelled+h.bounds.Cancel && h.onTime(r) {
		return []Finding{findTask(RuleUnasked, r.Task, r.start.At, []Event{event, r.start},
			"%v began after its job was cancelled", r)}
	}
	from := max(cancelled, r.start.At)
	if r.Late {
		from = max(cancelled, r.start.At+h.bounds.Contact)
	}
	gone, calm := h.contact.calmStretch(from, h.bounds.Cancel+h.bounds.StopGrace, r.until(h))
	if !calm || gone >= r.until(h) {
		return nil
	}
	return []Finding{findTask(RuleUnasked, r.Task, gone, []Event{event, r.start},
		"%v runs on after its job was cancelled", r)}
}

// cancelledAt returns when a job counts as cancelled: its cancellation was acknowledged, or
// waited for that in calm.
func (h *history) cancelledAt(j *job) (time.Duration, Event, bool) {
	if j.cancelSent == nil {
		return 0, Event{}, false
	}
	last := h.End
	if j.cancelled != nil {
		last = j.cancelled.At
	}
	if waited, calm := h.contact.calmStretch(j.cancelSent.At, h.bounds.Acknowledge, last); calm {
		return waited, *j.cancelSent, true
	}
	if j.cancelled == nil {
		return 0, Event{}, false
	}
	return j.cancelled.At, *j.cancelled, true
}
