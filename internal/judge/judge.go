package judge

import (
	"fmt"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// judges are all judges, each of which looks for one broken rule.
var judges = []func(*history) []Finding{
	judgeTwice, judgeLost, judgeUnasked, judgeOrder, judgeCapacity, judgeAttempts, judgeRefused,
	judgePlacement, judgeConfiguration, judgeDrain, judgeAcknowledged, judgeShown,
}

// Evaluate returns the broken rules of a play in order of time.
func Evaluate(play Play, bounds Bounds) []Finding {
	h := newHistory(play, bounds)
	var findings []Finding
	for _, judge := range judges {
		findings = append(findings, judge(h)...)
	}
	slices.SortStableFunc(findings, Finding.compare)
	return findings
}

// Timeline returns the events of a play that name the job of a task or the worker of one
// of its runs, in order of time: what a finding on the task is to be read with.
func Timeline(play Play, task carobkeel.TaskName) []Event {
	workers := make(map[Worker]bool)
	for _, event := range play.Events {
		if seen, ok := event.Observation.(RunStarted); ok && seen.Task == task {
			workers[seen.Worker] = true
		}
	}
	var events []Event
	for _, event := range play.Events {
		if concerns(event.Observation, task, workers) {
			events = append(events, event)
		}
	}
	return events
}

// concerns reports whether an observation belongs to the timeline of a task with runs on
// the workers.
func concerns(o Observation, task carobkeel.TaskName, workers map[Worker]bool) bool {
	switch seen := o.(type) {
	case SubmissionSent:
		return seen.Job == task.Job
	case SubmissionAnswered:
		return seen.Job == task.Job
	case CancelSent:
		return seen.Job == task.Job
	case CancelAcknowledged:
		return seen.Job == task.Job
	case StateAnswered:
		return seen.Job == task.Job
	case RunStarted:
		return seen.Task == task
	case CheckpointSaved:
		return seen.Task == task
	case RunEnded:
		return seen.Task == task
	case WorkerStarted:
		return workers[seen.Worker]
	case WorkerEnded:
		return workers[seen.Worker]
	case LeaseExpired:
		return workers[seen.Worker]
	case EndsListed:
		return workers[seen.Worker]
	case EndsAcknowledged:
		return workers[seen.Worker]
	case DrainReported:
		return workers[seen.Worker]
	case DrainAcknowledged:
		return workers[seen.Worker]
	case Disruption, DisruptionEnded, TrafficEnded:
		return true
	}
	return false
}

// findTask returns a finding on a task, which rests on the events.
func findTask(rule Rule, task carobkeel.TaskName, at time.Duration, events []Event, format string, args ...any) Finding {
	f := findJob(rule, task.Job, at, events, format, args...)
	f.Task = task.String()
	return f
}

// findJob returns a finding on a job, which rests on the events.
func findJob(rule Rule, id carobkeel.JobID, at time.Duration, events []Event, format string, args ...any) Finding {
	f := Finding{Rule: rule, Job: id, At: at, Text: fmt.Sprintf(format, args...)}
	for _, event := range events {
		f.Events = append(f.Events, event.Number)
	}
	return f
}
