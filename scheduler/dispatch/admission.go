package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// AdmissionView is what an entry needs to know of the shard's load to estimate when a job that is not
// accepted yet would be complete. Where its figures are uncertain, they err towards an earlier
// completion, so that no job is refused which could have been of use.
type AdmissionView struct {
	// Pools has the services with work that waits.
	Pools []PoolLoad
}

// PoolLoad is the load of the workers of one service.
type PoolLoad struct {
	Service carobkeel.Service
	// Rate is how fast the workers get work done, in core-seconds per second.
	Rate float64
	// DurationRatio is the ratio of the real to the estimated durations of runs.
	DurationRatio float64
	// StandingWait is the shortest time for which the backlog would have kept the workers busy, of
	// all views of the last historyInterval or more. A short burst doesn't raise it.
	StandingWait time.Duration
	// Waiting has the smallest demands of the tasks that wait for room, for each priority, and for
	// best-effort tasks and others.
	Waiting []WaitingDemand
	// Backlog is the work that is left of the accepted jobs whose completion can still be of use,
	// the most urgent first.
	Backlog []BacklogBand
	// Queues has the mean work of the accepted jobs of each queue, in the order of their names.
	Queues []QueueLoad
}

// QueueLoad is the mean work of a queue's jobs.
type QueueLoad struct {
	Name carobkeel.QueueName
	// MeanWork is in core-seconds.
	MeanWork float64
}

// WaitingDemand is the demand of a task that has found no room for some time.
type WaitingDemand struct {
	Priority   int
	BestEffort bool
	MilliCPU   int64
	Memory     int64
}

// BacklogBand is the work that is left of jobs of similar urgency.
type BacklogBand struct {
	// Priority is that of the jobs' queues.
	Priority int
	// ValueExponent is the binary logarithm of the jobs' value rates, rounded down. Unlike the order
	// in which tasks are placed, it doesn't put a late job behind new ones. Otherwise new jobs would
	// always be accepted, and would make the late job later still.
	ValueExponent int
	// Work is in core-seconds. Of a run that is under way, only the part that is left counts.
	Work float64
}

// Expectation is what an AdmissionView says about a job that is not accepted yet.
type Expectation struct {
	// HasRoom reports that a task of the job may find room at once, or that the view can say nothing
	// of its service. The other fields are zero then.
	HasRoom bool
	// Wait is the least time for which accepted jobs that are at least as urgent keep the workers
	// busy.
	Wait time.Duration
	// StandingWait is that of the service's PoolLoad: it counts all accepted jobs, however urgent.
	StandingWait time.Duration
	// InTime is the longest wait after which the job is expected to be complete in time, and
	// Useful the longest after which its completion can still have a value to the caller.
	InTime, Useful time.Duration
}

const (
	// maxEstimateError is how far the real duration of a task may exceed its estimate, as a
	// share of it.
	maxEstimateError = 0.9
	// maxValueExponent bounds the exponent of a value rate in both directions, and so the number of
	// bands. Jobs without estimates have a rate of zero.
	maxValueExponent = 12
	// maxWait bounds the times of an expectation, so that sums with them don't overflow.
	maxWait = 30 * 24 * time.Hour
)

// Expect returns what the view says about a job that is not accepted yet.
func (v *AdmissionView) Expect(job *carobkeel.JobSpec) Expectation {
	i := slices.IndexFunc(v.Pools, func(p PoolLoad) bool { return p.Service == job.Queue.Service })
	if i < 0 || v.Pools[i].Rate <= 0 || v.Pools[i].mayHaveRoom(job) {
		return Expectation{HasRoom: true}
	}
	pool := &v.Pools[i]
	wait := pool.workBefore(job) / pool.Rate
	chain := longestChain(job)
	return Expectation{
		Wait:         seconds(wait),
		StandingWait: pool.StandingWait,
		InTime:       objectiveOf(&job.Queue, pool.DurationRatio*chain) - seconds(pool.DurationRatio*chain),
		Useful:       maxUsefulSlowdown * objectiveOf(&job.Queue, (1+maxEstimateError)*chain),
	}
}

// mayHaveRoom reports whether a task of the job's first steps may find room at once. A task surely
// finds none while another waits that is at least as urgent and demands no more.
func (p *PoolLoad) mayHaveRoom(job *carobkeel.JobSpec) bool {
	for i := range job.Steps {
		s := &job.Steps[i]
		demand := WaitingDemand{BestEffort: s.BestEffort, MilliCPU: s.Demand.MilliCPU, Memory: s.Demand.MemoryBytes}
		if len(s.After) == 0 && !slices.ContainsFunc(p.Waiting, func(w WaitingDemand) bool {
			return w.Priority <= job.Queue.Priority && w.BestEffort == demand.BestEffort && w.isAtMost(demand)
		}) {
			return true
		}
	}
	return false
}

// workBefore returns the work of the accepted jobs that are at least as urgent, in core-seconds.
func (p *PoolLoad) workBefore(job *carobkeel.JobSpec) float64 {
	total := 0.0
	for i := range job.Steps {
		s := &job.Steps[i]
		total += s.Estimate.Seconds() * float64(s.Count) * float64(s.Demand.MilliCPU) / 1000
	}
	exponent := valueExponent(p.meanWork(job.Queue.Name, total), total, total)
	before := 0.0
	for _, band := range p.Backlog {
		if cmp.Or(cmp.Compare(band.Priority, job.Queue.Priority), cmp.Compare(exponent, band.ValueExponent)) <= 0 {
			before += band.Work
		}
	}
	return before
}

// meanWork returns the mean work of the accepted jobs of a queue in core-seconds, or the given work
// of a new job if the queue has none.
func (p *PoolLoad) meanWork(queue carobkeel.QueueName, work float64) float64 {
	i := slices.IndexFunc(p.Queues, func(q QueueLoad) bool { return q.Name == queue })
	if i < 0 {
		return work
	}
	return p.Queues[i].MeanWork
}

// longestChain returns the longest chain of estimated work of a job, in seconds.
func longestChain(spec *carobkeel.JobSpec) float64 {
	j := &job{spec: spec}
	chain := time.Duration(0)
	for i := range spec.Steps {
		chain = max(chain, j.criticalPath(i))
	}
	return chain.Seconds()
}

// valueExponent returns the binary logarithm, rounded down, of the value of a job's completion for
// each core-second that is left. Mean is the mean work of its queue's jobs, total that of the job.
func valueExponent(mean, total, left float64) int {
	rate := (mean + total) / max(minWorkLeft, left)
	return int(max(-maxValueExponent, min(maxValueExponent, math.Floor(math.Log2(rate)))))
}

// objectiveOf returns the time in which a job with a chain of work, in seconds, should be complete.
func objectiveOf(q *carobkeel.Queue, chain float64) time.Duration {
	return seconds(q.SlowdownFactor*chain + q.Objective.Seconds())
}

// seconds returns the duration of a number of seconds, at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
