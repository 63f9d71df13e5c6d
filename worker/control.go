package worker

import (
	"math"
	"sort"
	"time"

	"github.com/carobkeel/carobkeel"
)

// ControlPolicy steers the Controller.
type ControlPolicy struct {
	// Limit is the slowdown of a service that batch tasks may cause together.
	Limit float64
	// Caution is the number of deviations by which an effect is taken to be
	// worse than its mean when speeds are given out.
	Caution float64
	// MinSpeed is the speed below which a task is not throttled.
	MinSpeed float64
	// StartSpeed is the least speed at which a task is started beside a service.
	StartSpeed float64
	// Step is the least change of a speed that is worth an action.
	Step float64
	// Patience is how long a task stays at MinSpeed before it is evicted.
	Patience time.Duration
	// EvictionGap is the least time between two evictions on one worker.
	EvictionGap time.Duration
}

// DefaultControlPolicy returns the policy for production.
func DefaultControlPolicy() ControlPolicy {
	return ControlPolicy{
		Limit: 1.12, Caution: 0.5, MinSpeed: 0.05, StartSpeed: 0.25, Step: 0.15,
		Patience: 5 * time.Minute, EvictionGap: 2 * time.Minute,
	}
}

// ActionKind says what is to be done with a task.
type ActionKind uint8

const (
	// ActionThrottle sets the task's throttle.
	ActionThrottle ActionKind = iota
	// ActionEvict evicts the task; it should be placed elsewhere.
	ActionEvict
)

// Action is one step of the control of interference.
type Action struct {
	Kind   ActionKind
	Worker ID
	Task   carobkeel.TaskID
	// Throttle is the percentage of its processors that is withheld from now
	// on. It is set for ActionThrottle.
	Throttle uint8
}

// Controller decides how fast batch tasks run beside services. It gives speed
// first to the tasks that slow the services least for the processors that they
// use, throttles the others, and evicts a task only when it has stood at the
// least speed for long. After an action it waits for a report whose whole
// window lies after the action, so that it never answers to what it has already
// mended. A Controller is used by one goroutine at a time.
type Controller struct {
	pairings *Pairings
	policy   ControlPolicy
	hosts    map[ID]*hostControl
}

// hostControl is the controller's memory of one worker.
type hostControl struct {
	// actedAt is the time of the last action.
	actedAt time.Time
	// evictedAt is the time of the last eviction.
	evictedAt time.Time
	// effects is what the worker's tasks do to its services, as far as known at
	// the last report.
	effects *hostEffects
	// slowSince tells since when a task has stood at the least speed.
	slowSince map[carobkeel.TaskID]time.Time
}

// NewController returns a Controller that uses the given pairings.
func NewController(pairings *Pairings, policy ControlPolicy) *Controller {
	return &Controller{pairings: pairings, policy: policy, hosts: map[ID]*hostControl{}}
}

// Forget drops what is known of a worker that left.
func (c *Controller) Forget(id ID) { delete(c.hosts, id) }

// Decide returns what is to be done on the worker, given the newest report of
// each service on it. The reports should have been observed by the pairings.
func (c *Controller) Decide(w *Worker, reports []ServiceReport, now time.Time) []Action {
	host := c.host(w.ID)
	host.effects = nil
	speeds := c.speeds(w)
	actions := c.throttle(w, speeds, host.fresh(reports))
	if evict, ok := c.evict(w, host, now); ok {
		actions = append(actions, evict)
		host.evictedAt = now
	}
	if len(actions) > 0 {
		host.actedAt = now
	}
	return actions
}

// StartThrottle returns the throttle that a batch task should start with on the
// worker: what is not known to be harmless starts slowly.
func (c *Controller) StartThrottle(r *Request, w *Worker) uint8 {
	host := c.effects(w)
	harm, _ := host.join(r.Entry)
	return throttleFor(c.startSpeed(host, harm, r.Demand.MilliCPU))
}

// Penalty implements Interference. It is that of the pairings, and infinite on a
// worker on which the task would start too slowly: it would hold its room and
// get nothing done.
func (c *Controller) Penalty(r *Request, w *Worker) float64 {
	if r.Class != carobkeel.ClassBatch {
		return c.pairings.Penalty(r, w)
	}
	host := c.effects(w)
	if len(host.services) == 0 {
		return c.pairings.quietPenalty(r.Entry)
	}
	harm, slowdown := host.join(r.Entry)
	if c.startSpeed(host, harm, r.Demand.MilliCPU) < c.policy.StartSpeed {
		return math.Inf(1)
	}
	return slowdown - 1
}

func (c *Controller) host(id ID) *hostControl {
	host := c.hosts[id]
	if host == nil {
		host = &hostControl{slowSince: map[carobkeel.TaskID]time.Time{}}
		c.hosts[id] = host
	}
	return host
}

const (
	// minEase is the change of a service's logarithm of the latency for which a
	// cut of speed smaller than a step is worth an action.
	minEase = 0.03
	// minHarm keeps the price of an eviction finite.
	minHarm = 1e-3
	// maxPatienceDoublings bounds how often a task's patience doubles.
	maxPatienceDoublings = 10
)

// fresh reports whether the whole window of any report lies after the last
// action.
func (h *hostControl) fresh(reports []ServiceReport) bool {
	for _, r := range reports {
		if !r.From.Before(h.actedAt) {
			return true
		}
	}
	return false
}

// speeds gives out speeds to the worker's batch tasks, by index of the task:
// the most processor time of batch work within the services' limit. Every task
// has the least speed; the rest goes to tasks in the order of their harm for
// the processors that they use.
func (c *Controller) speeds(w *Worker) []float64 {
	speeds := make([]float64, len(w.Tasks))
	for i := range speeds {
		speeds[i] = 1
	}
	for _, task := range c.effects(w).tasks {
		speeds[task.index] = task.speed
	}
	return speeds
}

