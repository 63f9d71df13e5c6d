package runner

import (
	"time"

	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/worker"
)

// Explanation says where a job would go if it were submitted now.
type Explanation struct {
	Status   *Status
	Age      time.Duration
	Decision worker.Decision
}

// Explain says where a job would go by the state after the last round, and calls visit for each
// worker, with the reason for which the job can't start there. It returns false if the shard is not
// held. It is safe for concurrent use.
func (r *Runner) Explain(job *scheduler.Job, visit func(*worker.Worker, worker.Reason)) (Explanation, bool) {
	status := r.Status()
	if !status.Held {
		return Explanation{}, false
	}
	now := r.config.WallClock()
	request := requestFor(job)
	worker.ExplainEach(status.Fleet, request, now, visit)
	return Explanation{
		Status: status, Age: r.config.Now().Sub(status.At),
		Decision: worker.Place(status.Fleet.Edit(), request, worker.DefaultPolicy(), r.config.Seed, now),
	}, true
}
