package worker

import (
	"math"
	"sort"
	"time"

	"github.com/carobkeel/carobkeel"
)

// ControlPolicy configures the Controller. A speed is the share of its reserved
// processors that a task may use, 0 to 1.
type ControlPolicy struct {
	// MaxSlowdown is the largest slowdown factor of a service that the batch tasks
	// on its worker may cause together.
	MaxSlowdown float64
	// DeviationFactor is the number of standard deviations that is added to the mean
	// of the summed effects when speeds are assigned.
	DeviationFactor float64
	// MinSpeed is the lowest speed to which a task is throttled.
	MinSpeed float64
	// StartSpeed is the lowest speed at which a task is started on a worker
	// that runs a service.
	StartSpeed float64
	// MinChange is the smallest change of a speed that is applied. A smaller cut is
	// applied only where it lowers a service's latency noticeably.
	MinChange float64
	// EvictionDelay is how long a task stays close to MinSpeed before it is
	// evicted. It doubles with each earlier eviction of the task.
	EvictionDelay time.Duration
	// EvictionGap is the minimum time between two evictions on one worker.
	EvictionGap time.Duration
}

// DefaultControlPolicy returns the policy used in production.
func DefaultControlPolicy() ControlPolicy {
	return ControlPolicy{
		MaxSlowdown: 1.12, DeviationFactor: 0.5, MinSpeed: 0.05, StartSpeed: 0.25, MinChange: 0.15,
		EvictionDelay: 5 * time.Minute, EvictionGap: 2 * time.Minute,
	}
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionThrottle changes the task's throttle.
	ActionThrottle ActionKind = iota
	// ActionEvict evicts the task, to be placed on another worker.
	ActionEvict
)

// Action is a change that the Controller makes to one task.
type Action struct {
	Kind   ActionKind
	Worker ID
	Task   carobkeel.TaskID
	// Throttle is the new percentage of the task's processors that is
	// withheld. It is set for ActionThrottle only.
	Throttle uint8
}

// Controller decides how fast batch tasks run on workers that also run services.
// It assigns speed first to the tasks that slow the services least for the
// processors that they use, throttles the others, and evicts a task only after
// it has been at the minimum speed for the policy's EvictionDelay. After an action it
// raises speeds only on a report whose window began after the action, so that it
// does not react to measurements from before the action. A Controller is not
// safe for concurrent use.
type Controller struct {
	model  *InterferenceModel
	policy ControlPolicy
	hosts  map[ID]*hostControl
}

// hostControl is the controller's state for one worker.
type hostControl struct {
	// actedAt is the time of the last action.
	actedAt time.Time
	// evictedAt is the time of the last eviction.
	evictedAt time.Time
	// effects caches the effects of the worker's tasks on its services. Decide
	// resets it on each report.
	effects *hostEffects
	// minSpeedSince is the time since which a task has been close to the minimum
	// speed.
	minSpeedSince map[carobkeel.TaskID]time.Time
}

// NewController returns a Controller that uses the given interference model.
func NewController(model *InterferenceModel, policy ControlPolicy) *Controller {
	return &Controller{model: model, policy: policy, hosts: map[ID]*hostControl{}}
}

// Forget drops the state of a worker that left the fleet.
func (c *Controller) Forget(id ID) { delete(c.hosts, id) }

// Decide returns the actions for the worker, given the newest report of each
// service on it. The caller passes the reports to InterferenceModel.Observe first.
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
// worker. A task whose effect on services is not known to be small starts
// slowly.
func (c *Controller) StartThrottle(r *Request, w *Worker) uint8 {
	host := c.effects(w)
	effect, _ := host.effectOfAdding(r.Entry)
	return throttleFor(c.startSpeed(host, effect, r.Demand.MilliCPU))
}

// Penalty implements Interference. It is the penalty of the interference model, but
// infinite on a worker on which the task would start below StartSpeed: the task
// would hold its reservation and make little progress.
func (c *Controller) Penalty(r *Request, w *Worker) float64 {
	if r.Class != carobkeel.ClassBatch {
		return c.model.Penalty(r, w)
	}
	host := c.effects(w)
	if len(host.services) == 0 {
		return c.model.serviceFreePenalty(r.Entry)
	}
	effect, slowdown := host.effectOfAdding(r.Entry)
	if c.startSpeed(host, effect, r.Demand.MilliCPU) < c.policy.StartSpeed {
		return math.Inf(1)
	}
	return slowdown - 1
}

func (c *Controller) host(id ID) *hostControl {
	host := c.hosts[id]
	if host == nil {
		host = &hostControl{minSpeedSince: map[carobkeel.TaskID]time.Time{}}
		c.hosts[id] = host
	}
	return host
}

const (
	// minLatencyReduction is the reduction of a service's log latency for which
	// a speed cut smaller than ControlPolicy.MinChange is applied.
	minLatencyReduction = 0.03
	// minEffect bounds the effect from below, as the eviction cost is divided
	// by it.
	minEffect = 1e-3
	// maxDelayDoublings bounds how often the time before an eviction
	// doubles.
	maxDelayDoublings = 10
)

// fresh reports whether the window of any report began at or after the last
// action.
func (h *hostControl) fresh(reports []ServiceReport) bool {
	for _, r := range reports {
		if !r.From.Before(h.actedAt) {
			return true
		}
	}
	return false
}

// speeds returns the speed of each of the worker's tasks, by index. The speeds
// of batch tasks are chosen for the most batch processor time within the
// services' limit: every batch task has the minimum speed, and what the limit
// still allows goes to the tasks with the smallest effect per processor first.
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

