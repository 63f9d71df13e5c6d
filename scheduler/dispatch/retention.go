package dispatch

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// retention is how long the state of a job that has ended is kept. Callers may
	// ask for it for at least 2 minutes, and repeat a submission within seconds.
	retention = 10 * time.Minute
	// expiredPerBatch bounds the jobs whose records one batch removes, of which
	// each has up to three rows.
	expiredPerBatch = 10
	// expireInterval is the least time between two looks for such jobs.
	expireInterval = time.Second
	// expireBelow is the number of other records in a batch up to which it removes
	// some.
	expireBelow = 15
)

// expiredJobs returns jobs whose records may be removed, the oldest first.
func (c *Core) expiredJobs(records int) []carobkeel.JobID {
	if records > expireBelow {
		return nil
	}
	var expired []carobkeel.JobID
	for _, j := range c.ended {
		if c.now.Steady-j.finished < retention || len(expired) == expiredPerBatch {
			break
		}
		if c.dirty[j.spec.ID] == nil && j.shown.IsFinal() && !j.hasRuns() {
			expired = append(expired, j.spec.ID)
		}
	}
	return expired
}

// noteEnded puts a job that has ended into the order in which records expire.
func (c *Core) noteEnded(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	j.finished = c.now.Steady
	c.ended = append(c.ended, j)
}

// forgetJobs drops jobs whose records were removed.
func (c *Core) forgetJobs(ids []carobkeel.JobID) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		c.views = append(c.views, View{Job: id, Queue: c.jobs[id].spec.Queue.Name, Gone: true})
		delete(c.jobs, id)
	}
	c.ended = slices.DeleteFunc(c.ended, func(j *job) bool { return slices.Contains(ids, j.spec.ID) })
}
