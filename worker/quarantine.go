package worker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// QuarantinePolicy steers a Quarantine.
type QuarantinePolicy struct {
	// MaxShare is the greatest part of the fleet that is set aside at a time.
	MaxShare float64
	// Evidence is the logarithm of the odds from which a worker is set aside
	// or a job is held.
	Evidence float64
	// Probation is how long a worker is set aside before it is tried again. It
	// doubles with each return.
	Probation time.Duration
	// MaxProbation bounds the doubling.
	MaxProbation time.Duration
	// HalfLife is how long it takes until an outcome weighs half.
	HalfLife time.Duration
}

// DefaultQuarantinePolicy returns the policy for production.
func DefaultQuarantinePolicy() QuarantinePolicy {
	return QuarantinePolicy{
		MaxShare: 0.05, Evidence: math.Log(1000),
		Probation: 10 * time.Minute, MaxProbation: 4 * time.Hour, HalfLife: time.Hour,
	}
}

const (
	// brokenRate is the failure rate of a worker or job that is broken.
	brokenRate = 0.95
	// soundRate is the least failure rate that is expected of a sound one.
	soundRate = 0.02
	// maxSoundRate bounds the failure rate that other outcomes explain.
	maxSoundRate = 0.9
	// minPeers is the least number of different jobs that speak against a
	// worker, or of workers that speak against a job.
	minPeers = 3
	// outcomesKept bounds the outcomes that are kept of a worker and of a job.
	outcomesKept = 32
	// probeSuccesses is the number of tasks that a worker on probation has to
	// finish before its past is forgotten.
	probeSuccesses = 3
)

// TaskOutcome is the end of one task.
type TaskOutcome struct {
	Worker ID
	Job    carobkeel.JobID
	// Failed is false for tasks that succeeded or ran for long enough to show
	// that the worker can start them. Evictions are no outcome.
	Failed bool
	At     time.Time
}

// Quarantine finds workers that fail whatever they start and jobs that fail
// wherever they start, and tells the two apart. A failure speaks against a
// worker as far as its job does well on other workers, and against a job as far
// as its workers do well with other jobs. A Quarantine is used by one goroutine
// at a time.
type Quarantine struct {
	policy  QuarantinePolicy
	workers map[ID]*record
	jobs    map[carobkeel.JobID]*record
	aside   map[ID]*probation
	// suspects are the workers with a failure that Review has not judged yet,
	// or that there was no room to set aside.
	suspects map[ID]struct{}
}

// record holds the recent outcomes of one worker or job.
type record struct{ outcomes []TaskOutcome }

// probation is the state of a worker that was set aside.
type probation struct {
	// since is when the worker was set aside last.
	since time.Time
	// returns is how often it has been set aside.
	returns int
	// probing says that the worker is back and being watched.
	probing   bool
	successes int
}

// NewQuarantine returns a Quarantine without evidence.
func NewQuarantine(policy QuarantinePolicy) *Quarantine {
	return &Quarantine{
		policy: policy, workers: map[ID]*record{},
		jobs: map[carobkeel.JobID]*record{}, aside: map[ID]*probation{},
		suspects: map[ID]struct{}{},
	}
}

// Observe takes in the end of a task.
func (q *Quarantine) Observe(o TaskOutcome) {
	keep(q.workers, o.Worker, o)
	keep(q.jobs, o.Job, o)
	if o.Failed {
		q.suspects[o.Worker] = struct{}{}
	}
	p := q.aside[o.Worker]
	if p == nil || !p.probing || o.Failed {
		return
	}
	if p.successes++; p.successes >= probeSuccesses {
		delete(q.aside, o.Worker)
		delete(q.workers, o.Worker)
	}
}

// ForgetWorker drops what is known of a worker that left the fleet.
func (q *Quarantine) ForgetWorker(id ID) {
	delete(q.workers, id)
	delete(q.aside, id)
	delete(q.suspects, id)
}

// ForgetJob drops what is known of a job that ended.
func (q *Quarantine) ForgetJob(id carobkeel.JobID) { delete(q.jobs, id) }

// WorkerEvidence returns the logarithm of the odds that the worker is broken,
// and the number of jobs that failed on it.
func (q *Quarantine) WorkerEvidence(id ID, now time.Time) (odds float64, jobs int) {
	return evidence(q.workers[id], q.policy.HalfLife, now,
		func(o TaskOutcome) carobkeel.JobID { return o.Job },
		func(o TaskOutcome) float64 {
			return failureRate(q.jobs[o.Job], func(other TaskOutcome) bool { return other.Worker != id })
		})
}

// JobEvidence returns the logarithm of the odds that the job is broken, and the
// number of workers that it failed on.
func (q *Quarantine) JobEvidence(id carobkeel.JobID, now time.Time) (odds float64, workers int) {
	return evidence(q.jobs[id], q.policy.HalfLife, now,
		func(o TaskOutcome) ID { return o.Worker },
		func(o TaskOutcome) float64 {
			return failureRate(q.workers[o.Worker], func(other TaskOutcome) bool { return other.Job != id })
		})
}

