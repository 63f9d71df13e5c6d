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
	// defaultExamined is the maximum number of workers that one search visits.
	defaultExamined = 2048
)

// Policy configures a placement.
type Policy struct {
	// Candidates is the number of feasible workers that are ranked. Zero means
	// 16.
	Candidates int
	// PreemptCandidates is the number of workers whose evictions are compared.
	// Zero means 4.
	PreemptCandidates int
	// MaxExamined is the maximum number of workers that one search visits. Zero
	// means 2048.
	MaxExamined int
	// PreemptFrom is the urgency from which a batch task may evict less urgent
	// batch tasks. Services may always evict batch tasks.
	PreemptFrom Urgency
	// Fairness protects the guarantees of owners from urgent requests of others
	// and lets owners reclaim what others borrow. It may be nil.
	Fairness *Fairness
	// ServicesPerWorker is the number of services that are placed on one worker
	// before another is used, so that some workers stay free of services for
	// batch tasks that slow them. Rack spread takes precedence. Zero spreads
	// services over all workers.
	ServicesPerWorker int
	// Interference predicts slowdowns. It may be nil.
	Interference Interference
	// MaxPenalty is the predicted slowdown above which a worker is rejected.
	// Zero means no limit.
	MaxPenalty float64
}

// DefaultPolicy returns the policy used in production. Of batch tasks, only those
// of high or critical urgency preempt others.
func DefaultPolicy() Policy {
	return Policy{
		Candidates: defaultCandidates, PreemptCandidates: defaultPreemptCandidates,
		MaxExamined: defaultExamined, PreemptFrom: UrgencyHigh,
	}
}

// Verdict is the result of the search for a worker.
type Verdict uint8

const (
	// VerdictPlaced requests have a worker with enough free capacity.
	VerdictPlaced Verdict = iota
	// VerdictPreempting requests have a worker on which they have to wait for
	// evictions.
	VerdictPreempting
	// VerdictWaiting requests fit on no worker at present.
	VerdictWaiting
	// VerdictNeverFits requests are larger than every worker of the fleet.
	VerdictNeverFits
	// VerdictInvalid requests have an empty demand or a negative amount in it.
	VerdictInvalid
)

// Decision is the result of placing one request.
type Decision struct {
	Verdict Verdict
	// Assignment is set for VerdictPlaced and VerdictPreempting.
	Assignment Assignment
	// Rejections counts the workers that the search rejected, by reason.
	Rejections Rejections
	// Truncated reports whether the search ended at the policy's limit of
	// examined workers, so that another seed may find room.
	Truncated bool
	// Err is set for VerdictNeverFits and VerdictInvalid.
	Err error
}

// Place chooses a worker for the request. The seed determines where the search
// starts; concurrent planners should use different seeds.
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

// NeverFits returns an Error with CodeNeverFits if the demand exceeds the
// capacity of every worker in the data centres that the request allows, nil
// otherwise. Lost workers count, as an outage is no reason to fail a job, and if
// no worker is known in these data centres the result is nil. The result is only
// as good as the snapshot: call it once all workers have reported, and again when
// they change.
func NeverFits(state State, r *Request) error {
	largest := state.largest(r)
	if largest.IsZero() {
		return nil
	}
	reason := missingResource(r.Demand, largest)
	if reason == ReasonNone {
		reason = missingOnEveryWorker(state, r)
	}
	if reason == ReasonNone {
		return nil
	}
	return carobkeel.NewError(carobkeel.CodeNeverFits,
		"task %s asks for %d mCPU, %d bytes and %d accelerators; the most of any worker is %d mCPU, %d bytes and %d accelerators (%s)",
		r.Task, r.Demand.MilliCPU, r.Demand.MemoryBytes, r.Demand.Accelerators,
		largest.MilliCPU, largest.MemoryBytes, largest.Accelerators, reason)
}

// missingOnEveryWorker returns ReasonNone if some worker has the capacity for
// the entire demand, and ReasonProcessors if no single worker does.
func missingOnEveryWorker(state State, r *Request) Reason {
	reason := ReasonProcessors
	state.Each(func(w *Worker) bool {
		if r.allows(w.Location.DataCentre) && r.Demand.FitsIn(w.Capacity) {
			reason = ReasonNone
		}
		return reason != ReasonNone
	})
	return reason
}

