package worker

import (
	"cmp"
	"math"
	"slices"

	"github.com/carobkeel/carobkeel"
)

// hostEffects holds the effects of one worker's batch tasks on its services. It
// is computed once for each version of the worker and each report, as placements
// read it far more often.
type hostEffects struct {
	version  uint64
	services []serviceEffect
	// tasks are the running batch tasks that may slow a service, in the order
	// in which they are assigned speed.
	tasks []taskEffect
	// partialSums[n] is the sum of the effects with the first n tasks at their
	// assigned speeds and the others at the minimum speed.
	partialSums []effectSum
}

// serviceEffect is the sum of the effects on one service, as the logarithm of
// its slowdown at full load.
type serviceEffect struct {
	service string
	// model is nil for a service without any report.
	model *serviceModel
	load  float64
	sum   float64
}

// taskEffect is the effect of one task, at full speed and the current load, on
// the service that it slows most.
type taskEffect struct {
	index  int
	effect Effect
	// effectPerCPU is the effect per thousandth of a core that the task reserves.
	effectPerCPU float64
	// speed is the speed assigned to the task.
	speed float64
}

// effects returns the effects of the worker's tasks, from the cache if the worker
// has not changed since.
func (c *Controller) effects(w *Worker) *hostEffects {
	host := c.host(w.ID)
	if host.effects == nil || host.effects.version != w.Version {
		host.effects = newHostEffects(c.model, w)
		c.assignSpeeds(host.effects)
	}
	return host.effects
}

func newHostEffects(p *InterferenceModel, w *Worker) *hostEffects {
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
		effect, _ := h.effectOfAdding(task.Entry)
		if isRunningBatch(task) && effect.Mean+effect.Deviation > 0 {
			h.tasks = append(h.tasks, taskEffect{index: i, effect: effect, effectPerCPU: effectPerCPU(effect, task.Reserved.MilliCPU)})
		}
	}
	slices.SortStableFunc(h.tasks, func(a, b taskEffect) int { return cmp.Compare(a.effectPerCPU, b.effectPerCPU) })
	return h
}

func (h *hostEffects) addService(p *InterferenceModel, service string) {
	for _, known := range h.services {
		if known.service == service {
			return
		}
	}
	h.services = append(h.services, serviceEffect{service: service, model: p.services[service], load: p.load(service)})
}

// effectOfAdding returns the effect of one task of the entry, at full speed and
// the current load, on the service of the worker that it slows most, and the
// slowdown of the most affected service if the task were added. The effect is
// zero if the worker has no service.
func (h *hostEffects) effectOfAdding(entry string) (effect Effect, slowdown float64) {
	worst := 0.0
	for _, s := range h.services {
		current := s.model.effect(entry)
		worst = max(worst, (s.sum+current.Mean)*s.load)
		current = Effect{current.Mean * s.load, current.Deviation * s.load}
		if current.Mean+current.Deviation > effect.Mean+effect.Deviation {
			effect = current
		}
	}
	return effect, math.Exp(worst)
}

func effectPerCPU(effect Effect, milliCPU int64) float64 {
	return (effect.Mean + effect.Deviation) / max(float64(milliCPU), 1)
}
