package worker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// QuarantinePolicy configures a Quarantine.
type QuarantinePolicy struct {
	// MaxShare is the largest share of the fleet that is quarantined at a time.
	MaxShare float64
	// MinLogOdds is the log odds from which a worker is quarantined or a job is
	// held.
	MinLogOdds float64
	// Duration is how long a worker is quarantined the first time. It doubles
	// each time the worker is quarantined again.
	Duration time.Duration
	// MaxDuration is the upper bound of a quarantine's duration.
	MaxDuration time.Duration
	// HalfLife is the time in which the weight of an outcome halves.
	HalfLife time.Duration
}

// DefaultQuarantinePolicy returns the policy used in production.
func DefaultQuarantinePolicy() QuarantinePolicy {
	return QuarantinePolicy{
		MaxShare: 0.05, MinLogOdds: math.Log(1000),
		Duration: 10 * time.Minute, MaxDuration: 4 * time.Hour, HalfLife: time.Hour,
	}
}

const (
	// brokenRate is the failure rate of a worker or job that is broken.
	brokenRate = 0.95
	// healthyRate is the lowest failure rate that is assumed of a healthy worker
	// or job.
	healthyRate = 0.02
	// maxHealthyRate is the highest failure rate that is assumed of a healthy
	// worker or job. A healthy worker is assumed to fail a job's tasks as often
	// as other workers do, and a healthy job to fail on a worker as often as
	// other jobs do. The limit is below brokenRate, so that a failure is
	// always evidence against the worker or job, and a success evidence for it.
	maxHealthyRate = 0.9
	// minPeers is the minimum number of different jobs that must have failed on
	// a worker to quarantine it, or of workers on which a job must have failed
	// to hold it.
	minPeers = 3
	// maxOutcomes is the number of recent outcomes that are kept for each
	// worker and each job.
	maxOutcomes = 32
	// probeSuccesses is the number of tasks that a released worker has to
	// finish before its outcomes and its quarantines are forgotten.
	probeSuccesses = 3
)

// TaskOutcome is the outcome of one task.
type TaskOutcome struct {
	Worker ID
	Job    carobkeel.JobID
	// Failed is false for tasks that succeeded, or ran long enough to show that
	// the worker can start them. Evictions are not reported as outcomes.
	Failed bool
	At     time.Time
}

// Quarantine detects workers on which all tasks fail and jobs that fail on all
// workers, and distinguishes the two. A failure counts as evidence against a
// worker to the extent that its job succeeds on other workers, and against a job
// to the extent that its workers succeed with other jobs. A Quarantine is not
// safe for concurrent use.
type Quarantine struct {
	policy     QuarantinePolicy
	workers    map[ID]*record
	jobs       map[carobkeel.JobID]*record
	probations map[ID]*probation
	// suspects are the workers with a failure that Update has not evaluated
	// yet, and those that could not be quarantined because of MaxShare.
	suspects map[ID]struct{}
}

// record holds the recent outcomes of one worker or job.
type record struct{ outcomes []TaskOutcome }

// probation is the state of a worker that was quarantined.
type probation struct {
	// since is the time at which the worker was last quarantined.
	since time.Time
	// quarantines is the number of times the worker has been quarantined.
	quarantines int
	// probing reports whether the worker has been released and takes tasks, but
	// has not finished enough of them yet.
	probing   bool
	successes int
}

// NewQuarantine returns a Quarantine without any outcomes.
func NewQuarantine(policy QuarantinePolicy) *Quarantine {
	return &Quarantine{
		policy: policy, workers: map[ID]*record{},
		jobs: map[carobkeel.JobID]*record{}, probations: map[ID]*probation{},
		suspects: map[ID]struct{}{},
	}
}

// Observe records the outcome of a task.
func (q *Quarantine) Observe(o TaskOutcome) {
	appendOutcome(q.workers, o.Worker, o)
	appendOutcome(q.jobs, o.Job, o)
	if o.Failed {
		q.suspects[o.Worker] = struct{}{}
	}
	p := q.probations[o.Worker]
	if p == nil || !p.probing || o.Failed {
		return
	}
	if p.successes++; p.successes >= probeSuccesses {
		delete(q.probations, o.Worker)
		delete(q.workers, o.Worker)
	}
}

// ForgetWorker drops the state of a worker that left the fleet.
func (q *Quarantine) ForgetWorker(id ID) {
	delete(q.workers, id)
	delete(q.probations, id)
	delete(q.suspects, id)
}

// ForgetJob drops the state of a job that ended.
func (q *Quarantine) ForgetJob(id carobkeel.JobID) { delete(q.jobs, id) }

