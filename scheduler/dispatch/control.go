package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/interference"
)

const (
	// fullPace is the pace of a run when it starts, in percent.
	fullPace = interference.FullPace
	// minPaceChange is the smallest change of a pace that is worth an order, in
	// percentage points.
	minPaceChange = 8
	// controlInterval is the time between two changes of a worker's paces: a
	// reported load metric covers half a second, and a new pace takes effect
	// after 100 ms.
	controlInterval = 190 * time.Millisecond
	// minStartPace is the lowest pace, in percent, at which it is worth
	// starting a best-effort task.
	minStartPace = 60
)

// paceControl is the state of the pace control for the tasks that share one
// worker.
type paceControl struct {
	// budget is the interference that the latency-critical tasks tolerate, as
	// of the last listing.
	budget interference.Budget
	// pacesChangedAt is when a pace was last changed. It is zero if the set of
	// best-effort tasks has changed since.
	pacesChangedAt time.Duration
	// recentlyEnded holds the best-effort runs that ended within the last
	// usageWindow.
	recentlyEnded []endedBestEffortRun
}

// endedBestEffortRun is the usage of a best-effort run that has ended but still
// affects the reported load metrics.
type endedBestEffortRun struct {
	bestEffort interference.BestEffort
	endedAt    time.Duration
}

// usageWindow is the time that the reported load metrics cover.
const usageWindow = 500 * time.Millisecond

// startupWindow is the age up to which a run may be listed without a load
// metric.
const startupWindow = time.Second

// usageInWindow returns the part of the worker that a best-effort run used on
// average over the window of the newest load metrics. A run younger than the
// window counts only for its age. A run in its startup window may be listed
// without a metric; its usage is then estimated from full, its usage at full
// pace.
func (c *Core) usageInWindow(r *runState, listed, full float64) float64 {
	age := c.now.Monotonic - r.started
	if r.loadMetric == 0 && age <= startupWindow {
		listed = full * float64(r.pace) / fullPace
	}
	return listed * min(1, float64(age)/float64(usageWindow))
}

// recordEndedBestEffort keeps the usage of a best-effort run that has ended.
func (c *Core) recordEndedBestEffort(r *runState) {
	if r.task == nil || !r.task.step.spec.BestEffort {
		return
	}
	r.worker.control.pacesChangedAt = 0
	if r.loadMetric == 0 {
		return
	}
	f := r.worker.bestEffortOf(r.task)
	f.Share = float64(r.loadMetric) / float64(max(1, r.worker.description.Capacity.MilliCPU))
	f.FullShare = 0
	r.worker.control.recentlyEnded = append(r.worker.control.recentlyEnded, endedBestEffortRun{bestEffort: f, endedAt: c.now.Monotonic})
}

// recentBestEffortUsage returns the usage, within the window of the newest load
// metrics, of the best-effort runs that have ended.
func (c *Core) recentBestEffortUsage(w *workerState) []interference.BestEffort {
	var bestEffort []interference.BestEffort
	w.control.recentlyEnded = slices.DeleteFunc(w.control.recentlyEnded, func(e endedBestEffortRun) bool {
		return c.now.Monotonic-e.endedAt >= usageWindow
	})
	for _, e := range w.control.recentlyEnded {
		f := e.bestEffort
		f.Share *= 1 - float64(c.now.Monotonic-e.endedAt)/float64(usageWindow)
		bestEffort = append(bestEffort, f)
	}
	return bestEffort
}

// observeSharing updates the interference model from a full listing.
func (c *Core) observeSharing(w *workerState) {
	s := c.sharing(w)
	var bestEffort []interference.BestEffort
	for i, r := range s.bestEffortRuns {
		if r.phase != runConfirmed {
			continue // the listing lacks it
		}
		f := s.bestEffort[i]
		f.Share = c.usageInWindow(r, f.Share, f.FullShare)
		bestEffort = append(bestEffort, f)
	}
	bestEffort = append(bestEffort, c.recentBestEffortUsage(w)...)
	w.control.budget = c.interference.Observe(c.now.Monotonic, s.latencyCritical, bestEffort)
	c.markChanged(w)
}

