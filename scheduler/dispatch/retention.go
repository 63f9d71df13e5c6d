package dispatch

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// retention is how long the state of an ended job is kept. Callers may
	// query it for at least 2 minutes, and repeat a submission within seconds.
	retention = 10 * time.Minute
	// maxExpiredPerBatch bounds the jobs whose records one batch removes. Each
	// job has up to three rows.
	maxExpiredPerBatch = 10
	// expireInterval is the least time between two checks for expired jobs.
	expireInterval = time.Second
	// maxProgressForExpiry is the largest number of job records in a batch that
	// may also remove expired ones.
	maxProgressForExpiry = 15
)

// addExpired adds jobs whose records may be removed, the oldest first, unless
// the batch already has more than maxProgressForExpiry job records.
func (c *Core) addExpired(b *Batch, limit *BatchLimit) {
	if len(b.Progress) > maxProgressForExpiry {
		return
	}
	for _, j := range c.ended {
		if c.now.Monotonic-j.endedAt < retention || len(b.Expired) == maxExpiredPerBatch {
			break
		}
		if c.mayExpire(j) && limit.take(expiredEntries, 0) {
			b.Expired = append(b.Expired, j.spec.ID)
		}
	}
}

func (c *Core) mayExpire(j *job) bool {
	return c.dirty[j.spec.ID] == nil && j.visibleState.IsFinal() && !j.hasRuns()
}

func (c *Core) hasExpired() bool {
	for _, j := range c.ended {
		if c.now.Monotonic-j.endedAt < retention {
			return false
		}
		if c.mayExpire(j) {
			return true
		}
	}
	return false
}

// recordEnded adds a job that has ended to the list of jobs whose records
// expire.
func (c *Core) recordEnded(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	j.endedAt = c.now.Monotonic
	c.ended = append(c.ended, j)
}

// forgetJobs drops the jobs whose records have been removed.
func (c *Core) forgetJobs(ids []carobkeel.JobID) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		c.views = append(c.views, StateChange{Job: id, Queue: c.jobs[id].spec.Queue.Name, Removed: true})
		c.footprint -= footprint(c.jobs[id].spec)
		delete(c.jobs, id)
	}
	c.ended = slices.DeleteFunc(c.ended, func(j *job) bool { return slices.Contains(ids, j.spec.ID) })
}
