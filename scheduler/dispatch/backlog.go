package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// minRoomWait is how long a task must have waited before it counts as a sign that there is no
	// room for tasks like it.
	minRoomWait = 500 * time.Millisecond
	// maxWaitingDemands bounds the demands in a view, for each priority and for best-effort tasks
	// and others.
	maxWaitingDemands = 4
)

// backlog is the work that is left for the workers of one service.
type backlog struct {
	// bands has the work that is left, in core-seconds.
	bands map[bandKey]float64
	// waiting is PoolLoad.Waiting.
	waiting []WaitingDemand
	// queues has the mean work of the jobs of each queue, in core-seconds.
	queues map[carobkeel.QueueName]float64
}

// bandKey names a BacklogBand of a service.
type bandKey struct{ priority, exponent int }

// backlogs returns the work that is left of batch jobs, by service.
func (c *Core) backlogs() map[carobkeel.Service]*backlog {
	backlogs := make(map[carobkeel.Service]*backlog)
	for _, j := range c.active {
		queue := c.queueOf(j)
		b := backlogs[queue.Service]
		if b == nil {
			b = &backlog{bands: make(map[bandKey]float64), queues: make(map[carobkeel.QueueName]float64)}
			backlogs[queue.Service] = b
		}
		for _, o := range j.occurrences {
			c.addBacklog(b, queue, o)
		}
	}
	return backlogs
}

// addBacklog adds the work that is left of an occurrence, and the demands of its tasks that wait.
func (c *Core) addBacklog(b *backlog, queue *carobkeel.Queue, o *occurrence) {
	total, left := o.work()
	mean := c.meanWork(o.job.spec.Queue.Name)
	b.queues[o.job.spec.Queue.Name] = mean
	key := bandKey{queue.Priority, valueExponent(mean, total, left)}
	for _, s := range o.steps {
		if s.spec.LongRunning || s.done == s.tasks.count {
			continue
		}
		if c.showsLackOfRoom(s) {
			b.addWaiting(WaitingDemand{queue.Priority, s.spec.BestEffort, s.spec.Demand.MilliCPU, s.spec.Demand.MemoryBytes})
		}
		if c.slowdown(s) <= maxUsefulSlowdown {
			b.bands[key] += c.workLeft(s)
		}
	}
}

// showsLackOfRoom reports whether a task of the step waits for nothing but room on any worker of its
// service.
func (c *Core) showsLackOfRoom(s *stepState) bool {
	if !s.ready || s.spec.Gang || s.spec.RequiredLabel != "" || s.spec.MaxPerWorker > 0 || s.spec.Demand.Accelerators > 0 {
		return false
	}
	t := c.nextStartable(s, nil)
	return t != nil && c.now.Monotonic-t.waitsSince() >= minRoomWait
}

// addWaiting adds the demand of a task that waits, unless a task of the same kind waits that demands
// no more. It removes the demands that the new one makes superfluous, and keeps at most
// maxWaitingDemands of each kind.
func (b *backlog) addWaiting(d WaitingDemand) {
	if slices.ContainsFunc(b.waiting, func(o WaitingDemand) bool { return o.isSameKind(d) && o.isAtMost(d) }) {
		return
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(o WaitingDemand) bool { return o.isSameKind(d) && d.isAtMost(o) })
	same := 0
	for _, o := range b.waiting {
		if o.isSameKind(d) {
			same++
		}
	}
	if same < maxWaitingDemands {
		b.waiting = append(b.waiting, d)
	}
}

// isSameKind reports whether demands can be compared by isAtMost.
func (d WaitingDemand) isSameKind(o WaitingDemand) bool {
	return d.Priority == o.Priority && d.BestEffort == o.BestEffort
}

// isAtMost reports whether d demands no more of anything than o.
func (d WaitingDemand) isAtMost(o WaitingDemand) bool {
	return d.MilliCPU <= o.MilliCPU && d.Memory <= o.Memory
}

// workLeft returns the work that is left of a step's tasks, in core-seconds.
func (c *Core) workLeft(s *stepState) float64 {
	each := s.taskWork()
	if s.completedRuns == 0 {
		each *= c.estimateRatio.value()
	}
	left := float64(s.tasks.count - s.done)
	for _, t := range s.tasks.running {
		if !t.done {
			left -= t.shareDone()
		}
	}
	return each * left
}

// shareDone returns the share of a task's work that is done, by the run that has progressed furthest.
func (t *task) shareDone() float64 {
	percent := 0
	for _, r := range t.runs {
		percent = max(percent, r.percent)
	}
	return float64(min(fullPercent, percent)) / fullPercent
}

// sortedBands returns the bands, the most urgent first.
func (b *backlog) sortedBands() []BacklogBand {
	sorted := make([]BacklogBand, 0, len(b.bands))
	for key, work := range b.bands {
		sorted = append(sorted, BacklogBand{Priority: key.priority, ValueExponent: key.exponent, Work: work})
	}
	slices.SortFunc(sorted, func(a, b BacklogBand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.ValueExponent, a.ValueExponent))
	})
	return sorted
}

// sortedQueues returns the mean work of the jobs of each queue, in the order of their names.
func (b *backlog) sortedQueues() []QueueLoad {
	sorted := make([]QueueLoad, 0, len(b.queues))
	for name, work := range b.queues {
		sorted = append(sorted, QueueLoad{Name: name, MeanWork: work})
	}
	slices.SortFunc(sorted, func(a, b QueueLoad) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}
