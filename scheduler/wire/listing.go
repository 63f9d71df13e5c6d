package wire

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// FromListing returns the message for a listing.
func FromListing(l dispatch.WorkerListing, epoch carobkeel.Epoch) *Listing {
	message := &Listing{
		Incarnation: WorkerIncarnation(l.Incarnation), Number: l.Number, Requested: l.Requested, Epoch: uint64(epoch), Full: l.Full,
		Partial: l.Partial, LateLease: ceilMilliseconds(l.LateLease.Remaining), LateUnanswered: l.LateLease.Unanswered,
	}
	for _, r := range l.Running {
		message.Running = append(message.Running, Running{
			Step: message.indexOf(r.Task), Index: r.Task.Index, Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent, LoadMetric: r.LoadMetric,
		})
	}
	for _, e := range l.Ends {
		message.Ends = append(message.Ends, End{
			Number: e.Number, Step: message.indexOf(e.Task), Index: e.Task.Index, Run: e.Run, Outcome: uint8(e.Outcome), Checkpoint: e.Checkpoint,
		})
	}
	return message
}

// indexOf returns the index of a task's step in Steps, to which it adds one that isn't there.
func (l *Listing) indexOf(task carobkeel.TaskName) int {
	step := ListedStep{Job: string(task.Job), Occurrence: task.Occurrence, Step: task.Step}
	if i := slices.Index(l.Steps, step); i >= 0 {
		return i
	}
	l.Steps = append(l.Steps, step)
	return len(l.Steps) - 1
}

// Decoded returns the listing in the message, for the worker of the given host, and the
// number of rows left out of it because they name no task.
func (l *Listing) Decoded(host string) (listing dispatch.WorkerListing, leftOut int) {
	listing = dispatch.WorkerListing{
		Host: host, Incarnation: runs.Incarnation(l.Incarnation), Number: l.Number, Requested: l.Requested, Full: l.Full,
		Partial: l.Partial,
		LateLease: runs.LateLease{
			Remaining: time.Duration(max(0, min(l.LateLease, maxLateLease))) * time.Millisecond, Unanswered: l.LateUnanswered,
		},
	}
	for _, r := range l.Running {
		task, ok := l.task(r.Step, r.Index)
		if !ok {
			leftOut++
			listing.Partial = true
			continue
		}
		listing.Running = append(listing.Running, runs.Running{
			Task: task, Run: r.Run, Checkpoint: r.Checkpoint, Percent: r.Percent, LoadMetric: r.LoadMetric,
		})
	}
	for _, e := range l.Ends {
		task, ok := l.task(e.Step, e.Index)
		if !ok {
			leftOut++
			continue
		}
		listing.Ends = append(listing.Ends, runs.End{
			Number: e.Number, Task: task, Run: e.Run, Outcome: runs.Outcome(e.Outcome), Checkpoint: e.Checkpoint,
		})
	}
	return listing, leftOut
}

// task returns the name of a task. The second result is false if there can be none such.
func (l *Listing) task(step, index int) (carobkeel.TaskName, bool) {
	if step < 0 || step >= len(l.Steps) || index < 0 {
		return carobkeel.TaskName{}, false
	}
	s := l.Steps[step]
	name := carobkeel.TaskName{Job: carobkeel.JobID(s.Job), Occurrence: s.Occurrence, Step: s.Step, Index: index}
	return name, name.Job.IsValid() && s.Occurrence >= 0 && s.Step >= 0
}

// maxLateLease bounds what a message states of a lease, in milliseconds: an hour.
const maxLateLease = int64(time.Hour / time.Millisecond)

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
