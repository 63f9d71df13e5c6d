package runner

import "github.com/carobkeel/carobkeel"

// asksKept bounds the asks that wait for the next round.
const asksKept = 1024

// ask is what another goroutine wants done with a running task.
type ask struct {
	task carobkeel.TaskID
	// sharePercent is the share to throttle to, zero to evict.
	sharePercent uint8
}

// Evict asks for a task to be checkpointed and stopped in the next round. It
// returns false where too many asks wait. It is safe for use by several
// goroutines.
func (r *Runner) Evict(task carobkeel.TaskID) bool { return r.ask(ask{task: task}) }

// Throttle asks for a task to be limited to a share of its demand, in 1..100
// percent, in the next round. It returns false where too many asks wait or the
// share is zero. It is safe for use by several goroutines.
func (r *Runner) Throttle(task carobkeel.TaskID, sharePercent uint8) bool {
	return sharePercent > 0 && r.ask(ask{task: task, sharePercent: sharePercent})
}

func (r *Runner) ask(a ask) bool {
	select {
	case r.asks <- a:
		return true
	default:
		return false
	}
}

// answerAsks carries out what was asked for since the last round.
func (r *Runner) answerAsks() {
	now := r.config.Now()
	for range len(r.asks) {
		a := <-r.asks
		if a.sharePercent == 0 {
			r.shard.Evict(now, a.task)
			r.config.Metrics.evicted.Inc(1)
			continue
		}
		r.shard.Throttle(a.task, a.sharePercent)
	}
}
