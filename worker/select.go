package worker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// defaultCandidates is the number of feasible workers that are ranked.
	defaultCandidates = 16
	// defaultPreemptCandidates is the number of workers whose evictions are
	// compared.
	defaultPreemptCandidates = 4
	// defaultExamined is the most workers that one search looks at.
	defaultExamined = 2048
)

// Policy bounds and steers a placement.
type Policy struct {
	// Candidates is the number of feasible workers that are ranked against
	// each other. Zero means 16.
	Candidates int
	// PreemptCandidates is the number of workers whose evictions are compared.
	// Zero means 4.
	PreemptCandidates int
	// Examined is the most workers that one search looks at. Zero means 2048.
	Examined int
	// PreemptFrom is the urgency from which batch work may evict less urgent
	// batch work. Services always may.
	PreemptFrom Urgency
	// Fairness protects guarantees from urgent work and lets owners take back
	// what others borrow. It may be nil.
	Fairness *Fairness
	// ServicesPerWorker is the number of services that are put on one worker
	// before the next is used, so that other workers stay free of services for
	// batch work that harms them. Rack spread goes first. Zero spreads services
	// over all workers.
	ServicesPerWorker int
	// Interference predicts slowdowns. It may be nil.
	Interference Interference
	// MaxPenalty is the predicted slowdown from which a worker is rejected.
	// Zero means that none is.
	MaxPenalty float64
}

// DefaultPolicy returns the policy for production: only urgent work preempts.
func DefaultPolicy() Policy {
	return Policy{
		Candidates: defaultCandidates, PreemptCandidates: defaultPreemptCandidates,
		Examined: defaultExamined, PreemptFrom: UrgencyHigh,
	}
}

// Verdict says what became of a request.
type Verdict uint8

const (
	// VerdictPlaced requests have a worker that has room now.
	VerdictPlaced Verdict = iota
	// VerdictPreempting requests have a worker on which they wait for
	// evictions.
	VerdictPreempting
	// VerdictWaiting requests fit on no worker now.
	VerdictWaiting
	// VerdictNeverFits requests are larger than every worker of the fleet.
	VerdictNeverFits
	// VerdictInvalid requests demand nothing or a negative amount.
	VerdictInvalid
)

// Decision is the answer to one request.
type Decision struct {
	Verdict Verdict
	// Assignment is set for VerdictPlaced and VerdictPreempting.
	Assignment Assignment
	// Rejections counts why workers that the search passed were rejected.
	Rejections Rejections
	// Truncated says that the search ended at the policy's bound, so that
	// another seed may find room.
	Truncated bool
	// Err is set for VerdictNeverFits and VerdictInvalid.
	Err error
}

// Place chooses a worker for the request. The seed decides where the search
// starts; planners that work at once should use different ones.
func Place(state State, request Request, policy Policy, seed uint64, now time.Time) Decision {
	if err := request.Validate(); err != nil {
		return Decision{Verdict: VerdictInvalid, Err: err}
	}
	s := newSelection(state, &request, policy, seed, now)
	if s.selectFree() {
		return s.decision(VerdictPlaced)
	}
	if (s.eviction.urgent || s.eviction.entitled) && s.selectReclaimable() {
		return s.decision(VerdictPreempting)
	}
	if err := NeverFits(state, &request); err != nil {
		return Decision{Verdict: VerdictNeverFits, Rejections: s.rejections, Err: err}
	}
	return Decision{Verdict: VerdictWaiting, Rejections: s.rejections, Truncated: s.truncated}
}

