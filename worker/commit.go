package worker

import (
	"sync"
	"sync/atomic"

	"github.com/carobkeel/carobkeel"
)

// Registry holds the current Fleet. Readers load it without a lock. Writers are
// serialized; each builds the next snapshot and publishes it with an atomic
// store.
type Registry struct {
	current atomic.Pointer[Fleet]

	// mu serializes writers. No reader takes it.
	mu sync.Mutex
	// placed maps each task to its worker. It is guarded by mu.
	placed map[carobkeel.TaskID]ID
}

// NewRegistry returns a Registry whose first snapshot is fleet. A nil fleet is
// an empty one.
func NewRegistry(fleet *Fleet) *Registry {
	if fleet == nil {
		fleet = &Fleet{}
	}
	r := &Registry{placed: map[carobkeel.TaskID]ID{}}
	fleet.Each(func(w *Worker) bool {
		for _, task := range w.Tasks {
			r.placed[task.ID] = w.ID
		}
		return true
	})
	r.current.Store(fleet)
	return r
}

// Fleet returns the current snapshot.
func (r *Registry) Fleet() *Fleet { return r.current.Load() }

// Update applies a change to the current snapshot and publishes the result. The
// function apply must not call Update, Commit or Locate, which take the same
// lock.
func (r *Registry) Update(apply func(*Edit)) *Fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update(apply)
}

// Locate returns the worker that has the task.
func (r *Registry) Locate(task carobkeel.TaskID) (ID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.locate(task)
}

// Commit implements Planner.
func (r *Registry) Commit(plan Plan) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	var result Result
	result.Fleet = r.update(func(e *Edit) { result = e.Apply(plan) })
	return result
}

func (r *Registry) update(apply func(*Edit)) *Fleet {
	edit := r.current.Load().Edit()
	edit.lookup = r.locate
	apply(edit)
	for task, id := range edit.newLocations {
		if id == "" {
			delete(r.placed, task)
		} else {
			r.placed[task] = id
		}
	}
	next := edit.Publish()
	r.current.Store(next)
	return next
}

func (r *Registry) locate(task carobkeel.TaskID) (ID, bool) {
	id, ok := r.placed[task]
	return id, ok
}

// Apply checks each part of the plan against the edit's state and applies the
// parts that are still valid. The parts are independent of each other: an
// invalid one does not prevent the others.
func (e *Edit) Apply(plan Plan) Result {
	result := Result{Outcomes: make([]Outcome, 0, len(plan.Assignments))}
	for _, p := range plan.Preemptions {
		if e.preempt(&p) {
			result.Evicted = append(result.Evicted, p)
		}
	}
	for i := range plan.Assignments {
		outcome := e.assign(&plan.Assignments[i], plan, &result)
		if outcome.Err == nil {
			result.Accepted++
		}
		result.Outcomes = append(result.Outcomes, outcome)
	}
	return result
}

// preempt starts the eviction of a running task or withdraws a claim.
func (e *Edit) preempt(p *Preemption) bool {
	w, ok := e.Worker(p.Worker)
	if !ok {
		return false
	}
	if task, ok := w.Task(p.Task); ok && task.Phase == PhaseClaimed {
		p.Withdrawn = true
		return e.Remove(p.Worker, p.Task)
	}
	return e.Evicting(p.Worker, p.Task)
}

// assign applies one assignment if it is still valid.
func (e *Edit) assign(a *Assignment, plan Plan, result *Result) Outcome {
	outcome := Outcome{Task: a.Request.Task, Worker: a.Worker}
	w, err := e.recheck(a, plan)
	if err != nil {
		outcome.Err = err
		return outcome
	}
	if a.Request.Demand.FitsIn(w.Free()) {
		e.add(a.Worker, a.Request.task(PhaseRunning, plan.At))
		return outcome
	}
	victims, ok := claimVictims(w, a)
	if !ok {
		outcome.Err = hostFullError(w, &a.Request)
		return outcome
	}
	for _, victim := range victims {
		e.Evicting(a.Worker, victim)
		result.Evicted = append(result.Evicted, Preemption{Task: victim, Worker: a.Worker, Version: a.Version})
	}
	e.add(a.Worker, a.Request.task(PhaseClaimed, plan.At))
	outcome.Claimed = true
	return outcome
}

// recheck returns the assignment's worker in its current state, or an error
// where the task can't be placed there even after evictions.
func (e *Edit) recheck(a *Assignment, plan Plan) (*Worker, error) {
	if err := a.Request.Validate(); err != nil {
		return nil, err
	}
	if at, ok := e.locate(a.Request.Task); ok {
		return nil, carobkeel.NewError(carobkeel.CodeHostFull, "task %s is on worker %s already", a.Request.Task, at)
	}
	w, ok := e.Worker(a.Worker)
	if !ok {
		return nil, carobkeel.NewError(carobkeel.CodeHostFull, "worker %s is gone", a.Worker)
	}
	if _, ok := w.Task(a.Request.Task); ok {
		return nil, carobkeel.NewError(carobkeel.CodeHostFull, "task %s is on worker %s already", a.Request.Task, w.ID)
	}
	check := checker{state: e, request: &a.Request, now: plan.At}
	if reason := check.checkConstraints(w); reason != ReasonNone {
		return nil, carobkeel.NewError(carobkeel.CodeHostFull, "worker %s is not feasible: %s", w.ID, reason)
	}
	return w, nil
}

// claimVictims returns the victims of the assignment that still have to be
// evicted, and whether evicting them frees enough resources.
func claimVictims(w *Worker, a *Assignment) ([]carobkeel.TaskID, bool) {
	room := w.Claimable()
	var needed []carobkeel.TaskID
	for _, id := range a.Victims {
		if a.Request.Demand.FitsIn(room) {
			break
		}
		task, ok := w.Task(id)
		if !ok || !isRunningBatch(task) || !a.mayEvict(task) {
			continue
		}
		room = room.Add(task.Reserved)
		needed = append(needed, id)
	}
	return needed, a.Wait && a.Request.Demand.FitsIn(room)
}

func (a *Assignment) mayEvict(t *Task) bool {
	return a.Reclaim || t.Preemptible(a.Request.Class, a.Request.Urgency)
}

func hostFullError(w *Worker, r *Request) error {
	return carobkeel.NewError(carobkeel.CodeHostFull,
		"worker %s has no room for task %s", w.ID, r.Task)
}
