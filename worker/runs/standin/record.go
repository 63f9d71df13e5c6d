package standin

import (
	"fmt"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Record holds what actually ran on the stand-ins of a test.
type Record struct {
	active map[carobkeel.TaskName]int
	// restarted holds, for each task, its runs that have ended as done, and whether the task
	// was started after that.
	restarted map[carobkeel.TaskName]map[int]bool
	// Done counts acknowledged ends of runs that did their task's work.
	Done map[carobkeel.TaskName]int
	// Failed counts acknowledged ends of runs that failed.
	Failed map[carobkeel.TaskName]int
	// FailedRuns holds the numbers of the runs that failed, acknowledged or not.
	FailedRuns map[carobkeel.TaskName][]int
	// Starts counts started runs.
	Starts map[carobkeel.TaskName]int
	// Interrupted counts runs that were stopped or lost their lease.
	Interrupted map[carobkeel.TaskName]int
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
		active:    make(map[carobkeel.TaskName]int),
		restarted: make(map[carobkeel.TaskName]map[int]bool),

		Done:   make(map[carobkeel.TaskName]int),
		Failed: make(map[carobkeel.TaskName]int),

		FailedRuns: make(map[carobkeel.TaskName][]int),
		Starts:     make(map[carobkeel.TaskName]int),

		Interrupted: make(map[carobkeel.TaskName]int),
	}
}

func (r *Record) started(task carobkeel.TaskName, run int, life runs.Incarnation) {
	r.Starts[task]++
	r.active[task]++
	for done := range r.restarted[task] {
		r.restarted[task][done] = true
	}
	if r.OnStart != nil {
		r.OnStart(task, run)
	}
	if r.mayRunTwice(task) {
		return
	}
	if r.active[task] > 1 {
		r.Violations = append(r.Violations, fmt.Sprintf("%s runs twice at a time: run %d on %s", task, run, life.ID))
	}
	if r.Done[task] > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%s started after it was done: run %d on %s", task, run, life.ID))
	}
}

func (r *Record) ended(task carobkeel.TaskName, run int, outcome runs.Outcome) {
	r.active[task]--
	switch outcome {
	case runs.OutcomeFailed:
		r.FailedRuns[task] = append(r.FailedRuns[task], run)
	case runs.OutcomeStopped, runs.OutcomeExpired:
		r.Interrupted[task]++
	case runs.OutcomeDone:
		if r.restarted[task] == nil {
			r.restarted[task] = make(map[int]bool)
		}
		r.restarted[task][run] = false
	}
}

func (r *Record) acknowledged(end runs.End) {
	switch end.Outcome {
	case runs.OutcomeDone:
		r.Done[end.Task]++
		if r.restarted[end.Task][end.Run] && !r.mayRunTwice(end.Task) {
			r.Violations = append(r.Violations, fmt.Sprintf("%s started after its run %d was done, which was acknowledged later", end.Task, end.Run))
		}
	case runs.OutcomeFailed:
		r.Failed[end.Task]++
	}
}

func (r *Record) mayRunTwice(task carobkeel.TaskName) bool {
	return r.AllowsConcurrentRuns != nil && r.AllowsConcurrentRuns(task)
}