// Held reports whether the job fails wherever it starts and should be held.
func (q *Quarantine) Held(id carobkeel.JobID, now time.Time) bool {
	odds, workers := q.JobEvidence(id, now)
	return odds >= q.policy.Evidence && workers >= minPeers
}

// Review returns the workers to set aside now and those to try again. It never
// has more than MaxShare of the fleet set aside, but always may set aside one;
// the clearest cases go first.
func (q *Quarantine) Review(fleetSize int, now time.Time) (setAside, release []ID) {
	release = q.release(now)
	room := max(1, int(q.policy.MaxShare*float64(fleetSize))) - q.asideCount()
	guilty := q.judge(now)
	for _, s := range guilty[:min(len(guilty), max(room, 0))] {
		q.putAside(s.id, now)
		delete(q.suspects, s.id)
		setAside = append(setAside, s.id)
	}
	return setAside, release
}

// suspect is a worker with the evidence against it.
type suspect struct {
	id   ID
	odds float64
}

// judge returns the suspects with enough evidence against them, the clearest
// case first, and clears the others until they fail again.
func (q *Quarantine) judge(now time.Time) []suspect {
	var guilty []suspect
	for id := range q.suspects {
		p := q.aside[id]
		odds, jobs := q.WorkerEvidence(id, now)
		if (p != nil && !p.probing) || odds < q.policy.Evidence || jobs < q.peers(id) {
			delete(q.suspects, id)
			continue
		}
		guilty = append(guilty, suspect{id, odds})
	}
	slices.SortFunc(guilty, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.odds, a.odds), cmp.Compare(a.id, b.id))
	})
	return guilty
}

// peers returns how many jobs have to fail on a worker: one where it is being
// tried again.
func (q *Quarantine) peers(id ID) int {
	if q.aside[id] != nil {
		return 1
	}
	return minPeers
}

func (q *Quarantine) asideCount() int {
	count := 0
	for _, p := range q.aside {
		if !p.probing {
			count++
		}
	}
	return count
}

func (q *Quarantine) putAside(id ID, now time.Time) {
	p := q.aside[id]
	if p == nil {
		p = &probation{}
		q.aside[id] = p
	}
	p.since, p.probing, p.successes = now, false, 0
	p.returns++
}

// release starts the probing of workers whose time is over. Their past is
// dropped, so that only new outcomes count.
func (q *Quarantine) release(now time.Time) []ID {
	var released []ID
	for id, p := range q.aside {
		if p.probing || now.Sub(p.since) < q.probation(p) {
			continue
		}
		p.probing = true
		delete(q.workers, id)
		released = append(released, id)
	}
	slices.Sort(released)
	return released
}

func (q *Quarantine) probation(p *probation) time.Duration {
	const maxDoublings = 16
	return min(q.policy.MaxProbation, q.policy.Probation<<min(p.returns-1, maxDoublings))
}

func keep[K comparable](records map[K]*record, key K, o TaskOutcome) {
	r := records[key]
	if r == nil {
		r = &record{}
		records[key] = r
	}
	r.outcomes = append(r.outcomes, o)
	if len(r.outcomes) > outcomesKept {
		r.outcomes = slices.Delete(r.outcomes, 0, 1)
	}
}

// failureRate returns the rate of failures among the outcomes that count, with
// one success and one failure in fifty assumed beforehand.
func failureRate(r *record, counts func(TaskOutcome) bool) float64 {
	failures, total := soundRate, 1.0
	if r != nil {
		for _, o := range r.outcomes {
			if !counts(o) {
				continue
			}
			total++
			if o.Failed {
				failures++
			}
		}
	}
	return min(max(failures/total, soundRate), maxSoundRate)
}

// evidence sums, over the outcomes of a record, the logarithm of how much
// likelier each is if the subject is broken than if only the peer explains it.
// Failures with one peer count as far as one failure does, so that one job can't
// condemn a worker by being tried on it over and over.
func evidence[K comparable](r *record, halfLife time.Duration, now time.Time,
	peer func(TaskOutcome) K, peerRate func(TaskOutcome) float64,
) (odds float64, peers int) {
	if r == nil {
		return 0, 0
	}
	strongest := map[K]float64{}
	for _, o := range r.outcomes {
		weight := math.Exp2(-float64(now.Sub(o.At)) / float64(halfLife))
		rate := peerRate(o)
		if !o.Failed {
			odds += weight * math.Log((1-brokenRate)/(1-rate))
			continue
		}
		strongest[peer(o)] = max(strongest[peer(o)], weight*math.Log(brokenRate/rate))
	}
	for _, gain := range strongest {
		odds += max(gain, 0)
	}
	return odds, len(strongest)
}
