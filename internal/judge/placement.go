package judge

import (
	"slices"

	"github.com/carobkeel/carobkeel"
)

// judgePlacement looks for starts on workers that may not run the task: of another service,
// without the label, or with too many tasks of the step.
func judgePlacement(h *history) []Finding {
	var findings []Finding
	for _, r := range h.runs {
		step, l := h.step(r.Task), h.byWorker[r.Worker]
		if step == nil {
			continue
		}
		events := []Event{l.start, r.start}
		switch {
		case !slices.Contains(h.services(h.jobs[r.Task.Job]), l.Service):
			findings = append(findings, findTask(RulePlacement, r.Task, r.start.At, events,
				"%v is of service %q, to which no version sends the queue", r, l.Service))
		case step.RequiredLabel != "" && !slices.Contains(l.Labels, step.RequiredLabel):
			findings = append(findings, findTask(RulePlacement, r.Task, r.start.At, events,
				"%v has no label %q", r, step.RequiredLabel))
		case step.MaxPerWorker > 0 && together(l.runningAt(r.start.Number), r.Task) > step.MaxPerWorker:
			findings = append(findings, findTask(RulePlacement, r.Task, r.start.At, events,
				"%v is beyond %d tasks of the step on one worker", r, step.MaxPerWorker))
		}
	}
	return findings
}

// together counts the runs of tasks of the same step and occurrence.
func together(runs []*run, task carobkeel.TaskName) int {
	count := 0
	for _, r := range runs {
		if r.Task.StepName() == task.StepName() {
			count++
		}
	}
	return count
}
