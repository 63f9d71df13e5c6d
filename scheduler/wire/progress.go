package wire

import (
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// FromProgress returns the row for the progress of a job.
func FromProgress(p *dispatch.Progress) *ProgressRow {
	row := &ProgressRow{State: uint8(p.State), DoneUpTo: p.DoneUpTo}
	for i := range p.Tasks {
		if t := &p.Tasks[i]; t.Count > 1 {
			row.Done = append(row.Done, fromDoneRange(t))
		} else {
			row.Tasks = append(row.Tasks, fromTaskProgress(t))
		}
	}
	return row
}

func fromDoneRange(t *dispatch.TaskProgress) DoneRange {
	return DoneRange{Occurrence: t.Task.Occurrence, Step: t.Task.Step, First: t.Task.Index, Count: t.Count}
}

// CutProgress returns the tasks of a job with each range of done tasks cut before the given tasks, so that
// none holds tasks of two rows. All are in the order of their names.
func CutProgress(tasks []dispatch.TaskProgress, before []carobkeel.TaskName) []dispatch.TaskProgress {
	var cut []dispatch.TaskProgress
	for _, t := range tasks {
		for _, b := range before {
			isInRange := t.Task.Occurrence == b.Occurrence && t.Task.Step == b.Step && t.Task.Index < b.Index && b.Index < t.Task.Index+t.Count
			if !isInRange {
				continue
			}
			head := t
			head.Count = b.Index - t.Task.Index
			cut = append(cut, head)
			t.Count -= head.Count
			t.Task.Index = b.Index
		}
		cut = append(cut, t)
	}
	return cut
}

// FromProgressPart returns the row for the tasks of a job from the given one on. It has DoneUpTo as
// well: tasks that it does not list any more are done, also if the row with the state is not
// rewritten yet.
func FromProgressPart(first carobkeel.TaskName, doneUpTo int, tasks []dispatch.TaskProgress) *ProgressRow {
	row := FromProgress(&dispatch.Progress{DoneUpTo: doneUpTo, Tasks: tasks})
	row.First = first.String()
	return row
}

func fromTaskProgress(t *dispatch.TaskProgress) TaskProgress {
	return TaskProgress{
		Occurrence: t.Task.Occurrence, Step: t.Task.Step, Index: t.Task.Index,
		Done: t.Done, FailedRuns: t.FailedRuns, Checkpoint: t.Checkpoint,
	}
}

// rowOverhead bounds the size of a progress row without its tasks and the job's ID.
const rowOverhead = 96

// SplitProgress divides the tasks of a job into lists that each fit in a row of the given
// size. If there are several, they are filled by half, so that they can grow.
func SplitProgress(tasks []dispatch.TaskProgress, rowBytes int) [][]dispatch.TaskProgress {
	if len(tasks) == 0 {
		return [][]dispatch.TaskProgress{nil}
	}
	sizes := make([]int, len(tasks))
	overhead := rowOverhead + len(tasks[0].Task.Job)
	total := overhead
	var buffer []byte
	for i := range tasks {
		buffer = appendTaskProgress(buffer[:0], &tasks[i])
		sizes[i] = len(buffer)
		total += sizes[i]
	}
	if total <= rowBytes {
		return [][]dispatch.TaskProgress{tasks}
	}
	return splitBySize(tasks, sizes, rowBytes/2-overhead)
}

// appendTaskProgress appends the encoding of one task's progress, or of a range of done tasks.
func appendTaskProgress(buffer []byte, t *dispatch.TaskProgress) []byte {
	if t.Count > 1 {
		encoded := fromDoneRange(t)
		buffer, _ = encoded.MarshalMsg(buffer) // can't fail: numbers only
		return buffer
	}
	encoded := fromTaskProgress(t)
	buffer, _ = encoded.MarshalMsg(buffer) // can't fail: numbers and texts only
	return buffer
}

// splitBySize divides tasks into lists of at most the given size, or of one task.
func splitBySize(tasks []dispatch.TaskProgress, sizes []int, limit int) [][]dispatch.TaskProgress {
	var lists [][]dispatch.TaskProgress
	begin, size := 0, 0
	for i := range tasks {
		if i > begin && size+sizes[i] > limit {
			lists = append(lists, tasks[begin:i])
			begin, size = i, 0
		}
		size += sizes[i]
	}
	return append(lists, tasks[begin:])
}

// DecodeProgress decodes the row with the state of the job with the given ID.
func DecodeProgress(value []byte, id carobkeel.JobID) (dispatch.Progress, error) {
	var row ProgressRow
	if _, err := row.UnmarshalMsg(value); err != nil {
		return dispatch.Progress{}, errors.Wrap(err, "decode progress")
	}
	if carobkeel.JobState(row.State) > carobkeel.JobCancelled {
		return dispatch.Progress{}, errors.Errorf("decode progress: unknown state %d", row.State)
	}
	return row.Decoded(id), nil
}

// DecodeProgressPart decodes the row of the tasks of a job from the given one on.
func DecodeProgressPart(value []byte, first carobkeel.TaskName) (dispatch.Progress, error) {
	var row ProgressRow
	if _, err := row.UnmarshalMsg(value); err != nil {
		return dispatch.Progress{}, errors.Wrap(err, "decode a part of progress")
	}
	if row.First != first.String() {
		return dispatch.Progress{}, errors.Errorf("decode a part of progress: it begins with %q", row.First)
	}
	return row.Decoded(first.Job), nil
}

// Decoded returns the progress of the job with the given ID.
func (r *ProgressRow) Decoded(id carobkeel.JobID) dispatch.Progress {
	p := dispatch.Progress{Job: id, State: carobkeel.JobState(r.State), DoneUpTo: r.DoneUpTo}
	for _, d := range r.Done {
		name := carobkeel.TaskName{Job: id, Occurrence: d.Occurrence, Step: d.Step, Index: d.First}
		p.Tasks = append(p.Tasks, dispatch.TaskProgress{Task: name, Done: true, Count: d.Count})
	}
	for _, t := range r.Tasks {
		p.Tasks = append(p.Tasks, dispatch.TaskProgress{
			Task: carobkeel.TaskName{Job: id, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index},
			Done: t.Done, FailedRuns: t.FailedRuns, Checkpoint: t.Checkpoint,
		})
	}
	return p
}
