package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Queues hands out the requests that wait.
type Queues interface {
	// Head returns the owner's next request that the round has not seen yet.
	Head(owner carobkeel.Owner) (Request, bool)
}

// waitingPerOwner is the number of an owner's requests that may find no room in
// a round before the owner gives way, so that one large request at the head does
// not hold up the small ones behind it.
const waitingPerOwner = 8

// PlaceFairly makes a plan of at most limit decisions, in the order that the
// ledger gives. An owner whose request finds no room gives way to the others
// for the rest of the round, so a request that waits does not hold up the
// round. The ledger is charged as if the whole plan were accepted; Settle
// corrects it after the commit.
func PlaceFairly(fleet *Fleet, ledger *Fairness, queues Queues, limit int,
	policy Policy, seed uint64, now time.Time,
) (Plan, []Decision) {
	plan := Plan{FleetVersion: fleet.Version(), At: now}
	policy.Fairness = ledger
	overlay, decisions := fleet.Edit(), make([]Decision, 0, limit)
	var blocked []carobkeel.Owner
	waiting := map[carobkeel.Owner]int{}
	for len(decisions) < limit {
		owner, ok := ledger.Next()
		if !ok {
			break
		}
		request, ok := queues.Head(owner)
		if !ok {
			ledger.SetWaiting(owner, false)
			continue
		}
		decision := Place(overlay, request, policy, seed+uint64(len(decisions)), now)
		decisions = append(decisions, decision)
		if decision.Verdict <= VerdictPreempting {
			ledger.chargeAssignment(overlay, &decision.Assignment)
			overlay.Apply(Plan{At: now, Assignments: []Assignment{decision.Assignment}})
			plan.Assignments = append(plan.Assignments, decision.Assignment)
		} else if waiting[owner]++; waiting[owner] >= waitingPerOwner {
			ledger.SetWaiting(owner, false)
			blocked = append(blocked, owner)
		}
	}
	for _, owner := range blocked {
		ledger.SetWaiting(owner, true)
	}
	return plan, decisions
}

// chargeAssignment charges the assignment's demand and releases its victims.
func (f *Fairness) chargeAssignment(state State, a *Assignment) {
	f.plan(a.Request.Owner, a.Request.Demand)
	w, ok := state.Worker(a.Worker)
	if !ok {
		return
	}
	for _, id := range a.Victims {
		if task, ok := w.Task(id); ok {
			f.Release(task.Owner, task.Reserved)
		}
	}
}

// Settle takes back what PlaceFairly charged and released for assignments that
// the commit did not apply, and for victims that it did not evict. The fleet is
// the one that the plan was made from. A plan that was dropped is settled with
// the zero Result. Each plan is settled once, before the next is made.
func (f *Fairness) Settle(fleet *Fleet, plan Plan, result Result) {
	evicted := make(map[carobkeel.TaskID]bool, len(result.Evicted))
	for _, p := range result.Evicted {
		evicted[p.Task] = true
	}
	for i := range plan.Assignments {
		a := &plan.Assignments[i]
		applied := i < len(result.Outcomes) && result.Outcomes[i].Err == nil
		f.settle(a.Request.Owner, a.Request.Demand, applied)
		w, ok := fleet.Worker(a.Worker)
		if !ok {
			continue
		}
		for _, id := range a.Victims {
			if task, ok := w.Task(id); ok && !evicted[id] {
				f.Charge(task.Owner, task.Reserved)
			}
		}
	}
}