// sharingState is the state derived from the tasks that share a worker.
type sharingState struct {
	latencyCritical []interference.LatencyCritical
	// bestEffort describes the best-effort tasks, and bestEffortRuns holds
	// their runs in the same order, the most urgent first.
	bestEffort     []interference.BestEffort
	bestEffortRuns []*runState
	// plan divides among the best-effort tasks the interference that the
	// latency-critical tasks tolerate.
	plan interference.Plan
	load load
}

// sharing returns the latency-critical and the best-effort tasks of a worker.
// The result is cached until the worker changes.
func (c *Core) sharing(w *workerState) *sharingState {
	if w.sharing != nil {
		return w.sharing
	}
	s := &sharingState{load: c.loadOf(w)}
	for _, r := range w.runs {
		if r.task == nil || r.stopping {
			continue
		}
		if r.task.step.spec.LatencyTarget > 0 {
			s.latencyCritical = append(s.latencyCritical, latencyCriticalOf(r))
		}
		if r.task.step.spec.BestEffort {
			s.bestEffortRuns = append(s.bestEffortRuns, r)
		}
	}
	slices.SortFunc(s.bestEffortRuns, c.comparePaceOrder)
	for _, r := range s.bestEffortRuns {
		f := w.bestEffortOf(r.task)
		f.Share = float64(r.loadMetric) / float64(max(1, w.description.Capacity.MilliCPU))
		s.bestEffort = append(s.bestEffort, f)
	}
	s.plan = c.interference.Plan(w.control.budget, s.bestEffort)
	w.sharing = s
	return s
}

func latencyCriticalOf(r *runState) interference.LatencyCritical {
	rounding := 1 / float64(max(1, r.task.step.spec.LatencyTarget.Milliseconds()))
	return interference.LatencyCritical{
		Step: r.task.step.name, Image: r.task.step.spec.Image, Ratio: float64(r.loadMetric) * rounding, Rounding: rounding,
	}
}

// comparePaceOrder orders the best-effort runs of a worker by the value of their jobs
// for the work that is left, and then by age, the oldest first.
func (c *Core) comparePaceOrder(a, b *runState) int {
	return cmp.Or(cmp.Compare(c.valueRate(b.task.step), c.valueRate(a.task.step)), compareAge(a, b))
}

// compareAge orders runs by the acceptance of their jobs, and runs of one job
// by number.
func compareAge(a, b *runState) int {
	return cmp.Or(
		cmp.Compare(a.task.job().accepted, b.task.job().accepted),
		cmp.Compare(a.name.Job, b.name.Job),
		cmp.Compare(a.name.Step, b.name.Step),
		cmp.Compare(a.name.Index, b.name.Index),
		cmp.Compare(a.number, b.number),
	)
}

// bestEffortOf describes a best-effort task as it would run on the worker.
func (w *workerState) bestEffortOf(t *task) interference.BestEffort {
	spec := t.step.spec
	capacity := float64(max(1, w.description.Capacity.MilliCPU))
	return interference.BestEffort{Image: spec.Image, FullShare: float64(spec.Demand.MilliCPU) / capacity}
}

// expectedPace returns the pace that a best-effort task would get on a worker
// beside the tasks already there, and the least utilization budget that it
// would leave.
func (c *Core) expectedPace(t *task, w *workerState) (int, float64) {
	return c.interference.PlanOneMore(&c.sharing(w).plan, w.bestEffortOf(t))
}

// controlInterference sets the paces of best-effort tasks so that the
// latency-critical tasks beside them stay below their latency targets.
func (c *Core) controlInterference() {
	for _, w := range c.workers {
		if w.listed && c.now.Monotonic-w.control.pacesChangedAt >= controlInterval {
			c.controlWorker(w)
		}
	}
}

func (c *Core) controlWorker(w *workerState) {
	s := c.sharing(w)
	for i, r := range s.bestEffortRuns {
		c.setPace(w, r, s.plan.Paces[i])
	}
}

