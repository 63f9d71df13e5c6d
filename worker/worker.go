package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// ID identifies a worker. A host that replaces another is a new worker with
// another ID.
type ID string

// Status is the state of a worker. Only ready workers take new tasks.
type Status uint8

const (
	// StatusReady workers take new tasks.
	StatusReady Status = iota
	// StatusDraining workers take no new tasks. Their running tasks finish or
	// are stopped.
	StatusDraining
	// StatusQuarantined workers take no new tasks because tasks fail on them.
	StatusQuarantined
	// StatusLost workers have stopped reporting. Their tasks may still run
	// until their leases expire, so their reservations are kept.
	StatusLost
)

var statusNames = [...]string{"ready", "draining", "quarantined", "lost"}

// String returns the status name that is shown to operators.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Usage is the last usage report of a worker.
type Usage struct {
	// Used is the measured usage of the worker's tasks.
	Used carobkeel.Resources
	// MeasuredAt is when the worker measured it, some time before the report
	// arrived.
	MeasuredAt time.Time
}

// Worker is a host that runs tasks. A Worker that is part of a Fleet is never
// changed but replaced by a changed copy in an Edit.
type Worker struct {
	ID       ID
	Location carobkeel.Location
	Status   Status
	// Version grows with each change of the worker except usage reports.
	Version uint64
	// Capacity is the last reported capacity. It may shrink below Reserved.
	Capacity carobkeel.Resources
	// Reserved is the sum of the reservations of running and evicting tasks.
	// Only Edit changes it.
	Reserved carobkeel.Resources
	// Claimed is the sum of the reservations of claimed tasks. Only Edit
	// changes it.
	Claimed carobkeel.Resources
	// Releasing is the part of Reserved that evicting tasks hold. Only Edit
	// changes it.
	Releasing carobkeel.Resources
	// StopAt is the start of the worker's planned stop, zero if none.
	StopAt time.Time
	Usage  Usage
	// Tasks are the tasks of the worker in the order in which they came.
	Tasks []*Task
	// groups are the hashes of the groups of Tasks, in the same order. They are
	// stored contiguously, so that counting a group on a rack reads little
	// memory. Only Edit changes them.
	groups []uint32
}

// Free returns the capacity that is neither reserved nor claimed, on which a task
// may start at once. It is negative for a resource of which the worker's capacity
// has shrunk below that.
func (w *Worker) Free() carobkeel.Resources {
	return w.Capacity.Sub(w.Reserved).Sub(w.Claimed)
}

// Claimable returns the capacity that is free once all evictions in progress on
// the worker have finished.
func (w *Worker) Claimable() carobkeel.Resources { return w.Free().Add(w.Releasing) }

// Overcommitted reports whether the reservations exceed the worker's capacity, as
// happens when the capacity shrinks.
func (w *Worker) Overcommitted() bool { return !w.Reserved.FitsIn(w.Capacity) }

// Task returns the task with the given id.
func (w *Worker) Task(id carobkeel.TaskID) (*Task, bool) {
	if i := w.taskIndex(id); i >= 0 {
		return w.Tasks[i], true
	}
	return nil, false
}

// Startable returns the claimed tasks that can start now, the oldest claim first,
// up to the first one that does not fit. Their reservations fit together.
func (w *Worker) Startable() []*Task {
	room := w.Capacity.Sub(w.Reserved)
	var startable []*Task
	for _, task := range w.Tasks {
		if task.Phase != PhaseClaimed {
			continue
		}
		if !task.Reserved.FitsIn(room) {
			break
		}
		room = room.Sub(task.Reserved)
		startable = append(startable, task)
	}
	return startable
}

func (w *Worker) taskIndex(id carobkeel.TaskID) int {
	for i, task := range w.Tasks {
		if task.ID == id {
			return i
		}
	}
	return -1
}

// reclaimable returns the capacity that is free once every running batch task is
// evicted.
func (w *Worker) reclaimable() carobkeel.Resources {
	sum := w.Claimable()
	for _, task := range w.Tasks {
		if task.Class == carobkeel.ClassBatch && task.Phase == PhaseRunning {
			sum = sum.Add(task.Reserved)
		}
	}
	return sum
}

// groupCount returns how many tasks of a group the worker has, not counting tasks
// that are being evicted. The hash is hashGroup(group).
func (w *Worker) groupCount(group string, hash uint32) int {
	count := 0
	for i, h := range w.groups {
		if h != hash {
			continue
		}
		if task := w.Tasks[i]; task.Group == group && task.Phase != PhaseEvicting {
			count++
		}
	}
	return count
}

// hashGroup returns the FNV-1a hash of a group.
func hashGroup(group string) uint32 {
	const offset, prime = 2166136261, 16777619
	hash := uint32(offset)
	for i := range len(group) {
		hash = (hash ^ uint32(group[i])) * prime
	}
	return hash
}

// sum computes Reserved, Claimed, Releasing and groups from the tasks.
func (w *Worker) sum() {
	w.groups = make([]uint32, len(w.Tasks))
	for i, task := range w.Tasks {
		w.groups[i] = hashGroup(task.Group)
	}
	w.Reserved, w.Claimed, w.Releasing = carobkeel.Resources{}, carobkeel.Resources{}, carobkeel.Resources{}
	for _, task := range w.Tasks {
		switch task.Phase {
		case PhaseClaimed:
			w.Claimed = w.Claimed.Add(task.Reserved)
		case PhaseEvicting:
			w.Releasing = w.Releasing.Add(task.Reserved)
			w.Reserved = w.Reserved.Add(task.Reserved)
		default:
			w.Reserved = w.Reserved.Add(task.Reserved)
		}
	}
}