// NeverFits returns an Error with CodeNeverFits where the demand exceeds every
// worker of the data centres that the request allows, nil otherwise. Lost
// workers count, as an outage is no reason to give a job up, and where no worker
// is known in these data centres nothing is said. The answer is only as good as
// the snapshot: ask once all workers have reported, and again when they change.
func NeverFits(state State, r *Request) error {
	largest := state.largest(r)
	if largest.IsZero() {
		return nil
	}
	reason := lacks(r.Demand, largest)
	if reason == ReasonNone {
		reason = lacksTogether(state, r)
	}
	if reason == ReasonNone {
		return nil
	}
	return carobkeel.NewError(carobkeel.CodeNeverFits,
		"task %s asks for %d mCPU, %d bytes and %d accelerators; the most of any worker is %d mCPU, %d bytes and %d accelerators (%s)",
		r.Task, r.Demand.MilliCPU, r.Demand.MemoryBytes, r.Demand.Accelerators,
		largest.MilliCPU, largest.MemoryBytes, largest.Accelerators, reason)
}

// lacksTogether reports whether each part of the demand is found on some
// worker, but not all of them on one.
func lacksTogether(state State, r *Request) Reason {
	reason := ReasonProcessors
	state.Each(func(w *Worker) bool {
		if r.allows(w.Location.DataCentre) && r.Demand.FitsIn(w.Capacity) {
			reason = ReasonNone
		}
		return reason != ReasonNone
	})
	return reason
}

// ranked is a worker with its score before the costly checks.
type ranked struct {
	worker *Worker
	score  float64
}

// selection is the search for one request's worker.
type selection struct {
	checker
	policy     Policy
	eviction   eviction
	seed       uint64
	rejections Rejections
	examined   int
	found      int
	truncated  bool
	// pool holds candidates that the costly checks are still to be made for.
	pool      []ranked
	best      *Worker
	bestScore float64
	victims   []carobkeel.TaskID
}

func newSelection(state State, r *Request, policy Policy, seed uint64, now time.Time) *selection {
	if policy.Candidates == 0 {
		policy.Candidates = defaultCandidates
	}
	if policy.PreemptCandidates == 0 {
		policy.PreemptCandidates = defaultPreemptCandidates
	}
	if policy.Examined == 0 {
		policy.Examined = defaultExamined
	}
	mixed := rand.NewPCG(seed, state.Version()).Uint64()
	return &selection{
		checker: checker{state: state, request: r, now: now},
		policy:  policy, eviction: newEviction(r, policy), seed: mixed,
		pool: make([]ranked, 0, policy.Candidates),
	}
}

// selectFree looks for a worker with room, in the home data centre first.
func (s *selection) selectFree() bool {
	return s.sweep(filter{request: s.request}, s.policy.Candidates, s.weighFree)
}

// selectReclaimable looks for a worker on which the cheapest evictions make
// room.
func (s *selection) selectReclaimable() bool {
	return s.sweep(filter{request: s.request, reclaim: true}, s.policy.PreemptCandidates, s.weighReclaimable)
}

// sweep weighs workers until there are enough candidates with a best one among
// them, or the search has looked at as many workers as the policy allows.
func (s *selection) sweep(by filter, candidates int, weigh func(*Worker)) bool {
	s.examined = 0
	visit := func(w *Worker) bool {
		s.examined++
		weigh(w)
		s.truncated = s.examined >= s.policy.Examined
		if s.found < candidates {
			return !s.truncated
		}
		s.choose()
		s.found = 0
		return s.best == nil && !s.truncated
	}
	if s.request.Home == "" {
		return s.searchAll(by, visit)
	}
	by.home = true
	if s.searchAll(by, visit) {
		return true
	}
	by.home, by.away = false, true
	return s.searchAll(by, visit)
}

func (s *selection) searchAll(by filter, visit func(*Worker) bool) bool {
	s.found = 0
	s.state.search(by, s.seed, &s.rejections, visit)
	s.choose()
	return s.best != nil
}

// weighFree puts the worker into the pool.
func (s *selection) weighFree(w *Worker) {
	if reason := s.permits(w); reason != ReasonNone {
		s.rejections.Add(reason, 1)
		return
	}
	s.found++
	s.pool = append(s.pool, ranked{w, score(s.request, w, &s.policy, 0)})
}

