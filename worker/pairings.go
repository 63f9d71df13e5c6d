package worker

import (
	"math"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// quietPenalty is the penalty of a harmless batch task on a worker without
	// services.
	quietPenalty = 0.1
	// quietHarm is the effect from which a batch task has no such penalty.
	quietHarm = 0.1
)

// Neighbour is a batch entry that shares a worker with a service.
type Neighbour struct {
	Entry string
	// Activity is the sum of the speeds of the entry's tasks on the worker.
	Activity float64
}

// ServiceReport is a worker's lagging report on one instance of a service.
type ServiceReport struct {
	Worker  ID
	Service string
	// P99 is the 99th percentile of the latency in the report's window.
	P99 time.Duration
	// Load is the part of the instance's slots in use, 0 to 1.
	Load float64
	// From and To are the window that was measured.
	From, To time.Time
	// Neighbours are the batch entries on the worker in the window.
	Neighbours []Neighbour
}

// Pairings learns, for each service, which batch entries slow it and by how
// much, from lagging reports; serviceModel says how. A Pairings is used by one
// goroutine at a time.
type Pairings struct {
	services map[string]*serviceModel
	// worst is the largest effect by batch entry.
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

// NewPairings returns a Pairings that knows nothing.
func NewPairings() *Pairings {
	return &Pairings{services: map[string]*serviceModel{}, worst: map[string]worstEffect{}}
}

// Observe takes in a report.
func (p *Pairings) Observe(r ServiceReport) {
	if r.P99 <= 0 {
		return
	}
	m := p.services[r.Service]
	if m == nil {
		m = newServiceModel(math.Log(r.P99.Seconds()))
		p.services[r.Service] = m
	}
	m.observe(r)
	p.noteWorst(r)
}

// Effect returns the effect of a batch entry on a service.
func (p *Pairings) Effect(service, entry string) Effect {
	return p.services[service].effect(entry)
}

// Slowdown returns the measured latency as a multiple of the one without
// interference at the same load, 1 where nothing is known.
func (p *Pairings) Slowdown(r ServiceReport) float64 {
	m := p.services[r.Service]
	if m == nil || r.P99 <= 0 {
		return 1
	}
	return math.Exp(math.Log(r.P99.Seconds()) - m.alone(r.Load))
}

// Penalty implements Interference: the slowdown that is expected on the worker
// if the request's task joined it at full speed. A worker without services is
// kept for batch tasks that harm services.
func (p *Pairings) Penalty(r *Request, w *Worker) float64 {
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
		return p.quietPenalty(r.Entry)
	}
	return worst
}

// quietPenalty returns the penalty of a batch entry on a worker without services.
func (p *Pairings) quietPenalty(entry string) float64 {
	return quietPenalty * max(0, 1-p.mostHarm(entry)/quietHarm)
}

// mostHarm returns the largest effect that is known of the batch entry.
func (p *Pairings) mostHarm(entry string) float64 { return p.worst[entry].effect }

// noteWorst keeps the largest effect of each entry of a report up to date. It
// follows the service that was hurt most; where that one recovers, another takes
// its place with its next report.
func (p *Pairings) noteWorst(r ServiceReport) {
	for _, n := range r.Neighbours {
		effect, known := p.Effect(r.Service, n.Entry).Mean, p.worst[n.Entry]
		if known.service == r.Service || effect > known.effect {
			p.worst[n.Entry] = worstEffect{r.Service, effect}
		}
	}
}

// expected returns the slowdown, less 1, of a service on the worker with one
// more effect added.
func (p *Pairings) expected(service string, w *Worker, joining float64) float64 {
	sum := joining
	for _, task := range w.Tasks {
		if task.Class == carobkeel.ClassBatch {
			sum += p.Effect(service, task.Entry).Mean * task.Speed()
		}
	}
	return math.Exp(sum*p.load(service)) - 1
}

// load returns the service's recent load, 1 where it is not known.
func (p *Pairings) load(service string) float64 {
	if m := p.services[service]; m != nil {
		return m.load
	}
	return 1
}
