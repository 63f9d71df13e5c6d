package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// minWorkLeft is the least work that is assumed to be left, in core-seconds.
const minWorkLeft = 0.1

// valueRate returns the value that the completion of a step's job has to its caller for
// each core-second of work that is left. Under overload, jobs with a high rate go first:
// small ones, and those of which much is done, so that more of them are in time than if
// all progressed alike.
//
// Half of the value is the same for all jobs of a queue, the mean work of its jobs, and half is the
// job's own work, so that neither many small jobs nor one large job take all the room. The value is
// divided by the square of the job's slowdown if it will be late. So late jobs make room for those that
// can still be in time, and go on where these leave some.
func (c *Core) valueRate(s *stepState) float64 {
	total, left := s.occurrence.work()
	slowdown := max(1, c.slowdown(s))
	return (c.meanWork(s.occurrence.job.spec.Queue.Name) + total) / (slowdown * slowdown) / max(minWorkLeft, left)
}

// work returns the estimated work of an occurrence, and how much of it is left, in
// core-seconds.
func (o *occurrence) work() (total, left float64) {
	for _, s := range o.steps {
		each := s.taskWork()
		total += each * float64(s.tasks.count)
		left += each * float64(s.tasks.count-s.done)
	}
	return total, left
}

// taskWork returns the estimated work of one task of the step, in core-seconds.
func (s *stepState) taskWork() float64 {
	return s.typicalDuration().Seconds() * float64(s.spec.Demand.MilliCPU) / 1000
}

// queueWork is the mean work of a queue's jobs.
type queueWork struct {
	// mean is the mean work, in core-seconds, of the jobs that were active at measuredAt. It is
	// zero if there were none.
	mean       float64
	measuredAt time.Duration
}

// workInterval is how long a measured mean of the work of a queue's jobs is used.
const workInterval = 500 * time.Millisecond

// meanWork returns the mean work of the active jobs of a queue, in core-seconds.
func (c *Core) meanWork(queue carobkeel.QueueName) float64 {
	w, known := c.queueWork[queue]
	if !known || c.now.Monotonic-w.measuredAt >= workInterval {
		c.measureWork()
		w = c.queueWork[queue]
		w.measuredAt = c.now.Monotonic
		c.queueWork[queue] = w
	}
	return w.mean
}

// measureWork measures the mean work of the active jobs of each queue.
func (c *Core) measureWork() {
	clear(c.queueWork)
	jobs := make(map[carobkeel.QueueName]int)
	for _, j := range c.active {
		queue := j.spec.Queue.Name
		for _, o := range j.occurrences {
			total, _ := o.work()
			w := c.queueWork[queue]
			jobs[queue]++
			w.mean += (total - w.mean) / float64(jobs[queue])
			w.measuredAt = c.now.Monotonic
			c.queueWork[queue] = w
		}
	}
}