func (c *Core) setPace(w *workerState, r *runState, pace int) {
	if r.phase != runConfirmed || !(r.paceInDoubt || isWorthAnOrder(r.pace, pace)) {
		return
	}
	if pace >= minStartPace {
		r.slowSince = 0
	} else if r.slowSince == 0 {
		r.slowSince = c.now.Monotonic
	}
	if r.pace < minObservedPace && pace >= minObservedPace {
		r.observedFrom = c.now.Monotonic
	}
	if r.pace != pace {
		c.recordDecision(Decision{Kind: DecidedPaceSet, Task: r.name, Run: r.number, Host: w.host, Detail: strconv.Itoa(pace)})
	}
	r.pace, r.paceInDoubt = pace, false
	w.sharing = nil
	w.control.pacesChangedAt = c.now.Monotonic
	c.order(w, Order{Kind: OrderPace, Task: r.name, Run: r.number, Percent: pace})
}

// isWorthAnOrder reports whether the change of a pace is large enough, or leads to one of its
// bounds.
func isWorthAnOrder(old, pace int) bool {
	change := pace - old
	return change <= -minPaceChange || change >= minPaceChange || (change != 0 && (pace == 0 || pace == fullPace))
}

const (
	// maxSlowTime is how long a best-effort task may run below minStartPace
	// before it is moved.
	maxSlowTime = 1200 * time.Millisecond
	// minMovePace is the lowest expected pace on another worker that is worth a
	// move: stopping and resuming a task takes half a second.
	minMovePace = 90
)

// moveSlowRuns stops best-effort runs that have been slowed down for longer
// than maxSlowTime, that save their progress, and that another worker can run
// faster.
func (c *Core) moveSlowRuns() {
	var p *pass
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.slowSince == 0 || r.stopping || r.task == nil || !r.task.step.spec.SavesProgress {
				continue
			}
			if c.now.Monotonic-r.slowSince < maxSlowTime {
				c.wakeAt(r.slowSince + maxSlowTime)
				continue
			}
			if p == nil {
				p = c.newPass()
			}
			if !c.hasFasterPlace(p, r) {
				continue
			}
			if !c.mayMove(r) {
				c.withholdMove(r)
				continue
			}
			c.stop(r, "faster on another worker")
		}
	}
}

// hasFasterPlace reports whether another worker can run a best-effort task at
// minMovePace or faster. If so, it reserves the resources there.
func (c *Core) hasFasterPlace(p *pass, r *runState) bool {
	demand := r.task.step.spec.Reserved()
	for _, w := range p.workers {
		if w == r.worker || !c.isAllowed(r.task, w) || !demand.FitsIn(c.room(p, r.task, w)) {
			continue
		}
		if p.reservations[w] != (carobkeel.Resources{}) {
			continue // one move to a worker per pass, since each changes the worker's budget
		}
		if !c.sharing(w).load.hasProcessorsFor(r.task.step.spec.Demand.MilliCPU, w.description.Capacity.MilliCPU) {
			continue
		}
		if pace, _ := c.expectedPace(r.task, w); pace >= minMovePace {
			p.reservations[w] = demand
			return true
		}
	}
	return false
}

// learnedStoreInterval is the least time between two writes of the interference
// model to the store. The model converges within seconds.
const learnedStoreInterval = 2 * time.Second

// addLearned adds the interference model's records if they are due and the
// batch has other records. They are not worth a transaction of their own.
func (c *Core) addLearned(b *Batch, limit *BatchLimit) {
	if b.Len() == 0 || c.now.Monotonic-c.learnedStoredAt < learnedStoreInterval || !limit.take(learnedEntries, learnedBytes) {
		return
	}
	c.learnedStoredAt = c.now.Monotonic
	b.Interference = c.interference.Export()
}

// RestoreInterference loads the interference model that an earlier holder stored.
func (c *Core) RestoreInterference(records []interference.ImageRecord) {
	c.interference.Restore(records)
}
