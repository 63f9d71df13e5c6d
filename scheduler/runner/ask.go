package runner

import "github.com/carobkeel/carobkeel"

// maxTaskRequests bounds the requests that wait for the next round.
const maxTaskRequests = 1024

// taskRequest is the request of another goroutine to evict or throttle a task.
type taskRequest struct {
	task carobkeel.TaskID
	// pacePercent is the pace to throttle to, zero to evict.
	pacePercent uint8
}

// Evict requests that a task be checkpointed and stopped, starting in the next
// round. It returns false if too many requests wait. It is safe for concurrent
// use.
func (r *Runner) Evict(task carobkeel.TaskID) bool { return r.enqueueRequest(taskRequest{task: task}) }

// Throttle requests that the pace of a task be set in the next round, to 1..100
// percent of its demand. It returns false if too many requests wait or
// pacePercent is zero. It is safe for concurrent use.
func (r *Runner) Throttle(task carobkeel.TaskID, pacePercent uint8) bool {
	return pacePercent > 0 && r.enqueueRequest(taskRequest{task: task, pacePercent: pacePercent})
}

func (r *Runner) enqueueRequest(a taskRequest) bool {
	select {
	case r.taskRequests <- a:
		return true
	default:
		return false
	}
}

// handleTaskRequests executes the requests received since the last round.
func (r *Runner) handleTaskRequests() {
	now := r.config.Now()
	for range len(r.taskRequests) {
		a := <-r.taskRequests
		if a.pacePercent == 0 {
			r.shard.Evict(now, a.task)
			r.config.Metrics.evicted.Inc(1)
			continue
		}
		r.shard.Throttle(a.task, a.pacePercent)
	}
}