// ranked is a worker with its score before the expensive checks.
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
	// pool holds candidates for which the expensive checks are still to be
	// made.
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
	if policy.MaxExamined == 0 {
		policy.MaxExamined = defaultExamined
	}
	mixedSeed := rand.NewPCG(seed, state.Version()).Uint64()
	return &selection{
		checker: checker{state: state, request: r, now: now},
		policy:  policy, eviction: newEviction(r, policy), seed: mixedSeed,
		pool: make([]ranked, 0, policy.Candidates),
	}
}

// selectFree looks for a worker with enough free capacity.
func (s *selection) selectFree() bool {
	return s.searchCandidates(filter{request: s.request}, s.policy.Candidates, s.evaluateFree)
}

// selectReclaimable looks for a worker on which the cheapest evictions make
// room.
func (s *selection) selectReclaimable() bool {
	return s.searchCandidates(filter{request: s.request, reclaim: true}, s.policy.PreemptCandidates, s.evaluateReclaimable)
}

// searchCandidates evaluates workers, those of the home data centre first,
// until there are enough candidates and one of them passes all checks, or the
// search has visited as many workers as the policy allows.
func (s *selection) searchCandidates(by filter, candidates int, weigh func(*Worker)) bool {
	s.examined = 0
	visit := func(w *Worker) bool {
		s.examined++
		weigh(w)
		s.truncated = s.examined >= s.policy.MaxExamined
		if s.found < candidates {
			return !s.truncated
		}
		s.rankPool()
		s.found = 0
		return s.best == nil && !s.truncated
	}
	if s.request.Home == "" {
		return s.searchAll(by, visit)
	}
	by.homeOnly = true
	if s.searchAll(by, visit) {
		return true
	}
	by.homeOnly, by.excludeHome = false, true
	return s.searchAll(by, visit)
}

func (s *selection) searchAll(by filter, visit func(*Worker) bool) bool {
	s.found = 0
	s.state.search(by, s.seed, &s.rejections, visit)
	s.rankPool()
	return s.best != nil
}

// evaluateFree adds a feasible worker to the pool.
func (s *selection) evaluateFree(w *Worker) {
	if reason := s.checkWorker(w); reason != ReasonNone {
		s.rejections.Add(reason, 1)
		return
	}
	s.found++
	s.pool = append(s.pool, ranked{w, score(s.request, w, &s.policy, 0)})
}

// rankPool runs the expensive checks for the workers in the pool, in the order of
// their score, and empties the pool. It stops at the first worker whose score is
// not better than the best so far, as the expensive checks only add to a score.
func (s *selection) rankPool() {
	slices.SortFunc(s.pool, func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	for _, candidate := range s.pool {
		if s.best != nil && candidate.score >= s.bestScore {
			break
		}
		if penalty, ok := s.penalty(candidate.worker); ok {
			s.consider(candidate.worker, candidate.score+interferenceWeight*penalty, nil)
		}
	}
	s.pool = s.pool[:0]
}

func (s *selection) evaluateReclaimable(w *Worker) {
	if reason := s.checkWorker(w); reason != ReasonNone {
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
		s.rejections.Add(missingResource(s.request.Demand, w.Claimable()), 1)
		return
	}
	s.consider(w, cost+interferenceWeight*penalty, victims)
}

// penalty returns the predicted slowdown, and false if it exceeds the policy's
// limit.
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

// consider makes the worker the best one if its score is better than the best so
// far. The rack spread is the most expensive check, so it is made only for these
// workers.
func (s *selection) consider(w *Worker, score float64, victims []carobkeel.TaskID) {
	if s.best != nil && score >= s.bestScore {
		return
	}
	if s.rackFull(w) {
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

// PlaceAll places the requests in their order, each on the state that results
// from the earlier ones, and returns the plan and one decision for each request.
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

// Explain returns the number of workers that can start the request's task now,
// and counts the others by the reason for which they can't. It serves to explain
// why a task waits; placements do not use it.
func Explain(state State, request Request, now time.Time) (feasible int, rejections Rejections) {
	ExplainEach(state, request, now, func(_ *Worker, reason Reason) {
		if reason == ReasonNone {
			feasible++
		} else {
			rejections.Add(reason, 1)
		}
	})
	return feasible, rejections
}

// ExplainEach calls visit for each worker, with the reason for which it can't start the request's
// task now, ReasonNone if it can.
func ExplainEach(state State, request Request, now time.Time, visit func(*Worker, Reason)) {
	check := checker{state: state, request: &request, now: now}
	state.Each(func(w *Worker) bool {
		reason := check.checkConstraints(w)
		if reason == ReasonNone {
			reason = missingResource(request.Demand, w.Free())
		}
		visit(w, reason)
		return true
	})
}
