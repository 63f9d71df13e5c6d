package dispatch

import (
	"math"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// durationWindow is over how many runs durations are averaged.
	durationWindow = 50
	// durationTrust is how many runs it takes before the mean of a queue counts as
	// much as the declared duration of a step.
	durationTrust = 5
)

// durations is the mean duration of the runs of one queue.
type durations struct {
	mean  time.Duration
	count int
}

// learnDuration takes in how long a run took that was not held back.
func (c *Core) learnDuration(r *liveRun) {
	if r.task == nil || r.everSlow || r.task.saved != "" {
		return
	}
	queue := r.task.job().spec.Queue.Name
	d := c.durations[queue]
	d.count++
	took := c.now.Steady - r.started
	d.mean += (took - d.mean) / time.Duration(min(d.count, durationWindow))
	c.durations[queue] = d
}

// expected returns how long a task of a step should take: between what was
// declared, which is often far off, and the mean of its queue.
func (c *Core) expected(queue carobkeel.QueueName, declared time.Duration) time.Duration {
	d := c.durations[queue]
	if d.count == 0 || declared <= 0 {
		return max(declared, d.mean)
	}
	trust := float64(d.count) / float64(d.count+durationTrust) / 2
	ratio := float64(d.mean) / float64(declared)
	return time.Duration(float64(declared) * math.Pow(ratio, trust))
}
