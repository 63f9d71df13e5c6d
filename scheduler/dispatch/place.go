package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// pass is one round of placement. It holds the resources that the round has
// reserved for more urgent tasks.
type pass struct {
	// workers are the workers that accept tasks, quarantined those that would if
	// they were not quarantined.
	workers, quarantined []*workerState
	// reservations holds the resources of each worker that are reserved for
	// more urgent tasks.
	reservations map[*workerState]carobkeel.Resources
	// plans are those of gangs that wait, by worker, and utilization the shares of the services'
	// processors in use.
	plans       map[*workerState]*gangPlan
	utilization map[carobkeel.Service]float64
	// preemptible caches, for each worker, the runs that tasks of the highest
	// priority may preempt.
	preemptible map[*workerState]*preemptibleRuns
	// forecasts are those of racks that tasks may wait for.
	forecasts map[string]*rackForecast
	// lastNearWait is the step of the last task that waits for near room and has failed nowhere, nil
	// if a task has started since.
	lastNearWait *stepState
	// starts counts the starts that were ordered.
	starts int
	// copies is nil until the round counts them, once, after its tasks have started.
	copies *copyCount
}

// maxStartsPerPass bounds the starts of a round, so that events wait for no longer round than that. The
// rest is started in the next round, which follows at once.
const maxStartsPerPass = 256

// isFull reports whether a round has ordered as many starts as it may. The next one follows at once.
func (c *Core) isFull(p *pass) bool {
	if p.starts < maxStartsPerPass {
		return false
	}
	c.wakeAt(c.now.Monotonic)
	return true
}

func (c *Core) newPass() *pass {
	p := newEmptyPass()
	p.workers, p.quarantined = c.usableWorkers()
	return p
}

// newEmptyPass returns a round without workers.
func newEmptyPass() *pass {
	return &pass{
		reservations: make(map[*workerState]carobkeel.Resources),
		plans:        make(map[*workerState]*gangPlan),
		utilization:  make(map[carobkeel.Service]float64),
		preemptible:  make(map[*workerState]*preemptibleRuns),
		forecasts:    make(map[string]*rackForecast),
	}
}

// schedule starts all tasks that can start, the most urgent first.
func (c *Core) schedule() {
	c.stopOnDrainingWorkers()
	steps := c.waitingSteps()
	c.reportHeldBack()
	if len(steps) == 0 && !c.hasSpeculationCandidate() {
		c.measureOverload(nil)
		return
	}
	p := c.newPass()
	c.askAdvice(p, steps)
	for _, s := range steps {
		if c.isFull(p) {
			break
		}
		if s.spec.Gang {
			c.placeGang(p, s)
			continue
		}
		c.placeStep(p, s)
	}
	c.measureOverload(steps)
	c.startSpeculativeRuns(p)
	c.reportWaiting(p, steps)
}

// usableWorkers returns the workers that accept tasks, and those that are
// quarantined, both ordered by host.
func (c *Core) usableWorkers() (usable, quarantined []*workerState) {
	for _, w := range c.workers {
		wasUsable := w.usable
		w.usable = false
		switch {
		case !c.acceptsTasks(w):
		case c.isQuarantined(w):
			quarantined = append(quarantined, w)
		default:
			w.usable = true
			usable = append(usable, w)
		}
		if w.usable && !wasUsable {
			c.markChanged(w)
		}
	}
	slices.SortFunc(usable, compareHosts)
	slices.SortFunc(quarantined, compareHosts)
	return usable, quarantined
}

func compareHosts(a, b *workerState) int { return cmp.Compare(a.host, b.host) }

// acceptsTasks reports whether a worker accepts tasks, quarantined or not.
func (c *Core) acceptsTasks(w *workerState) bool {
	return w.reachable && w.listed && w.recorded && !w.description.Draining &&
		c.now.Monotonic < w.leaseExpiry && c.now.Monotonic >= w.health.refusals.backoffUntil
}

// waitingSteps returns the steps that have tasks to start, the most urgent one
// first. It removes jobs that have ended from the active ones.
func (c *Core) waitingSteps() []*stepState {
	var steps []*stepState
	c.active = slices.DeleteFunc(c.active, c.isFinal)
	for _, j := range c.active {
		steps = c.appendWaiting(steps, j)
	}
	slices.SortStableFunc(steps, c.compareUrgency)
	return steps
}

func (c *Core) appendWaiting(steps []*stepState, j *job) []*stepState {
	c.updateOccurrences(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.done < s.tasks.count && c.hasStartable(s) && c.isReady(s) {
				s.starved = s.spec.LongRunning && c.isStarved(c.nextStartable(s, nil))
				s.valueRate = c.valueRate(s)
				steps = append(steps, s)
			}
		}
	}
	return steps
}

// hasStartable reports whether tasks of the step can start. All members of a gang
// start at once.
func (c *Core) hasStartable(s *stepState) bool {
	if !s.spec.Gang {
		return c.nextStartable(s, nil) != nil
	}
	if s.tasks.untouched > 0 && c.holdsBackUntouched(s) {
		return false
	}
	return s.tasks.waiting() > 0 && !slices.ContainsFunc(s.tasks.known, c.isHeldBack)
}

