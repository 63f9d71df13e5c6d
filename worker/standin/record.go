package standin

import (
	"fmt"
	"sync"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
)

// Record is what really ran on a set of stand-ins, and every breach of what a
// scheduler promises. It believes nothing that a scheduler or a report says.
type Record struct {
	mu sync.Mutex
	// copies counts the live copies of each task.
	copies map[carobkeel.TaskID]int
	// live lists the copies of each place.
	live map[string]map[scheduler.TaskRef]bool
	// starts counts the starts of each copy, generations the copies of a task.
	starts      map[scheduler.TaskRef]int
	generations map[carobkeel.TaskID]int
	done        map[carobkeel.TaskID]bool
	cancelled   map[carobkeel.TaskID]bool
	breaches    []string
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		copies:      make(map[carobkeel.TaskID]int),
		live:        make(map[string]map[scheduler.TaskRef]bool),
		starts:      make(map[scheduler.TaskRef]int),
		generations: make(map[carobkeel.TaskID]int),
		done:        make(map[carobkeel.TaskID]bool),
		cancelled:   make(map[carobkeel.TaskID]bool),
	}
}

// Cancelled notes that a task was told to be cancelled, after which no further
// copy of it may start.
func (r *Record) Cancelled(task carobkeel.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled[task] = true
}

// Breaches returns what broke a promise.
func (r *Record) Breaches() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.breaches...)
}

// Starts returns how many copies of a task ever started.
func (r *Record) Starts(task carobkeel.TaskID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generations[task]
}

// Live returns the number of live copies of a task.
func (r *Record) Live(task carobkeel.TaskID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copies[task]
}

// Done reports whether a copy of the task did its work.
func (r *Record) Done(task carobkeel.TaskID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[task]
}

// runs takes in what runs at a place now.
func (r *Record) runs(place string, running []scheduler.RunningCopy, capacity carobkeel.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := make(map[scheduler.TaskRef]bool, len(running))
	var used carobkeel.Resources
	for i := range running {
		now[running[i].Ref] = true
		used = used.Add(running[i].Demand)
	}
	for ref := range r.live[place] {
		if !now[ref] {
			if r.copies[ref.Task]--; r.copies[ref.Task] == 0 {
				delete(r.copies, ref.Task)
			}
		}
	}
	for ref := range now {
		if !r.live[place][ref] {
			r.started(place, ref)
		}
	}
	r.live[place] = now
	if !used.FitsIn(capacity) {
		r.breach("%s is over capacity: %+v of %+v", place, used, capacity)
	}
}

func (r *Record) started(place string, ref scheduler.TaskRef) {
	r.copies[ref.Task]++
	r.starts[ref]++
	r.generations[ref.Task]++
	if r.copies[ref.Task] > 1 {
		r.breach("two copies of %s, one on %s", ref.Task, place)
	}
	if r.starts[ref] > 1 {
		r.breach("generation %d of %s started twice", ref.Generation, ref.Task)
	}
	if r.done[ref.Task] {
		r.breach("%s started on %s after it had done its work", ref.Task, place)
	}
	if r.cancelled[ref.Task] {
		r.breach("%s started on %s after it was cancelled", ref.Task, place)
	}
}

func (r *Record) finished(ref scheduler.TaskRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[ref.Task] = true
}

func (r *Record) breach(format string, args ...any) {
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}
