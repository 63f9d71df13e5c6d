package submission

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

const (
	// maxViewAge is the age beyond which no job is refused by a view of the shard's load.
	maxViewAge = time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused caller.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// retryJitter is the part of a retry delay by which it is lengthened at random, so that
	// refused callers come back spread over time.
	retryJitter = 0.5
	// returnTime is how long a refused job is admitted, from the end of its retry delay on.
	returnTime = 30 * time.Second
	// refusedSlots bounds the number of refused jobs that are remembered.
	refusedSlots = 1024
)

// LoadView returns the newest view of the shard's load and its age. It is nil if there is none.
type LoadView func() (view *dispatch.AdmissionView, age time.Duration)

// Verdict is the decision on a job that is not accepted yet.
type Verdict struct {
	Refused bool
	// RetryAfter is the time after which a caller that is refused should submit the job again.
	RetryAfter time.Duration
	// Expectation is what the view says about the job, zero if the job isn't decided by a view.
	Expectation dispatch.Expectation
}

// Decide decides whether to refuse a job because of the load of the shard. It refuses a job if the
// accepted jobs that are at least as urgent surely delay it until its completion has no value any more.
// While the backlog has stood at more than the job could wait for and be in time, it also refuses a job
// that can't be in time: this job would only keep the backlog standing, and all jobs late. Random is from
// 0 to 1 and spreads the retry delays.
func Decide(view *dispatch.AdmissionView, age time.Duration, job *carobkeel.JobSpec, random float64) Verdict {
	if view == nil || age > maxViewAge || !isSheddable(job) {
		return Verdict{}
	}
	e := view.Expect(job)
	limit := e.Useful
	if e.StandingWait > e.InTime {
		limit = e.InTime
	}
	if e.HasRoom || e.Wait <= limit {
		return Verdict{Expectation: e}
	}
	delay := min(maxRetryAfter, max(minRetryAfter, e.Wait-limit))
	return Verdict{
		Refused:     true,
		RetryAfter:  delay + time.Duration(retryJitter*random*float64(delay)),
		Expectation: e,
	}
}

// isSheddable reports whether a job may be refused because of the load: its queue has an
// objective for the time to its end, and it starts at once, ends, and needs no advice.
func isSheddable(job *carobkeel.JobSpec) bool {
	q := &job.Queue
	if job.Repeats > 0 || q.Advice != nil || (q.SlowdownFactor <= 0 && q.Objective <= 0) {
		return false
	}
	for i := range job.Steps {
		if job.Steps[i].LongRunning {
			return false
		}
	}
	return true
}

// loadShedding refuses submissions by a view of the shard's load.
type loadShedding struct {
	view    LoadView
	refused refusedJobs
}

// ShedLoad lets the service refuse submissions by a view of the shard's load. It is called before
// the first submission.
func (s *Service) ShedLoad(view LoadView) {
	s.shedding = &loadShedding{view: view, refused: refusedJobs{seed: maphash.MakeSeed()}}
}

// shed returns the refusal of a job that could not be complete in useful time, nil if the job is not
// refused. It refuses no job that an earlier submission may have stored.
func (s *Service) shed(ctx context.Context, job *carobkeel.JobSpec) error {
	if s.shedding == nil {
		return nil
	}
	view, age := s.shedding.view()
	v := Decide(view, age, job, rand.Float64())
	now := time.Now()
	switch {
	case !v.Refused:
		return nil
	case s.shedding.refused.mayReturn(job.ID, now):
		s.metrics.returned.Inc(1)
		return nil
	case s.unsettled.contains(job.ID, now) || s.mayBeStored(ctx, job.ID):
		return nil
	}
	s.shedding.refused.add(job.ID, now, v.RetryAfter)
	return v.refusal(age)
}

// refusal returns the error for the caller of a refused job. Age is that of the view.
func (v *Verdict) refusal(age time.Duration) error {
	e := &v.Expectation
	return carobkeel.NewError(carobkeel.CodeBacklog,
		"accepted jobs take %d ms, %d ms at the least lately; in time after %d ms, of use after %d ms; view of %d ms ago",
		e.Wait.Milliseconds(), e.StandingWait.Milliseconds(), e.InTime.Milliseconds(), e.Useful.Milliseconds(), age.Milliseconds()).
		WithRetryAfter(v.RetryAfter)
}

// mayBeStored reports whether the row of a job exists, or can't be read.
func (s *Service) mayBeStored(ctx context.Context, id carobkeel.JobID) bool {
	_, found, err := s.rows.Get(ctx, s.jobRow(id))
	return found || err != nil
}

// refusedJobs remembers the jobs that were refused because of the load, and when they are admitted. Each
// job has one slot by its hash, and a newer job replaces an older one there.
type refusedJobs struct {
	seed  maphash.Seed
	slots [refusedSlots]atomic.Pointer[refusedJob]
}

type refusedJob struct {
	id carobkeel.JobID
	// from and until limit the time in which the job is admitted.
	from, until time.Time
}

func (r *refusedJobs) slot(id carobkeel.JobID) *atomic.Pointer[refusedJob] {
	return &r.slots[maphash.String(r.seed, string(id))%refusedSlots]
}

// add records that a job was refused with a retry delay. What the caller was told first stays in force
// until its time is over.
func (r *refusedJobs) add(id carobkeel.JobID, now time.Time, delay time.Duration) {
	slot := r.slot(id)
	if old := slot.Load(); old != nil && old.id == id && now.Before(old.until) {
		return
	}
	from := now.Add(delay)
	slot.Store(&refusedJob{id: id, from: from, until: from.Add(returnTime)})
}

// mayReturn reports whether the job was refused and its caller has come back in the time in which it is
// admitted.
func (r *refusedJobs) mayReturn(id carobkeel.JobID, now time.Time) bool {
	job := r.slot(id).Load()
	return job != nil && job.id == id && !now.Before(job.from) && now.Before(job.until)
}