// nextStartable returns the task that can start and follows another one in the order of
// their waits, the longest first, and nil after the last. After nil it returns
// the first.
func (c *Core) nextStartable(s *stepState, after *task) *task {
	t := s.tasks.nextQueued(after)
	for t != nil && !c.canStart(t) {
		t = s.tasks.nextQueued(t)
	}
	index := -1
	if !c.holdsBackUntouched(s) {
		index = s.tasks.nextUntouched(after)
	}
	if index < 0 || (t != nil && compareWait(t, s.tasks.peek(index)) < 0) {
		return t
	}
	return s.tasks.get(index)
}

// placeStep starts the waiting tasks of a step on workers that have room.
func (c *Core) placeStep(p *pass, s *stepState) {
	for t := c.nextStartable(s, nil); t != nil && !c.isFull(p); t = c.nextStartable(s, t) {
		if c.waitsLikeLast(p, t) {
			continue
		}
		w := c.selectWorker(p, t)
		if w == nil && c.mayUseQuarantined(p, t) {
			w = c.selectWorkerAmong(p, p.quarantined, t, anyWorker)
		}
		if w != nil {
			if w = c.preferNear(p, t, w); w != nil {
				c.startPlanned(p, t, w)
			}
			continue
		}
		if !c.makeRoom(p, t) && len(t.avoidedHosts) == 0 {
			return // the other tasks of the step have the same demand and have not waited longer
		}
	}
}

// selectWorker returns the best worker for a task, nil if none has room. It
// considers only workers that have changed since no worker had room for a task
// of the step.
func (c *Core) selectWorker(p *pass, t *task) *workerState {
	unchangedUpTo := t.step.noRoomAt
	avoidsHosts := len(t.avoidedHosts) > 0
	if avoidsHosts || (t.step.spec.BestEffort && c.isStarved(t)) {
		unchangedUpTo = 0
	}
	best := c.selectWorkerAmong(p, p.workers, t, func(w *workerState) bool { return w.lastChange > unchangedUpTo })
	if best == nil && len(p.reservations)+len(p.plans) == 0 && !avoidsHosts {
		t.step.noRoomAt = c.workerChanges
	}
	return best
}

func anyWorker(*workerState) bool { return true }

// selectWorkerAmong returns the best worker for a task among the eligible ones,
// nil if none of them has room.
func (c *Core) selectWorkerAmong(p *pass, workers []*workerState, t *task, eligible func(*workerState) bool) *workerState {
	var best *workerState
	var bestScore float64
	for _, w := range workers {
		if !eligible(w) || !c.isAllowed(t, w) || c.waitsForSlowStart(t, w) || !t.step.spec.Reserved().FitsIn(c.room(p, t, w)) {
			continue
		}
		if t.step.spec.BestEffort && !c.canStartBestEffort(t, w) {
			continue
		}
		if score := c.score(t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// MaxRunsPerWorker bounds the runs of a worker, so that a listing of them and of 500 ends
// fits in one message.
const MaxRunsPerWorker = 800

// isAllowed reports whether a task may run on a worker, regardless of the
// worker's free resources.
func (c *Core) isAllowed(t *task, w *workerState) bool {
	s := t.step
	if len(w.runs) >= MaxRunsPerWorker || !c.meetsRequirements(s, w) || c.avoids(t, w) {
		return false
	}
	if _, allowed := c.ticketFor(s, w); !allowed {
		return false
	}
	return s.spec.MaxPerWorker <= 0 || w.countRuns(s) < s.spec.MaxPerWorker
}

// meetsRequirements reports whether a worker belongs to the service and has the
// label that a step requires.
func (c *Core) meetsRequirements(s *stepState, w *workerState) bool {
	if w.description.Service != c.queueOf(s.occurrence.job).Service {
		return false
	}
	return s.spec.RequiredLabel == "" || w.description.HasLabel(s.spec.RequiredLabel)
}

// countRuns returns how many runs of a step hold resources on the worker.
func (w *workerState) countRuns(s *stepState) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	return n
}

// canStartBestEffort reports whether a best-effort task would get the
// processors that it demands on a worker, and could use them without harm to
// latency-critical tasks. A starved task may always start.
func (c *Core) canStartBestEffort(t *task, w *workerState) bool {
	if c.isStarved(t) {
		return true
	}
	l := c.sharing(w).load
	if !l.hasProcessorsFor(t.step.spec.Demand.MilliCPU, w.description.Capacity.MilliCPU) {
		return false
	}
	if l.latencyCritical == 0 {
		return true
	}
	pace, _ := c.expectedPace(t, w)
	return pace >= minStartPace
}

// starvationLimit is how long a job may have no expected run, or a long-running task no
// run of its own, before a less suitable worker is used. The platform requires a
// start within 3 s where resources are free.
const starvationLimit = 1500 * time.Millisecond

// isStarved reports whether the task has waited for at least starvationLimit
// while its job has no expected run, or whatever its job runs if it is long-running.
func (c *Core) isStarved(t *task) bool {
	since := t.waitsSince()
	if c.now.Monotonic-since < starvationLimit {
		c.wakeAt(since + starvationLimit)
		return false
	}
	return t.step.spec.LongRunning || !t.job().hasExpectedRun()
}

// stopOnDrainingWorkers stops long-running tasks on workers that shut down
// soon, so that they start elsewhere before that.
func (c *Core) stopOnDrainingWorkers() {
	for _, w := range c.workers {
		if !w.description.Draining || !w.listed {
			continue
		}
		for _, r := range w.runs {
			if r.task != nil && r.task.step.spec.LongRunning {
				c.stop(r, "worker draining")
			}
		}
	}
}
