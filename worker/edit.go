package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Edit builds the next Fleet by copy-on-write. Its embedded Fleet includes the
// changes made so far, so an Edit can be used as the State of a decision. An
// Edit is not safe for concurrent use and must not be used after Publish.
type Edit struct {
	Fleet
	// pageCopied reports, by page, whether the edit has its own copy of it.
	pageCopied []bool
	// directoryCopied reports whether the edit has its own copy of the
	// directory.
	directoryCopied bool
	// newLocations maps each task that was placed or removed to its new worker,
	// "" for a removed task.
	newLocations map[carobkeel.TaskID]ID
	// lookup returns the worker of a task that the edit has not changed. It
	// may be nil.
	lookup func(carobkeel.TaskID) (ID, bool)
}

// Publish returns the snapshot that the edit has built, with the next version.
func (e *Edit) Publish() *Fleet {
	next := e.Fleet
	next.version++
	e.pages = nil
	return &next
}

// Join adds a worker. A worker with the same id is replaced, and its tasks are
// kept.
func (e *Edit) Join(w Worker) {
	if old, ok := e.Worker(w.ID); ok {
		if old.Location == w.Location {
			w.Tasks = old.Tasks
			e.replace(old, w)
			return
		}
		w.Tasks = old.Tasks
		e.removeWorker(old)
	}
	w.sum()
	w.Version++
	e.copyDirectory()
	at := e.allocateSlot(w.Location.DataCentre)
	p := e.pages[at.page]
	p.workers = append(p.workers, nil)
	p.set(at.slot, &w)
	e.directory.add(&w, at)
	e.addToTotal(&w, 1)
}

// Leave removes a worker and returns the tasks that it had.
func (e *Edit) Leave(id ID) []*Task {
	w, ok := e.Worker(id)
	if !ok {
		return nil
	}
	for _, task := range w.Tasks {
		e.setLocation(task.ID, "")
	}
	e.removeWorker(w)
	return w.Tasks
}

// SetStatus changes the status of the worker.
func (e *Edit) SetStatus(id ID, status Status) bool {
	return e.change(id, func(w *Worker) { w.Status = status })
}

// SetCapacity sets the capacity that the worker reports. It may be less than
// what the worker's tasks reserve; Shed then returns what has to be evicted.
func (e *Edit) SetCapacity(id ID, capacity carobkeel.Resources) bool {
	return e.change(id, func(w *Worker) { w.Capacity = capacity })
}

// SetStop sets the start of the worker's planned stop. A zero time cancels the
// stop.
func (e *Edit) SetStop(id ID, at time.Time) bool {
	return e.change(id, func(w *Worker) { w.StopAt = at })
}

// SetUsage stores a usage report, unless the worker already has a newer one.
func (e *Edit) SetUsage(id ID, usage Usage) bool {
	old, ok := e.Worker(id)
	if !ok || usage.MeasuredAt.Before(old.Usage.MeasuredAt) {
		return false
	}
	next := *old
	next.Usage = usage
	e.put(e.directory.positions[id], &next)
	return true
}

// Reserve changes a task's reservation, as its estimated size changes. It
// reports false where the worker has no room for a larger reservation.
func (e *Edit) Reserve(id ID, task carobkeel.TaskID, reserved carobkeel.Resources) bool {
	w, ok := e.Worker(id)
	if !ok {
		return false
	}
	old, ok := w.Task(task)
	if !ok {
		return false
	}
	increase := maxParts(reserved.Sub(old.Reserved), carobkeel.Resources{})
	if !increase.IsZero() && !increase.FitsIn(w.Free()) {
		return false
	}
	return e.changeTask(id, task, func(t *Task) { t.Reserved = reserved })
}

// Checkpointed records the time of a task's last complete checkpoint.
func (e *Edit) Checkpointed(id ID, task carobkeel.TaskID, at time.Time) bool {
	return e.changeTask(id, task, func(t *Task) { t.CheckpointedAt = at })
}

// Throttle sets the percentage of a task's processors that is withheld.
func (e *Edit) Throttle(id ID, task carobkeel.TaskID, percent uint8) bool {
	return e.changeTask(id, task, func(t *Task) { t.Throttle = min(percent, 100) })
}

// Evicting marks a running task as being evicted. The task keeps its
// reservation until it is removed.
func (e *Edit) Evicting(id ID, task carobkeel.TaskID) bool {
	w, ok := e.Worker(id)
	if !ok {
		return false
	}
	if t, ok := w.Task(task); !ok || t.Phase != PhaseRunning {
		return false
	}
	return e.changeTask(id, task, func(t *Task) { t.Phase = PhaseEvicting })
}

// Started turns a claimed task into a running one if its reservation fits.
func (e *Edit) Started(id ID, task carobkeel.TaskID, now time.Time) bool {
	w, ok := e.Worker(id)
	if !ok {
		return false
	}
	t, ok := w.Task(task)
	if !ok || t.Phase != PhaseClaimed || !t.Reserved.FitsIn(w.Capacity.Sub(w.Reserved)) {
		return false
	}
	return e.changeTask(id, task, func(t *Task) { t.Phase, t.StartedAt = PhaseRunning, now })
}

