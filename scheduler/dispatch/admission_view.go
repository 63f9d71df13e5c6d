package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// historyInterval is how long a backlog must have lasted to count as standing. A burst of jobs
	// is done in less.
	historyInterval = 4 * time.Second
	// minRateShare is the share of its processors that a service is assumed to use at least. What
	// runs says too little while its workers have just come back.
	minRateShare = 0.5
	// viewSettleTime is how long a holder must have scheduled the shard before it gives a view.
	// Before, workers are still connecting and listing their runs.
	viewSettleTime = 2 * time.Second
)

// AdmissionView returns the view of the shard's load. It returns false while the holder doesn't know
// all workers and what they run.
func (c *Core) AdmissionView() (AdmissionView, bool) {
	if c.now.Monotonic-c.begunAt < viewSettleTime || len(c.unreportedWorkers)+len(c.partlyListed) > 0 {
		return AdmissionView{}, false
	}
	var view AdmissionView
	histories := make(map[carobkeel.Service]poolHistory)
	for service, b := range c.backlogs() {
		if len(b.waiting) == 0 {
			continue
		}
		pool := PoolLoad{Service: service, DurationRatio: c.estimateRatio.value(), Waiting: b.waiting, Backlog: b.sortedBands(), Queues: b.sortedQueues()}
		histories[service] = c.addHistory(&pool)
		view.Pools = append(view.Pools, pool)
	}
	c.histories = histories
	slices.SortFunc(view.Pools, func(a, b PoolLoad) int { return cmp.Compare(a.Service, b.Service) })
	return view, true
}

// poolHistory is the load of a service over the last historyInterval or more. Admission refuses
// jobs only by the most favourable moment of that time.
type poolHistory struct {
	// since is when the present interval began.
	since time.Duration
	// These are the shortest waits, and the highest rates in core-seconds per second, of the present
	// interval and of the one before.
	wait, previousWait time.Duration
	rate, previousRate float64
}

// addHistory returns the history of a service with its present load added, and sets the fields of the
// load that depend on the history.
func (c *Core) addHistory(pool *PoolLoad) poolHistory {
	h, known := c.histories[pool.Service]
	rate := c.rate(pool.Service)
	wait := seconds(pool.totalWork() / max(minWorkLeft, rate, h.rate, h.previousRate))
	switch {
	case !known:
		h = poolHistory{since: c.now.Monotonic, wait: wait, rate: rate}
	case c.now.Monotonic-h.since >= historyInterval:
		h = poolHistory{since: c.now.Monotonic, wait: wait, previousWait: h.wait, rate: rate, previousRate: h.rate}
	default:
		h.wait, h.rate = min(h.wait, wait), max(h.rate, rate)
	}
	pool.Rate = max(h.rate, h.previousRate)
	pool.StandingWait = min(h.wait, h.previousWait)
	return h
}

// totalWork returns the work of the whole backlog, in core-seconds.
func (p *PoolLoad) totalWork() float64 {
	work := 0.0
	for _, band := range p.Backlog {
		work += band.Work
	}
	return work
}

// rate returns how fast the workers of a service get work done now, in core-seconds per second.
// Workers that take no tasks at present count too, as they may soon, unless they shut down.
func (c *Core) rate(service carobkeel.Service) float64 {
	var running, processors int64
	for _, w := range c.workers {
		if w.description.Service != service || w.shutDown || w.description.Draining {
			continue
		}
		batch, longRunning := w.demands()
		running += batch
		processors += max(0, w.description.Capacity.MilliCPU-longRunning)
	}
	return max(float64(running), minRateShare*float64(processors)) / 1000
}

// demands returns what the worker's batch tasks and its long-running tasks demand of its processors,
// in thousandths of a core.
func (w *workerState) demands() (batch, longRunning int64) {
	for _, r := range w.runs {
		switch {
		case r.task == nil:
		case r.task.step.spec.LongRunning:
			longRunning += r.task.step.spec.Demand.MilliCPU
		default:
			batch += r.task.step.spec.Demand.MilliCPU
		}
	}
	return batch, longRunning
}
