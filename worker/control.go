package worker

import (
	"cmp"
	"math"
	"slices"
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
		Limit: 1.12, Caution: 0.5, MinSpeed: 0.05, Step: 0.15,
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
	speeds := c.speeds(w)
	actions := c.throttle(w, speeds, host.fresh(reports))
	if evict, ok := c.evict(w, host, speeds, now); ok {
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
	joined := *w
	joined.Tasks = append(w.Tasks[:len(w.Tasks):len(w.Tasks)], r.task(PhaseRunning, time.Time{}))
	return throttleFor(c.speeds(&joined)[len(w.Tasks)])
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

// candidate is a batch task that speed is given to.
type candidate struct {
	index int
	harm  Effect
	price float64
}

// speeds gives out speeds to the worker's batch tasks, by index of the task:
// the most processor time of batch work within the services' limit. Every task
// has the least speed; the rest goes to tasks in the order of their harm for
// the processors that they use.
func (c *Controller) speeds(w *Worker) []float64 {
	speeds := make([]float64, len(w.Tasks))
	var candidates []candidate
	sum := effectSum{caution: c.policy.Caution}
	for i, task := range w.Tasks {
		speeds[i] = 1
		harm := c.harm(w, task.Entry)
		if !isRunningBatch(task) || harm.Mean+harm.Deviation == 0 {
			continue
		}
		speeds[i] = c.policy.MinSpeed
		sum.add(harm, speeds[i])
		price := (harm.Mean + harm.Deviation) / max(float64(task.Reserved.MilliCPU), 1)
		candidates = append(candidates, candidate{i, harm, price})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.price, b.price) })
	limit := math.Log(c.policy.Limit)
	for _, k := range candidates {
		sum.add(k.harm, -c.policy.MinSpeed)
		speeds[k.index] = max(c.policy.MinSpeed, sum.room(k.harm, limit))
		sum.add(k.harm, speeds[k.index])
	}
	return speeds
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
// limit, zero if none does.
func (s *effectSum) room(e Effect, limit float64) float64 {
	const steps = 20
	for step := steps; step > 0; step-- {
		if speed := float64(step) / steps; s.cautious(e, speed) <= limit {
			return speed
		}
	}
	return 0
}

// harm returns the effect of one task of the entry, at full speed and the load
// of now, on the service of the worker that it slows most, zero where there is
// no service.
func (c *Controller) harm(w *Worker, entry string) Effect {
	var worst Effect
	for _, task := range w.Tasks {
		if task.Class != carobkeel.ClassLatencyCritical || task.Phase != PhaseRunning {
			continue
		}
		effect, load := c.pairings.Effect(task.Entry, entry), c.pairings.load(task.Entry)
		if effect.Mean+effect.Deviation > 0 && (effect.Mean+effect.Deviation)*load > worst.Mean+worst.Deviation {
			worst = Effect{effect.Mean * load, effect.Deviation * load}
		}
	}
	return worst
}

// throttle returns the changes of speed that are worth an action. Speed is
// raised only on a fresh report; it is cut at any time, as the model may have
// learned from other workers.
func (c *Controller) throttle(w *Worker, speeds []float64, fresh bool) []Action {
	var actions []Action
	for i, task := range w.Tasks {
		if !isRunningBatch(task) {
			continue
		}
		change := speeds[i] - task.Speed()
		eases := -change*c.harm(w, task.Entry).Mean >= minEase
		if (math.Abs(change) < c.policy.Step && !eases) || (change > 0 && !fresh) {
			continue
		}
		actions = append(actions, Action{Kind: ActionThrottle, Worker: w.ID, Task: task.ID, Throttle: throttleFor(speeds[i])})
	}
	return actions
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
func (c *Controller) evict(w *Worker, h *hostControl, speeds []float64, now time.Time) (Action, bool) {
	best, bestCost := -1, 0.0
	slow := map[carobkeel.TaskID]time.Time{}
	for i, task := range w.Tasks {
		if !isRunningBatch(task) || speeds[i] > 2*c.policy.MinSpeed {
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
		cost := EvictionCost(task, now) / max(c.harm(w, task.Entry).Mean, minHarm)
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
