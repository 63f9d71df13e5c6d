package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// lenderDiscount is the weighted share that a borrower's excess is compared
// with: a task of an owner that borrows as much costs half.
const lenderDiscount = 0.05

// eviction says which tasks one request may evict.
type eviction struct {
	request  *Request
	fairness *Fairness
	// urgent says that the request may evict less urgent batch work.
	urgent bool
	// entitled says that the request's owner may take back what others borrow.
	entitled bool
}

func newEviction(r *Request, policy Policy) eviction {
	e := eviction{request: r, fairness: policy.Fairness}
	e.urgent = r.Class == carobkeel.ClassLatencyCritical ||
		(r.Urgency >= policy.PreemptFrom && r.Urgency > UrgencyLow)
	e.entitled = e.fairness != nil && e.fairness.Entitled(r.Owner, r.Demand)
	return e
}

// Victims returns the tasks whose eviction makes room for the request on the
// worker at little cost, and that cost. No victim can be spared. It reports
// false where evicting all that the request may evict does not make room.
func Victims(w *Worker, r *Request, policy Policy, now time.Time) ([]carobkeel.TaskID, float64, bool) {
	e := newEviction(r, policy)
	return e.victims(w, now)
}

func (e *eviction) victims(w *Worker, now time.Time) ([]carobkeel.TaskID, float64, bool) {
	var buffer [taskBuffer]option
	chosen, ok := cover(shortfall(e.request.Demand, w.Claimable()), e.options(buffer[:0], w, now))
	if !ok {
		return nil, 0, false
	}
	ids, cost := make([]carobkeel.TaskID, 0, len(chosen)), 0.0
	for _, o := range chosen {
		ids = append(ids, o.task.ID)
		cost += o.cost
	}
	return ids, cost, true
}

// options returns the tasks of the worker that the request may evict. Of each
// borrower it takes no more than what the borrower holds beyond its guarantee.
func (e *eviction) options(options []option, w *Worker, now time.Time) []option {
	var taken map[carobkeel.Owner]carobkeel.Resources
	for _, task := range w.Tasks {
		if !isRunningBatch(task) {
			continue
		}
		cost := EvictionCost(task, now)
		if e.mayPreempt(task) {
			options = append(options, option{task: task, cost: cost})
			continue
		}
		sum := taken[task.Owner].Add(task.Reserved)
		if !e.mayTakeBack(task, sum) {
			continue
		}
		if taken == nil {
			taken = map[carobkeel.Owner]carobkeel.Resources{}
		}
		taken[task.Owner] = sum
		borrowed := e.fairness.Standing(task.Owner).Share
		options = append(options, option{task: task, cost: cost * lenderDiscount / (lenderDiscount + borrowed)})
	}
	return options
}

// mayPreempt reports whether urgency alone lets the request evict the task. Of
// batch work, only an owner within its guarantee preempts the work of others.
func (e *eviction) mayPreempt(t *Task) bool {
	r := e.request
	if !e.urgent || !t.Preemptible(r.Class, r.Urgency) {
		return false
	}
	return r.Class == carobkeel.ClassLatencyCritical || e.fairness == nil || t.Owner == r.Owner || e.entitled
}

// mayTakeBack reports whether the task is on borrowed room that the request may
// have, with sum taken from its owner in all.
func (e *eviction) mayTakeBack(t *Task, sum carobkeel.Resources) bool {
	if e.fairness == nil || t.Owner == e.request.Owner {
		return false
	}
	if !e.entitled && !(e.urgent && t.Preemptible(e.request.Class, e.request.Urgency)) {
		return false
	}
	return e.fairness.Lends(t.Owner, sum)
}
