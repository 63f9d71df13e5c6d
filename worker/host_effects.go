package worker

import (
	"cmp"
	"math"
	"slices"

	"github.com/carobkeel/carobkeel"
)

// hostEffects is what the batch tasks of one worker do to its services. It is
// worked out once for each version of the worker and each report, as placements
// ask for it far more often.
type hostEffects struct {
	version  uint64
	services []serviceEffect
	// tasks are the running batch tasks that may harm a service, in the order
	// in which they are given speed.
	tasks []taskEffect
	// sums holds, for each number of tasks that were given speed, the sum with
	// the others at the least speed.
	sums []effectSum
}

// serviceEffect is the sum of what slows one service.
type serviceEffect struct {
	service string
	// model is nil where the service has sent no report.
	model *serviceModel
	load  float64
	sum   float64
}

// taskEffect is the effect of one task, at full speed and the load of now, on
// the service that it slows most.
type taskEffect struct {
	index int
	harm  Effect
	// price is the harm for the processors that the task uses.
	price float64
	// speed is what the task is given.
	speed float64
}

// effects returns the effects on the worker.
func (c *Controller) effects(w *Worker) *hostEffects {
	host := c.host(w.ID)
	if host.effects == nil || host.effects.version != w.Version {
		host.effects = newHostEffects(c.pairings, w)
		c.giveAll(host.effects)
	}
	return host.effects
}

func newHostEffects(p *Pairings, w *Worker) *hostEffects {
	h := &hostEffects{version: w.Version}
	for _, task := range w.Tasks {
		if task.Class == carobkeel.ClassLatencyCritical && task.Phase == PhaseRunning {
			h.addService(p, task.Entry)
		}
	}
	if len(h.services) == 0 {
		return h
	}
	for i, task := range w.Tasks {
		if task.Class != carobkeel.ClassBatch || task.Phase == PhaseClaimed {
			continue
		}
		for j := range h.services {
			h.services[j].sum += h.services[j].model.effect(task.Entry).Mean * task.Speed()
		}
		harm, _ := h.join(task.Entry)
		if isRunningBatch(task) && harm.Mean+harm.Deviation > 0 {
			h.tasks = append(h.tasks, taskEffect{index: i, harm: harm, price: priceOf(harm, task.Reserved.MilliCPU)})
		}
	}
	slices.SortStableFunc(h.tasks, func(a, b taskEffect) int { return cmp.Compare(a.price, b.price) })
	return h
}

func (h *hostEffects) addService(p *Pairings, service string) {
	for _, known := range h.services {
		if known.service == service {
			return
		}
	}
	h.services = append(h.services, serviceEffect{service: service, model: p.services[service], load: p.load(service)})
}

// join returns the effect of one task of the entry, at full speed and the load
// of now, on the service of the worker that it slows most, and the slowdown of
// the worst service if it joined. The effect is zero where there is no service.
func (h *hostEffects) join(entry string) (harm Effect, slowdown float64) {
	worst := 0.0
	for _, s := range h.services {
		effect := s.model.effect(entry)
		worst = max(worst, (s.sum+effect.Mean)*s.load)
		effect = Effect{effect.Mean * s.load, effect.Deviation * s.load}
		if effect.Mean+effect.Deviation > harm.Mean+harm.Deviation {
			harm = effect
		}
	}
	return harm, math.Exp(worst)
}

func priceOf(harm Effect, milliCPU int64) float64 {
	return (harm.Mean + harm.Deviation) / max(float64(milliCPU), 1)
}
