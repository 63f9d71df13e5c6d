package standin

import (
	"fmt"
	"sync"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
)

// Record holds what actually ran on a set of stand-ins, and every violation of what
// a scheduler guarantees. It does not rely on the statements of schedulers or
// reports.
type Record struct {
	mu sync.Mutex
	// running counts the current runs of each task.
	running map[carobkeel.TaskID]int
	// current holds the current runs of each worker incarnation.
	current map[string]map[scheduler.RunRef]bool
	// runStarts counts the starts of each run, taskStarts those of all runs of a
	// task.
	runStarts  map[scheduler.RunRef]int
	taskStarts map[carobkeel.TaskID]int
	done       map[carobkeel.TaskID]bool
	cancelled  map[carobkeel.TaskID]bool
	violations []string
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		running:    make(map[carobkeel.TaskID]int),
		current:    make(map[string]map[scheduler.RunRef]bool),
		runStarts:  make(map[scheduler.RunRef]int),
		taskStarts: make(map[carobkeel.TaskID]int),
		done:       make(map[carobkeel.TaskID]bool),
		cancelled:  make(map[carobkeel.TaskID]bool),
	}
}

// Cancelled records that a task was cancelled, after which no further run of it may
// start.
func (r *Record) Cancelled(task carobkeel.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled[task] = true
}

// Violations returns the violations of what a scheduler guarantees.
func (r *Record) Violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// Starts returns how many runs of a task have started.
func (r *Record) Starts(task carobkeel.TaskID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taskStarts[task]
}

// Running returns the number of current runs of a task.
func (r *Record) Running(task carobkeel.TaskID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[task]
}

// Done reports whether a run of the task has completed its work.
func (r *Record) Done(task carobkeel.TaskID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// update sets the current runs of a worker incarnation, and checks their starts
// and the capacity.
func (r *Record) update(incarnation string, running []scheduler.ActiveRun, capacity carobkeel.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := make(map[scheduler.RunRef]bool, len(running))
	var used carobkeel.Resources
	for i := range running {
		now[running[i].Ref] = true
		used = used.Add(running[i].Demand)
	}
	for ref := range r.current[incarnation] {
		if !now[ref] {
			if r.running[ref.Task]--; r.running[ref.Task] == 0 {
				delete(r.running, ref.Task)
			}
		}
	}
	for ref := range now {
		if !r.current[incarnation][ref] {
			r.started(incarnation, ref)
		}
	}
	r.current[incarnation] = now
	if !used.FitsIn(capacity) {
		r.addViolation("%s is over capacity: %+v of %+v", incarnation, used, capacity)
	}
}

func (r *Record) started(incarnation string, ref scheduler.RunRef) {
	r.running[ref.Task]++
	r.runStarts[ref]++
	r.taskStarts[ref.Task]++
	if r.running[ref.Task] > 1 {
		r.addViolation("two runs of %s at a time, one on %s", ref.Task, incarnation)
	}
	if r.runStarts[ref] > 1 {
		r.addViolation("run %d of %s started twice", ref.Run, ref.Task)
	}
	if r.done[ref.Task] {
		r.addViolation("%s started on %s after it had completed", ref.Task, incarnation)
	}
	if r.cancelled[ref.Task] {
		r.addViolation("%s started on %s after it was cancelled", ref.Task, incarnation)
	}
}

func (r *Record) finished(ref scheduler.RunRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[ref.Task] = true
}

func (r *Record) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}