// assignSpeeds assigns speeds to the worker's tasks in order of effect per
// processor, the smallest first.
func (c *Controller) assignSpeeds(host *hostEffects) {
	sum := c.minSpeedSum(host.tasks)
	host.partialSums = append(make([]effectSum, 0, len(host.tasks)+1), sum)
	for i := range host.tasks {
		host.tasks[i].speed = c.assignSpeed(&sum, host.tasks[i].effect)
		host.partialSums = append(host.partialSums, sum)
	}
}

// minSpeedSum returns the sum of the effects with all tasks at the minimum
// speed.
func (c *Controller) minSpeedSum(tasks []taskEffect) effectSum {
	sum := effectSum{caution: c.policy.DeviationFactor}
	for _, task := range tasks {
		sum.add(task.effect, c.policy.MinSpeed)
	}
	return sum
}

// assignSpeed raises a task that is in the sum at the minimum speed as far as
// the limit allows, and returns its speed.
func (c *Controller) assignSpeed(sum *effectSum, effect Effect) float64 {
	sum.add(effect, -c.policy.MinSpeed)
	speed := max(c.policy.MinSpeed, sum.maxSpeed(effect, math.Log(c.policy.MaxSlowdown)))
	sum.add(effect, speed)
	return speed
}

// startSpeed returns the speed that a new task with the given effect would be
// assigned on the worker, after the tasks with a smaller effect per processor.
func (c *Controller) startSpeed(host *hostEffects, effect Effect, milliCPU int64) float64 {
	if effect.Mean+effect.Deviation == 0 {
		return 1
	}
	price := effectPerCPU(effect, milliCPU)
	cheaper := sort.Search(len(host.tasks), func(i int) bool { return host.tasks[i].effectPerCPU > price })
	sum := host.partialSums[cheaper]
	sum.add(effect, c.policy.MinSpeed)
	return c.assignSpeed(&sum, effect)
}

// effectSum is a conservative sum of effects: the sum of their means plus caution
// times the standard deviation of the sum. The errors are independent, so the
// variances add up.
type effectSum struct{ caution, mean, variance float64 }

func (s *effectSum) add(e Effect, speed float64) {
	s.mean += e.Mean * speed
	s.variance = max(0, s.variance+math.Copysign(e.Deviation*e.Deviation*speed*speed, speed))
}

func (s *effectSum) cautious(e Effect, speed float64) float64 {
	variance := s.variance + e.Deviation*e.Deviation*speed*speed
	return s.mean + e.Mean*speed + s.caution*math.Sqrt(variance)
}

// maxSpeed returns the highest speed, in steps of 1/20, that keeps the sum
// within the limit, zero if none does. The sum grows with the speed, so a
// binary search finds it.
func (s *effectSum) maxSpeed(e Effect, limit float64) float64 {
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

// throttle returns the changes of speed that are large enough to apply. Speed is
// raised only on a fresh report. It is cut only where the expected effects at
// the current speeds exceed the limit, without the caution margin. Otherwise a
// new holder, which has learned nothing yet, would throttle a fleet that has no
// interference problem.
func (c *Controller) throttle(w *Worker, speeds []float64, fresh bool) []Action {
	var actions []Action
	exceeds := c.expected(w) > math.Log(c.policy.MaxSlowdown)
	for i, task := range w.Tasks {
		if !isRunningBatch(task) {
			continue
		}
		change := speeds[i] - task.Speed()
		if change > 0 && !fresh || change < 0 && !exceeds {
			continue
		}
		effect, _ := c.effects(w).effectOfAdding(task.Entry)
		lowersLatency := -change*effect.Mean >= minLatencyReduction
		if math.Abs(change) < c.policy.MinChange && !lowersLatency {
			continue
		}
		actions = append(actions, Action{Kind: ActionThrottle, Worker: w.ID, Task: task.ID, Throttle: throttleFor(speeds[i])})
	}
	return actions
}

// expected returns the sum of the mean effects of the worker's tasks at their
// current speeds, without the caution margin.
func (c *Controller) expected(w *Worker) float64 {
	sum := 0.0
	for _, task := range c.effects(w).tasks {
		sum += task.effect.Mean * w.Tasks[task.index].Speed()
	}
	return sum
}

func throttleFor(speed float64) uint8 { return uint8(math.Round(100 * (1 - speed))) }

// evictionDelay returns how long the task stays at the minimum speed before it is
// evicted. It doubles with each eviction, so that a task that slows services on
// every worker is not moved through the entire fleet.
func (c *Controller) evictionDelay(t *Task) time.Duration {
	return c.policy.EvictionDelay << min(t.Evictions, maxDelayDoublings)
}

// evict returns the eviction of one task that has been at the minimum speed for
// too long: the one with the lowest eviction cost relative to its effect.
func (c *Controller) evict(w *Worker, h *hostControl, now time.Time) (Action, bool) {
	best, bestCost := -1, 0.0
	minSpeedSince := map[carobkeel.TaskID]time.Time{}
	for i, task := range w.Tasks {
		if !isRunningBatch(task) || task.Speed() > 2*c.policy.MinSpeed {
			continue
		}
		since, ok := h.minSpeedSince[task.ID]
		if !ok {
			since = now
		}
		minSpeedSince[task.ID] = since
		if now.Sub(since) < c.evictionDelay(task) {
			continue
		}
		effect, _ := c.effects(w).effectOfAdding(task.Entry)
		cost := EvictionCost(task, now) / max(effect.Mean, minEffect)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	h.minSpeedSince = minSpeedSince
	if best < 0 || now.Sub(h.evictedAt) < c.policy.EvictionGap {
		return Action{}, false
	}
	return Action{Kind: ActionEvict, Worker: w.ID, Task: w.Tasks[best].ID}, true
}
