package worker

import (
	"math"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// serviceFreePenalty is the penalty of a batch task without effect on
	// services on a worker without services. It keeps such workers free for
	// batch tasks that slow services.
	serviceFreePenalty = 0.1
	// harmlessEffectLimit is the effect from which a batch task has no such
	// penalty.
	harmlessEffectLimit = 0.1
)

// Neighbour is a batch entry with tasks on the same worker as a service.
type Neighbour struct {
	Entry string
	// Activity is the sum of the speeds of the entry's tasks on the worker.
	Activity float64
}

// ServiceReport is a worker's report on one instance of a service. It arrives
// with a delay.
type ServiceReport struct {
	Worker  ID
	Service string
	// P99 is the 99th percentile of the latency within the window.
	P99 time.Duration
	// Load is the share of the instance's slots in use, 0 to 1.
	Load float64
	// From and To are the start and end of the measured window.
	From, To time.Time
	// Neighbours are the batch entries on the worker in the window.
	Neighbours []Neighbour
}

// InterferenceModel learns from reports which batch entries slow each service and
// by how much, with a serviceModel for each service. An InterferenceModel is not
// safe for concurrent use.
type InterferenceModel struct {
	services map[string]*serviceModel
	// worst is the largest effect of each batch entry on any service.
	worst map[string]worstEffect
}

// worstEffect is the service that a batch entry slows most.
type worstEffect struct {
	service string
	effect  float64
}

// Effect is the learned effect of one batch entry on a service: the logarithm
// of the slowdown that one task causes at full speed and full load.
type Effect struct{ Mean, Deviation float64 }

// NewInterferenceModel returns an InterferenceModel without any learned effects.
func NewInterferenceModel() *InterferenceModel {
	return &InterferenceModel{services: map[string]*serviceModel{}, worst: map[string]worstEffect{}}
}

// Observe updates the learned effects from a report. A report without a latency
// is ignored.
func (p *InterferenceModel) Observe(r ServiceReport) {
	if r.P99 <= 0 {
		return
	}
	m := p.services[r.Service]
	if m == nil {
		m = newServiceModel(math.Log(r.P99.Seconds()))
		p.services[r.Service] = m
	}
	m.observe(r)
	p.updateWorst(r)
}

// Effect returns the effect of a batch entry on a service.
func (p *InterferenceModel) Effect(service, entry string) Effect {
	return p.services[service].effect(entry)
}

// Slowdown returns the measured latency as a multiple of the expected latency
// without interference at the same load, 1 for a service without reports.
func (p *InterferenceModel) Slowdown(r ServiceReport) float64 {
	m := p.services[r.Service]
	if m == nil || r.P99 <= 0 {
		return 1
	}
	return math.Exp(math.Log(r.P99.Seconds()) - m.baseline(r.Load))
}

// Penalty implements Interference. It returns the expected slowdown, less 1, of
// the most affected service on the worker if the request's task ran there at full
// speed. On a worker without services, batch tasks with little effect on services
// have a penalty, so that these workers stay free for tasks that slow services.
func (p *InterferenceModel) Penalty(r *Request, w *Worker) float64 {
	worst, services := 0.0, 0
	if r.Class == carobkeel.ClassLatencyCritical {
		worst = p.expected(r.Entry, w, 0)
	}
	for _, task := range w.Tasks {
		if task.Class != carobkeel.ClassLatencyCritical {
			continue
		}
		services++
		joining := 0.0
		if r.Class == carobkeel.ClassBatch {
			joining = p.Effect(task.Entry, r.Entry).Mean
		}
		worst = max(worst, p.expected(task.Entry, w, joining))
	}
	if services == 0 && r.Class == carobkeel.ClassBatch {
		return p.serviceFreePenalty(r.Entry)
	}
	return worst
}

// serviceFreePenalty returns the penalty of a batch entry on a worker without
// services.
func (p *InterferenceModel) serviceFreePenalty(entry string) float64 {
	return serviceFreePenalty * max(0, 1-p.largestEffect(entry)/harmlessEffectLimit)
}

// largestEffect returns the largest learned effect of the batch entry on any
// service.
func (p *InterferenceModel) largestEffect(entry string) float64 { return p.worst[entry].effect }

// updateWorst updates the largest effect of each entry of a report. It follows the
// estimate for the most affected service, also downwards; another service takes
// its place once a report of that service shows a larger effect.
func (p *InterferenceModel) updateWorst(r ServiceReport) {
	for _, n := range r.Neighbours {
		effect, known := p.Effect(r.Service, n.Entry).Mean, p.worst[n.Entry]
		if known.service == r.Service || effect > known.effect {
			p.worst[n.Entry] = worstEffect{r.Service, effect}
		}
	}
}

// expected returns the expected slowdown, less 1, of a service on the worker with
// the effect of one joining task added.
func (p *InterferenceModel) expected(service string, w *Worker, joining float64) float64 {
	sum := joining
	for _, task := range w.Tasks {
		if task.Class == carobkeel.ClassBatch {
			sum += p.Effect(service, task.Entry).Mean * task.Speed()
		}
	}
	return math.Exp(sum*p.load(service)) - 1
}

// load returns the load of the service in its last report, 1 if there is none.
func (p *InterferenceModel) load(service string) float64 {
	if m := p.services[service]; m != nil {
		return m.load
	}
	return 1
}
