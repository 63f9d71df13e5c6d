package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// ID names a worker. A replaced host is a new worker with another ID.
type ID string

// Status says whether a worker takes new tasks.
type Status uint8

const (
	// StatusReady workers take new tasks.
	StatusReady Status = iota
	// StatusDraining workers finish or give up what they run.
	StatusDraining
	// StatusQuarantined workers are set aside because tasks fail on them.
	StatusQuarantined
	// StatusLost workers have not been heard of. Their tasks may still run
	// until their leases lapse, so their reservations are kept.
	StatusLost
)

var statusNames = [...]string{"ready", "draining", "quarantined", "lost"}

// String returns the status as operators read it.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Usage is the last usage report of a worker.
type Usage struct {
	// Used is what the tasks of the worker really use.
	Used carobkeel.Resources
	// MeasuredAt is when the worker measured it, which lags behind its arrival.
	MeasuredAt time.Time
}

// Worker is a host that runs tasks. A Worker that is part of a Fleet is never
// changed; Edit puts a changed copy in its place.
type Worker struct {
	ID       ID
	Location carobkeel.Location
	Status   Status
	// Version grows with each change of status, capacity or tasks. Usage
	// reports leave it as it is.
	Version uint64
	// Capacity is what the worker reported last. It may shrink below Reserved.
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
	// groups are the hashes of the groups of Tasks, in the same order. They
	// lie together, so that counting a group on a rack reads little memory.
	// Only Edit changes them.
	groups []uint32
}

// Free returns the capacity that a task may start on at once. A part is
// negative where the worker has shrunk below what it holds.
func (w *Worker) Free() carobkeel.Resources {
	return w.Capacity.Sub(w.Reserved).Sub(w.Claimed)
}

// Claimable returns the capacity that is free once all evictions that are
// under way on the worker have finished.
func (w *Worker) Claimable() carobkeel.Resources { return w.Free().Add(w.Releasing) }

// Overcommitted reports whether the worker has shrunk below what it holds.
func (w *Worker) Overcommitted() bool { return !w.Reserved.FitsIn(w.Capacity) }

// Task returns the task with the given id.
func (w *Worker) Task(id carobkeel.TaskID) (*Task, bool) {
	if i := w.taskIndex(id); i >= 0 {
		return w.Tasks[i], true
	}
	return nil, false
}

// Startable returns the claimed tasks whose reservations fit now, the oldest
// claim first. The sum of what it returns fits as well.
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

// reclaimable returns what is free once every batch task is evicted.
func (w *Worker) reclaimable() carobkeel.Resources {
	sum := w.Claimable()
	for _, task := range w.Tasks {
		if task.Class == carobkeel.ClassBatch && task.Phase == PhaseRunning {
			sum = sum.Add(task.Reserved)
		}
	}
	return sum
}

// groupCount returns how many tasks of a group the worker has, evicting ones
// apart. The hash is that of the group.
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