// Remove removes a task that ended, was stopped or was cancelled from its
// worker.
func (e *Edit) Remove(id ID, task carobkeel.TaskID) bool {
	removed := e.change(id, func(w *Worker) {
		if i := w.taskIndex(task); i >= 0 {
			w.Tasks = append(append([]*Task(nil), w.Tasks[:i]...), w.Tasks[i+1:]...)
			w.sum()
		}
	})
	if removed {
		e.setLocation(task, "")
	}
	return removed
}

// Restore adds a task that the worker reports as running, whether or not there
// is room for it.
func (e *Edit) Restore(id ID, task *Task) bool {
	w, ok := e.Worker(id)
	if !ok || w.taskIndex(task.ID) >= 0 {
		return false
	}
	e.add(id, task)
	return true
}

// add places a task on a worker without any check.
func (e *Edit) add(id ID, task *Task) {
	e.change(id, func(w *Worker) {
		w.Tasks = append(w.Tasks[:len(w.Tasks):len(w.Tasks)], task)
		w.sum()
	})
	e.setLocation(task.ID, id)
}

// locate returns the worker that has the task.
func (e *Edit) locate(task carobkeel.TaskID) (ID, bool) {
	if id, ok := e.newLocations[task]; ok {
		return id, id != ""
	}
	if e.lookup == nil {
		return "", false
	}
	return e.lookup(task)
}

func (e *Edit) setLocation(task carobkeel.TaskID, to ID) {
	if e.newLocations == nil {
		e.newLocations = map[carobkeel.TaskID]ID{}
	}
	e.newLocations[task] = to
}

func (e *Edit) changeTask(id ID, task carobkeel.TaskID, apply func(*Task)) bool {
	found := false
	e.change(id, func(w *Worker) {
		i := w.taskIndex(task)
		if i < 0 {
			return
		}
		found = true
		next := *w.Tasks[i]
		apply(&next)
		w.Tasks = append([]*Task(nil), w.Tasks...)
		w.Tasks[i] = &next
		w.sum()
	})
	return found
}

func (e *Edit) change(id ID, apply func(*Worker)) bool {
	old, ok := e.Worker(id)
	if !ok {
		return false
	}
	next := *old
	apply(&next)
	e.replace(old, next)
	return true
}

// replace replaces old by next and recomputes the totals.
func (e *Edit) replace(old *Worker, next Worker) {
	next.sum()
	next.Version = old.Version + 1
	e.addToTotal(old, -1)
	e.addToTotal(&next, 1)
	e.put(e.directory.positions[old.ID], &next)
}

func (e *Edit) put(at position, w *Worker) {
	e.copyPage(at.page)
	e.pages[at.page].set(at.slot, w)
}

// removeWorker removes a worker and moves the last worker of its page into the free
// slot.
func (e *Edit) removeWorker(w *Worker) {
	e.copyDirectory()
	at := e.directory.positions[w.ID]
	e.copyPage(at.page)
	p := e.pages[at.page]
	last := len(p.workers) - 1
	e.directory.remove(w, at)
	if at.slot != last {
		moved := p.workers[last]
		e.directory.remove(moved, position{at.page, last})
		p.workers[at.slot], p.cells[at.slot] = moved, p.cells[last]
		e.directory.add(moved, at)
	}
	p.workers, p.cells[last] = p.workers[:last], cell{}
	p.summarize()
	e.addToTotal(w, -1)
}

// addToTotal adds the worker's capacity to the fleet's total (sign 1) or
// subtracts it (sign -1).
func (e *Edit) addToTotal(w *Worker, sign int64) {
	if w.Status == StatusLost {
		return
	}
	e.total = carobkeel.Resources{
		MilliCPU:     e.total.MilliCPU + sign*w.Capacity.MilliCPU,
		MemoryBytes:  e.total.MemoryBytes + sign*w.Capacity.MemoryBytes,
		Accelerators: e.total.Accelerators + sign*w.Capacity.Accelerators,
	}
}

// allocateSlot returns a free slot on a page of the data centre, adding a page
// if all are full.
func (e *Edit) allocateSlot(dc carobkeel.DataCentre) position {
	for i, p := range e.pages {
		if p.dataCentre == dc && len(p.workers) < pageSize {
			e.copyPage(i)
			return position{i, len(p.workers)}
		}
	}
	e.pages = append(e.pages, &page{dataCentre: dc, workers: make([]*Worker, 0, pageSize)})
	e.pageCopied = append(e.pageCopied, true)
	return position{len(e.pages) - 1, 0}
}

func (e *Edit) copyPage(i int) {
	if !e.pageCopied[i] {
		e.pages[i] = e.pages[i].clone()
		e.pageCopied[i] = true
	}
}

func (e *Edit) copyDirectory() {
	if !e.directoryCopied {
		e.directory = e.directory.clone()
		e.directoryCopied = true
	}
}