// giveAll gives out the speeds of a worker's tasks, the cheapest first.
func (c *Controller) giveAll(host *hostEffects) {
	sum := c.leastSum(host.tasks)
	host.sums = append(make([]effectSum, 0, len(host.tasks)+1), sum)
	for i := range host.tasks {
		host.tasks[i].speed = c.give(&sum, host.tasks[i].harm)
		host.sums = append(host.sums, sum)
	}
}

// leastSum returns the sum of the effects with all tasks at the least speed.
func (c *Controller) leastSum(tasks []taskEffect) effectSum {
	sum := effectSum{caution: c.policy.Caution}
	for _, task := range tasks {
		sum.add(task.harm, c.policy.MinSpeed)
	}
	return sum
}

// give raises a task of the sum from the least speed as far as the limit allows
// and returns its speed.
func (c *Controller) give(sum *effectSum, harm Effect) float64 {
	sum.add(harm, -c.policy.MinSpeed)
	speed := max(c.policy.MinSpeed, sum.room(harm, math.Log(c.policy.Limit)))
	sum.add(harm, speed)
	return speed
}

// startSpeed returns the speed that a task of the given harm would be given
// beside the tasks that the worker has: what the cheaper ones leave.
func (c *Controller) startSpeed(host *hostEffects, harm Effect, milliCPU int64) float64 {
	if harm.Mean+harm.Deviation == 0 {
		return 1
	}
	price := priceOf(harm, milliCPU)
	cheaper := sort.Search(len(host.tasks), func(i int) bool { return host.tasks[i].price > price })
	sum := host.sums[cheaper]
	sum.add(harm, c.policy.MinSpeed)
	return c.give(&sum, harm)
}

// effectSum is the cautious sum of effects: their means and, as their errors
// are independent, the root of the sum of their variances.
type effectSum struct{ caution, mean, variance float64 }

func (s *effectSum) add(e Effect, speed float64) {
	s.mean += e.Mean * speed
	s.variance = max(0, s.variance+math.Copysign(e.Deviation*e.Deviation*speed*speed, speed))
}

func (s *effectSum) cautious(e Effect, speed float64) float64 {
	variance := s.variance + e.Deviation*e.Deviation*speed*speed
	return s.mean + e.Mean*speed + s.caution*math.Sqrt(variance)
}

// room returns the greatest speed, in steps, that keeps the sum within the
// limit, zero if none does. The sum grows with the speed, so it searches by
// halves.
func (s *effectSum) room(e Effect, limit float64) float64 {
	const steps = 20
	if s.cautious(e, 1) <= limit {
		return 1
	}
	fits, exceeds := 0, steps
	for exceeds-fits > 1 {
		middle := (fits + exceeds) / 2
		if s.cautious(e, float64(middle)/steps) <= limit {
			fits = middle
		} else {
			exceeds = middle
		}
	}
	return float64(fits) / steps
}

// throttle returns the changes of speed that are worth an action. Speed is
// raised only on a fresh report. It is cut only where the tasks at their speeds
// are expected to exceed the limit, not where that is merely possible: a holder
// that has yet to learn does not throttle a fleet that does well.
func (c *Controller) throttle(w *Worker, speeds []float64, fresh bool) []Action {
	var actions []Action
	exceeds := c.expected(w) > math.Log(c.policy.Limit)
	for i, task := range w.Tasks {
		if !isRunningBatch(task) {
			continue
		}
		change := speeds[i] - task.Speed()
		if change > 0 && !fresh || change < 0 && !exceeds {
			continue
		}
		harm, _ := c.effects(w).join(task.Entry)
		eases := -change*harm.Mean >= minEase
		if math.Abs(change) < c.policy.Step && !eases {
			continue
		}
		actions = append(actions, Action{Kind: ActionThrottle, Worker: w.ID, Task: task.ID, Throttle: throttleFor(speeds[i])})
	}
	return actions
}

// expected returns the sum of the effects of the worker's tasks at their speeds,
// without caution.
func (c *Controller) expected(w *Worker) float64 {
	sum := 0.0
	for _, task := range c.effects(w).tasks {
		sum += task.harm.Mean * w.Tasks[task.index].Speed()
	}
	return sum
}

func throttleFor(speed float64) uint8 { return uint8(math.Round(100 * (1 - speed))) }

// patience returns how long the task stays at the least speed before it is
// evicted. It doubles with each eviction, so that a task that is harmful
// everywhere does not go round the fleet.
func (c *Controller) patience(t *Task) time.Duration {
	return c.policy.Patience << min(t.Evictions, maxPatienceDoublings)
}

// evict returns the eviction of the slowest task that has run out of patience,
// the one with the least cost for its harm.
func (c *Controller) evict(w *Worker, h *hostControl, now time.Time) (Action, bool) {
	best, bestCost := -1, 0.0
	slow := map[carobkeel.TaskID]time.Time{}
	for i, task := range w.Tasks {
		if !isRunningBatch(task) || task.Speed() > 2*c.policy.MinSpeed {
			continue
		}
		since, ok := h.slowSince[task.ID]
		if !ok {
			since = now
		}
		slow[task.ID] = since
		if now.Sub(since) < c.patience(task) {
			continue
		}
		harm, _ := c.effects(w).join(task.Entry)
		cost := EvictionCost(task, now) / max(harm.Mean, minHarm)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	h.slowSince = slow
	if best < 0 || now.Sub(h.evictedAt) < c.policy.EvictionGap {
		return Action{}, false
	}
	return Action{Kind: ActionEvict, Worker: w.ID, Task: w.Tasks[best].ID}, true
}