// WorkerEvidence returns the log odds that the worker is broken, and the number
// of jobs that failed on it.
func (q *Quarantine) WorkerEvidence(id ID, now time.Time) (odds float64, jobs int) {
	return evidence(q.workers[id], q.policy.HalfLife, now,
		func(o TaskOutcome) carobkeel.JobID { return o.Job },
		func(o TaskOutcome) float64 {
			return failureRate(q.jobs[o.Job], func(other TaskOutcome) bool { return other.Worker != id })
		})
}

// JobEvidence returns the log odds that the job is broken, and the number of
// workers that it failed on.
func (q *Quarantine) JobEvidence(id carobkeel.JobID, now time.Time) (odds float64, workers int) {
	return evidence(q.jobs[id], q.policy.HalfLife, now,
		func(o TaskOutcome) ID { return o.Worker },
		func(o TaskOutcome) float64 {
			return failureRate(q.workers[o.Worker], func(other TaskOutcome) bool { return other.Job != id })
		})
}

// Held reports whether the job should be held, as it fails on all workers.
func (q *Quarantine) Held(id carobkeel.JobID, now time.Time) bool {
	odds, workers := q.JobEvidence(id, now)
	return odds >= q.policy.MinLogOdds && workers >= minPeers
}

// Update returns the workers to quarantine and those to release now. At most
// MaxShare of the fleet, but at least one worker, may be quarantined at a time;
// the workers with the highest odds come first.
func (q *Quarantine) Update(fleetSize int, now time.Time) (quarantine, release []ID) {
	release = q.release(now)
	room := max(1, int(q.policy.MaxShare*float64(fleetSize))) - q.quarantinedCount()
	confirmed := q.confirmSuspects(now)
	for _, s := range confirmed[:min(len(confirmed), max(room, 0))] {
		q.quarantine(s.id, now)
		delete(q.suspects, s.id)
		quarantine = append(quarantine, s.id)
	}
	return quarantine, release
}

// suspect is a worker with the log odds that it is broken.
type suspect struct {
	id   ID
	odds float64
}

// confirmSuspects returns the suspects with enough evidence to quarantine them,
// the highest odds first. The others are no longer suspects until they fail
// again.
func (q *Quarantine) confirmSuspects(now time.Time) []suspect {
	var confirmed []suspect
	for id := range q.suspects {
		p := q.probations[id]
		odds, jobs := q.WorkerEvidence(id, now)
		if (p != nil && !p.probing) || odds < q.policy.MinLogOdds || jobs < q.requiredJobs(id) {
			delete(q.suspects, id)
			continue
		}
		confirmed = append(confirmed, suspect{id, odds})
	}
	slices.SortFunc(confirmed, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.odds, a.odds), cmp.Compare(a.id, b.id))
	})
	return confirmed
}

// requiredJobs returns the number of jobs that have to fail on a worker before
// it is quarantined: one for a worker that was released on probation.
func (q *Quarantine) requiredJobs(id ID) int {
	if q.probations[id] != nil {
		return 1
	}
	return minPeers
}

func (q *Quarantine) quarantinedCount() int {
	count := 0
	for _, p := range q.probations {
		if !p.probing {
			count++
		}
	}
	return count
}

func (q *Quarantine) quarantine(id ID, now time.Time) {
	p := q.probations[id]
	if p == nil {
		p = &probation{}
		q.probations[id] = p
	}
	p.since, p.probing, p.successes = now, false, 0
	p.quarantines++
}

// release releases the workers whose quarantine is over and puts them on
// probation. Their earlier outcomes are dropped, so that only new ones count.
func (q *Quarantine) release(now time.Time) []ID {
	var released []ID
	for id, p := range q.probations {
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
	return min(q.policy.MaxDuration, q.policy.Duration<<min(p.quarantines-1, maxDoublings))
}

func appendOutcome[K comparable](records map[K]*record, key K, o TaskOutcome) {
	r := records[key]
	if r == nil {
		r = &record{}
		records[key] = r
	}
	r.outcomes = append(r.outcomes, o)
	if len(r.outcomes) > maxOutcomes {
		r.outcomes = slices.Delete(r.outcomes, 0, 1)
	}
}

// failureRate returns the rate of failures among the outcomes that counts
// accepts. It includes a prior of one outcome with a failure rate of one in
// fifty (healthyRate).
func failureRate(r *record, counts func(TaskOutcome) bool) float64 {
	failures, total := healthyRate, 1.0
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
	return min(max(failures/total, healthyRate), maxHealthyRate)
}

// evidence sums, over the outcomes of a record, the log likelihood ratio of the
// outcome between a broken subject and a healthy one whose failures are explained
// by the peer. Of all failures with one peer only the strongest counts, so that
// one job can't get a worker quarantined by failing on it repeatedly.
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
