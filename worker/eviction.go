package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// halfCostShare is the weighted borrowed share of an owner at which evicting
// one of its tasks costs half. The cost falls further as the owner borrows more.
const halfCostShare = 0.05

// eviction decides which tasks one request may evict.
type eviction struct {
	request  *Request
	fairness *Fairness
	// urgent reports whether the request may evict less urgent batch tasks.
	urgent bool
	// entitled reports whether the request's owner may reclaim what others
	// borrow.
	entitled bool
}

func newEviction(r *Request, policy Policy) eviction {
	e := eviction{request: r, fairness: policy.Fairness}
	e.urgent = r.Class == carobkeel.ClassLatencyCritical ||
		(r.Urgency >= policy.PreemptFrom && r.Urgency > UrgencyLow)
	e.entitled = e.fairness != nil && e.fairness.WithinGuarantee(r.Owner, r.Demand)
	return e
}

// Victims returns tasks whose eviction makes room for the request on the worker,
// chosen for a low cost, and that cost. Without any one of the victims there
// would not be enough room. It reports false where evicting every task that the
// request may evict does not make room.
func Victims(w *Worker, r *Request, policy Policy, now time.Time) ([]carobkeel.TaskID, float64, bool) {
	e := newEviction(r, policy)
	return e.victims(w, now)
}

func (e *eviction) victims(w *Worker, now time.Time) ([]carobkeel.TaskID, float64, bool) {
	var buffer [taskBuffer]evictionOption
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

// options returns the tasks of the worker that the request may evict. Tasks that
// are reclaimed from a borrower together never exceed what the borrower holds
// beyond its guarantee.
func (e *eviction) options(options []evictionOption, w *Worker, now time.Time) []evictionOption {
	var taken map[carobkeel.Owner]carobkeel.Resources
	for _, task := range w.Tasks {
		if !isRunningBatch(task) {
			continue
		}
		cost := EvictionCost(task, now)
		if e.mayPreempt(task) {
			options = append(options, evictionOption{task: task, cost: cost})
			continue
		}
		sum := taken[task.Owner].Add(task.Reserved)
		if !e.mayReclaim(task, sum) {
			continue
		}
		if taken == nil {
			taken = map[carobkeel.Owner]carobkeel.Resources{}
		}
		taken[task.Owner] = sum
		borrowed := e.fairness.Standing(task.Owner).Share
		options = append(options, evictionOption{task: task, cost: cost * halfCostShare / (halfCostShare + borrowed)})
	}
	return options
}

// mayPreempt reports whether the request may evict the task by class and urgency
// alone. A batch request may evict a task of another owner only while its own
// owner is within its guarantee.
func (e *eviction) mayPreempt(t *Task) bool {
	r := e.request
	if !e.urgent || !t.Preemptible(r.Class, r.Urgency) {
		return false
	}
	return r.Class == carobkeel.ClassLatencyCritical || e.fairness == nil || t.Owner == r.Owner || e.entitled
}

// mayReclaim reports whether the request may reclaim the resources of the task
// from its owner. The sum is what would be taken from that owner in total, this
// task included.
func (e *eviction) mayReclaim(t *Task, sum carobkeel.Resources) bool {
	if e.fairness == nil || t.Owner == e.request.Owner {
		return false
	}
	if !e.entitled && !(e.urgent && t.Preemptible(e.request.Class, e.request.Urgency)) {
		return false
	}
	return e.fairness.CanReclaimFrom(t.Owner, sum)
}
