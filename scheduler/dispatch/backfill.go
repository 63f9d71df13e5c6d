package dispatch

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// gangPlanInterval is how long the plan of a waiting gang is used. To make one, all runs of
	// its service's workers are looked at.
	gangPlanInterval = 250 * time.Millisecond
	// minRunLeft is how long a run is expected to go on at least.
	minRunLeft = 100 * time.Millisecond
	// backfillUtilization is the share of a service's capacity in use below which a starved task
	// is not held back for a gang.
	backfillUtilization = 0.5
)

// gangPlan is where and when a gang that waits is expected to start: as soon as enough batch runs
// have ended. As in EASY backfilling, other tasks may start before that where they end in time or
// fit beside the gang. Long-running tasks end at no known time, so what they hold is not counted
// on: without a time to start at, nothing is held back.
type gangPlan struct {
	madeAt, start time.Duration
	// claims holds what the gang will use of each worker, and spare what is left there beside it.
	claims, spare map[*workerState]carobkeel.Resources
}

// expectedEnd is when a run is expected to free what it holds.
type expectedEnd struct {
	run *runState
	at  time.Duration
}

// expectedEndOf returns when a run is expected to end. It returns false for one that goes on.
func (c *Core) expectedEndOf(r *runState) (time.Duration, bool) {
	now := c.now.Monotonic
	switch {
	case r.stopping || r.task == nil:
		return now + minRunLeft, true
	case r.task.step.spec.LongRunning:
		return 0, false
	}
	return now + max(minRunLeft, c.expectedLeft(r)), true
}

// expectedLeft returns how long a batch run is expected to go on, by its progress or else by the
// duration of its step's runs. One that takes longer is expected to take as long again.
func (c *Core) expectedLeft(r *runState) time.Duration {
	age := c.now.Monotonic - r.started
	if r.percent > 0 {
		return age * time.Duration(fullPercent-r.percent) / time.Duration(r.percent)
	}
	if left := r.task.step.typicalDuration() - age; left > 0 {
		return left
	}
	return age
}

// typicalDuration returns how long a run of the step takes: the mean of those that were done, or the
// estimate.
func (s *stepState) typicalDuration() time.Duration {
	if s.completedRuns > 0 {
		return s.completedTime / time.Duration(s.completedRuns)
	}
	return s.spec.Estimate
}

// planGang returns the plan of a gang that does not fit now, nil if it can't be expected to fit.
func (c *Core) planGang(p *pass, s *stepState) *gangPlan {
	var workers []*workerState
	var ends []expectedEnd
	for _, w := range p.workers {
		if p.plans[w] == nil && c.meetsRequirements(s, w) {
			workers = append(workers, w)
			ends = c.appendEnds(ends, w)
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
	needed := sort.Search(len(ends)+1, func(n int) bool { return c.fitGangAfter(p, s, workers, ends[:n]) != nil })
	if needed > len(ends) {
		return nil
	}
	plan := c.fitGangAfter(p, s, workers, ends[:needed])
	plan.madeAt, plan.start = c.now.Monotonic, c.now.Monotonic
	if needed > 0 {
		plan.start = ends[needed-1].at
	}
	return plan
}

// appendEnds appends the expected ends of a worker's runs.
func (c *Core) appendEnds(ends []expectedEnd, w *workerState) []expectedEnd {
	for _, r := range w.runs {
		if at, ending := c.expectedEndOf(r); ending {
			ends = append(ends, expectedEnd{run: r, at: at})
		}
	}
	return ends
}

// fitGangAfter returns what a gang would use of the workers once the runs have ended, nil if there
// is no room for it then.
func (c *Core) fitGangAfter(p *pass, s *stepState, workers []*workerState, ends []expectedEnd) *gangPlan {
	freed := make(map[*workerState]carobkeel.Resources)
	for _, e := range ends {
		freed[e.run.worker] = freed[e.run.worker].Add(e.run.reserved)
	}
	plan := &gangPlan{claims: make(map[*workerState]carobkeel.Resources), spare: make(map[*workerState]carobkeel.Resources)}
	demand := s.spec.Reserved()
	left := s.tasks.count
	for _, w := range workers {
		free := w.free().Sub(p.reservations[w]).Add(freed[w])
		for n := 0; left > 0 && demand.FitsIn(free) && (s.spec.MaxPerWorker <= 0 || n < s.spec.MaxPerWorker) && n < MaxRunsPerWorker; n++ {
			free = free.Sub(demand)
			plan.claims[w] = plan.claims[w].Add(demand)
			left--
		}
		if !plan.claims[w].IsZero() {
			plan.spare[w] = free
		}
	}
	if left > 0 {
		return nil
	}
	return plan
}

// holdForGang holds back what a gang that does not fit yet is planned to use, once it has waited for
// gangReservationDelay. Without it, smaller tasks could take these resources forever.
func (c *Core) holdForGang(p *pass, s *stepState) {
	if c.now.Monotonic-s.readyAt < gangReservationDelay {
		return
	}
	if s.plan == nil || c.now.Monotonic-s.plan.madeAt >= gangPlanInterval {
		s.plan = c.planGang(p, s)
	}
	if s.plan == nil {
		return
	}
	for w := range s.plan.claims {
		if p.plans[w] == nil {
			p.plans[w] = s.plan
		}
	}
}

// room returns the resources of a worker that a task may use now.
func (c *Core) room(p *pass, t *task, w *workerState) carobkeel.Resources {
	free := w.free().Sub(p.reservations[w])
	plan := p.plans[w]
	if plan == nil || c.mayBackfill(p, t, plan) {
		return free
	}
	return free.Min(plan.spare[w])
}

// claimed returns the resources of a worker that are reserved for more urgent tasks or planned for
// a gang, as far as they are withheld from a task.
func (c *Core) claimed(p *pass, t *task, w *workerState) carobkeel.Resources {
	claimed := p.reservations[w]
	if plan := p.plans[w]; plan != nil && !c.mayBackfill(p, t, plan) {
		claimed = claimed.Add(plan.claims[w])
	}
	return claimed
}

// mayBackfill reports whether a task may use what is planned for a gang: it ends before the gang
// starts, or its job would have nothing running while most of the service is idle.
func (c *Core) mayBackfill(p *pass, t *task, plan *gangPlan) bool {
	typical := t.step.typicalDuration()
	if !t.step.spec.LongRunning && typical > 0 && c.now.Monotonic+typical <= plan.start {
		return true
	}
	return c.isStarved(t) && c.utilization(p, c.queueOf(t.job()).Service) < backfillUtilization
}

// utilization returns the share of the processors of a service's workers that is in use.
func (c *Core) utilization(p *pass, service carobkeel.Service) float64 {
	if share, known := p.utilization[service]; known {
		return share
	}
	var used, capacity int64
	for _, w := range p.workers {
		if w.description.Service == service {
			used += w.used.MilliCPU
			capacity += w.description.Capacity.MilliCPU
		}
	}
	p.utilization[service] = float64(used) / float64(max(1, capacity))
	return p.utilization[service]
}

// startPlanned starts a task on a worker. One that goes on beyond the start of the gang that is
// planned there uses the room beside it.
func (c *Core) startPlanned(p *pass, t *task, w *workerState) {
	if plan := p.plans[w]; plan != nil && !c.mayBackfill(p, t, plan) {
		plan.spare[w] = plan.spare[w].Sub(t.step.spec.Reserved())
	}
	p.lastNearWait = nil
	p.starts++
	c.start(t, w)
}