// choose empties the pool. It takes the workers in the order of their score and
// ends where the next can't be better than the best so far, as the costly checks
// that are left only add to a score.
func (s *selection) choose() {
	slices.SortFunc(s.pool, func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	for _, candidate := range s.pool {
		if s.best != nil && candidate.score >= s.bestScore {
			break
		}
		if penalty, ok := s.penalty(candidate.worker); ok {
			s.offer(candidate.worker, candidate.score+interferenceWeight*penalty, nil)
		}
	}
	s.pool = s.pool[:0]
}

func (s *selection) weighReclaimable(w *Worker) {
	if reason := s.permits(w); reason != ReasonNone {
		s.rejections.Add(reason, 1)
		return
	}
	penalty, ok := s.penalty(w)
	if !ok {
		return
	}
	s.found++
	victims, cost, ok := s.eviction.victims(w, s.now)
	if !ok {
		s.rejections.Add(lacks(s.request.Demand, w.Claimable()), 1)
		return
	}
	s.offer(w, cost+interferenceWeight*penalty, victims)
}

// penalty returns the predicted slowdown, and false where it is too much.
func (s *selection) penalty(w *Worker) (float64, bool) {
	if s.policy.Interference == nil {
		return 0, true
	}
	penalty := s.policy.Interference.Penalty(s.request, w)
	if s.policy.MaxPenalty > 0 && penalty > s.policy.MaxPenalty {
		s.rejections.Add(ReasonInterference, 1)
		return 0, false
	}
	return penalty, true
}

// offer takes the worker where it is better than the best so far. The spread
// over racks costs most to check, so it is checked for these only.
func (s *selection) offer(w *Worker, score float64, victims []carobkeel.TaskID) {
	if s.best != nil && score >= s.bestScore {
		return
	}
	if s.crowdsRack(w) {
		s.rejections.Add(ReasonRackSpread, 1)
		return
	}
	s.best, s.bestScore, s.victims = w, score, victims
}

func (s *selection) decision(verdict Verdict) Decision {
	return Decision{
		Verdict: verdict,
		Assignment: Assignment{
			Request: *s.request, Worker: s.best.ID, Version: s.best.Version,
			Wait: verdict == VerdictPreempting, Victims: s.victims,
			Reclaim: s.eviction.entitled,
		},
		Rejections: s.rejections,
	}
}

// PlaceAll decides on the requests in their order, each over the state that the
// earlier ones leave, and returns the plan and one decision for each request.
func PlaceAll(fleet *Fleet, requests []Request, policy Policy, seed uint64, now time.Time) (Plan, []Decision) {
	plan := Plan{FleetVersion: fleet.Version(), At: now}
	decisions := make([]Decision, 0, len(requests))
	overlay := fleet.Edit()
	for i := range requests {
		decision := Place(overlay, requests[i], policy, seed+uint64(i), now)
		if decision.Verdict <= VerdictPreempting {
			step := Plan{At: now, Assignments: []Assignment{decision.Assignment}}
			if overlay.Apply(step).Accepted == 1 {
				plan.Assignments = append(plan.Assignments, decision.Assignment)
			} else {
				decision = Decision{Verdict: VerdictWaiting, Rejections: decision.Rejections}
			}
		}
		decisions = append(decisions, decision)
	}
	return plan, decisions
}

// Explain counts, over all workers, why each can't start the request's task
// now. It answers why a task waits; placements don't pay for it.
func Explain(state State, request Request, now time.Time) (feasible int, rejections Rejections) {
	check := checker{state: state, request: &request, now: now}
	state.Each(func(w *Worker) bool {
		reason := check.standing(w)
		if reason == ReasonNone {
			reason = lacks(request.Demand, w.Free())
		}
		if reason == ReasonNone {
			feasible++
		} else {
			rejections.Add(reason, 1)
		}
		return true
	})
	return feasible, rejections
}
