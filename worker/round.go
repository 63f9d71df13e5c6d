package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Queues provides the waiting requests of each owner.
type Queues interface {
	// Head returns the owner's next request, and a different one on each call
	// within a round. It reports false if there is none.
	Head(owner carobkeel.Owner) (Request, bool)
}

// maxWaitingPerOwner is the number of an owner's requests that may fail to find
// room in a round before the owner is skipped for the rest of it. It is more
// than one so that a large request at the head does not block smaller ones
// behind it.
const maxWaitingPerOwner = 8

// PlaceFairly makes a plan of at most limit decisions, in the order of owners
// that the ledger gives. An owner with maxWaitingPerOwner requests that found no
// room is skipped for the rest of the round, so that requests that can't be
// placed do not block other owners. The ledger is charged as if the entire plan
// were accepted; Settle corrects it after the commit.
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
		} else if waiting[owner]++; waiting[owner] >= maxWaitingPerOwner {
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
	f.chargePlanned(a.Request.Owner, a.Request.Demand)
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

// Settle reverts what PlaceFairly charged for assignments that the commit did not
// apply, and what it released for victims that the commit did not evict. The
// fleet is the snapshot that the plan is based on. A plan that was not committed
// is settled with the zero Result. Each plan is settled once, before the next is
// made.
func (f *Fairness) Settle(fleet *Fleet, plan Plan, result Result) {
	evicted := make(map[carobkeel.TaskID]bool, len(result.Evicted))
	for _, p := range result.Evicted {
		evicted[p.Task] = true
	}
	for i := range plan.Assignments {
		a := &plan.Assignments[i]
		applied := i < len(result.Outcomes) && result.Outcomes[i].Err == nil
		f.settlePlanned(a.Request.Owner, a.Request.Demand, applied)
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
