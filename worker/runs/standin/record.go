package standin

import (
	"fmt"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Record holds what actually ran on the stand-ins of a test.
type Record struct {
	active map[carobkeel.TaskName]int
	// Done counts acknowledged ends of runs that did their task's work.
	Done map[carobkeel.TaskName]int
	// Failed counts acknowledged ends of runs that failed.
	Failed map[carobkeel.TaskName]int
	// FailedRuns counts runs that failed, acknowledged or not.
	FailedRuns map[carobkeel.TaskName]int
	// Starts counts started runs.
	Starts map[carobkeel.TaskName]int
	// Violations lists the violations of what the schedulers guarantee.
	Violations []string
	// AllowsConcurrentRuns reports whether a task may have several runs at a time.
	// If it is nil, no task may.
	AllowsConcurrentRuns func(task carobkeel.TaskName) bool
	// OnStart is called on each start, unless it is nil.
	OnStart func(task carobkeel.TaskName, run int)
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		active: make(map[carobkeel.TaskName]int),
		Done:   make(map[carobkeel.TaskName]int),
		Failed: make(map[carobkeel.TaskName]int),

		FailedRuns: make(map[carobkeel.TaskName]int),
		Starts:     make(map[carobkeel.TaskName]int),
	}
}

func (r *Record) started(task carobkeel.TaskName, run int, life runs.Incarnation) {
	r.Starts[task]++
	r.active[task]++
	if r.OnStart != nil {
		r.OnStart(task, run)
	}
	if r.AllowsConcurrentRuns != nil && r.AllowsConcurrentRuns(task) {
		return
	}
	if r.active[task] > 1 {
		r.Violations = append(r.Violations, fmt.Sprintf("%s runs twice at a time: run %d on %s", task, run, life.ID))
	}
	if r.Done[task] > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%s started after it was done: run %d on %s", task, run, life.ID))
	}
}

func (r *Record) ended(task carobkeel.TaskName, outcome runs.Outcome) {
	r.active[task]--
	if outcome == runs.OutcomeFailed {
		r.FailedRuns[task]++
	}
}

func (r *Record) acknowledged(end runs.End) {
	switch end.Outcome {
	case runs.OutcomeDone:
		r.Done[end.Task]++
	case runs.OutcomeFailed:
		r.Failed[end.Task]++
	}
}
