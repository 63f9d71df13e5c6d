package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Edit builds the next Fleet aside. Its embedded Fleet shows the changes made
// so far, so decisions can be made over an Edit as well. An Edit is used by
// one goroutine at a time and is spent once Publish was called.
type Edit struct {
	Fleet
	// owned tells which pages were copied already.
	owned []bool
	// directoryOwned tells whether the directory was copied already.
	directoryOwned bool
	// moved records where tasks were put, "" for a task that was removed.
	moved map[carobkeel.TaskID]ID
	// located finds tasks that the edit has not touched. It may be nil.
	located func(carobkeel.TaskID) (ID, bool)
}

// Publish returns the snapshot that the edit has built.
func (e *Edit) Publish() *Fleet {
	next := e.Fleet
	next.version++
	e.pages = nil
	return &next
}

// Join adds a worker, or puts it in place of the one with the same id and
// keeps that one's tasks.
func (e *Edit) Join(w Worker) {
	if old, ok := e.Worker(w.ID); ok {
		if old.Location == w.Location {
			w.Tasks = old.Tasks
			e.replace(old, w)
			return
		}
		w.Tasks = old.Tasks
		e.leave(old)
	}
	w.sum()
	w.Version++
	e.ownDirectory()
	at := e.allot(w.Location.DataCentre)
	p := e.pages[at.page]
	p.workers = append(p.workers, nil)
	p.set(at.slot, &w)
	e.directory.add(&w, at)
	e.count(&w, 1)
}

// Leave removes a worker and returns the tasks that it had.
func (e *Edit) Leave(id ID) []*Task {
	w, ok := e.Worker(id)
	if !ok {
		return nil
	}
	for _, task := range w.Tasks {
		e.move(task.ID, "")
	}
	e.leave(w)
	return w.Tasks
}

// SetStatus changes whether the worker takes new tasks.
func (e *Edit) SetStatus(id ID, status Status) bool {
	return e.change(id, func(w *Worker) { w.Status = status })
}

// SetCapacity takes over the capacity that the worker reports. It may be less
// than what the worker holds; Shed then tells what has to go.
func (e *Edit) SetCapacity(id ID, capacity carobkeel.Resources) bool {
	return e.change(id, func(w *Worker) { w.Capacity = capacity })
}

// SetStop sets the start of the worker's planned stop, zero to cancel it.
func (e *Edit) SetStop(id ID, at time.Time) bool {
	return e.change(id, func(w *Worker) { w.StopAt = at })
}

// SetUsage takes over a usage report, unless a newer one is known.
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

// Reserve changes what a task reserves, as its learned size changes. It refuses
// a larger reservation that the worker has no room for.
func (e *Edit) Reserve(id ID, task carobkeel.TaskID, reserved carobkeel.Resources) bool {
	w, ok := e.Worker(id)
	if !ok {
		return false
	}
	old, ok := w.Task(task)
	if !ok {
		return false
	}
	grown := maxParts(reserved.Sub(old.Reserved), carobkeel.Resources{})
	if !grown.IsZero() && !grown.FitsIn(w.Free()) {
		return false
	}
	return e.changeTask(id, task, func(t *Task) { t.Reserved = reserved })
}

// Checkpointed records the time of a task's last whole checkpoint.
func (e *Edit) Checkpointed(id ID, task carobkeel.TaskID, at time.Time) bool {
	return e.changeTask(id, task, func(t *Task) { t.CheckpointedAt = at })
}

// Throttle sets the percentage of its processors that is withheld from a task.
func (e *Edit) Throttle(id ID, task carobkeel.TaskID, percent uint8) bool {
	return e.changeTask(id, task, func(t *Task) { t.Throttle = min(percent, 100) })
}

// Evicting marks a running task as being evicted. It keeps its reservation.
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

// Started turns a claimed task into a running one where its reservation fits.
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

// Remove takes a task off its worker: it ended, was stopped or was cancelled.
func (e *Edit) Remove(id ID, task carobkeel.TaskID) bool {
	removed := e.change(id, func(w *Worker) {
		if i := w.taskIndex(task); i >= 0 {
			w.Tasks = append(append([]*Task(nil), w.Tasks[:i]...), w.Tasks[i+1:]...)
			w.sum()
		}
	})
	if removed {
		e.move(task, "")
	}
	return removed
}

// Restore puts a task on a worker because the worker reports that it has it,
// whether or not there is room.
func (e *Edit) Restore(id ID, task *Task) bool {
	w, ok := e.Worker(id)
	if !ok || w.taskIndex(task.ID) >= 0 {
		return false
	}
	e.add(id, task)
	return true
}

// add puts a task on a worker without a check.
func (e *Edit) add(id ID, task *Task) {
	e.change(id, func(w *Worker) {
		w.Tasks = append(w.Tasks[:len(w.Tasks):len(w.Tasks)], task)
		w.sum()
	})
	e.move(task.ID, id)
}

// locate returns the worker that has the task.
func (e *Edit) locate(task carobkeel.TaskID) (ID, bool) {
	if id, ok := e.moved[task]; ok {
		return id, id != ""
	}
	if e.located == nil {
		return "", false
	}
	return e.located(task)
}

func (e *Edit) move(task carobkeel.TaskID, to ID) {
	if e.moved == nil {
		e.moved = map[carobkeel.TaskID]ID{}
	}
	e.moved[task] = to
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

// replace puts next in the place of old.
func (e *Edit) replace(old *Worker, next Worker) {
	next.sum()
	next.Version = old.Version + 1
	e.count(old, -1)
	e.count(&next, 1)
	e.put(e.directory.positions[old.ID], &next)
}

func (e *Edit) put(at position, w *Worker) {
	e.own(at.page)
	e.pages[at.page].set(at.slot, w)
}

// leave removes a worker; the last worker of the page takes its slot.
func (e *Edit) leave(w *Worker) {
	e.ownDirectory()
	at := e.directory.positions[w.ID]
	e.own(at.page)
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
	e.count(w, -1)
}

// count adds the worker's capacity to the total, or takes it off.
func (e *Edit) count(w *Worker, sign int64) {
	if w.Status == StatusLost {
		return
	}
	e.total = carobkeel.Resources{
		MilliCPU:     e.total.MilliCPU + sign*w.Capacity.MilliCPU,
		MemoryBytes:  e.total.MemoryBytes + sign*w.Capacity.MemoryBytes,
		Accelerators: e.total.Accelerators + sign*w.Capacity.Accelerators,
	}
}

// allot returns a free slot on a page of the data centre.
func (e *Edit) allot(dc carobkeel.DataCentre) position {
	for i, p := range e.pages {
		if p.dataCentre == dc && len(p.workers) < pageSize {
			e.own(i)
			return position{i, len(p.workers)}
		}
	}
	e.pages = append(e.pages, &page{dataCentre: dc, workers: make([]*Worker, 0, pageSize)})
	e.owned = append(e.owned, true)
	return position{len(e.pages) - 1, 0}
}

func (e *Edit) own(i int) {
	if !e.owned[i] {
		e.pages[i] = e.pages[i].clone()
		e.owned[i] = true
	}
}

func (e *Edit) ownDirectory() {
	if !e.directoryOwned {
		e.directory = e.directory.clone()
		e.directoryOwned = true
	}
}
