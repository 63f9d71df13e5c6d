package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

const (
	// slowdownTarget is the most that batch work may add to a service's p99.
	slowdownTarget = 1.15
	// throughputTarget is the least batch throughput beside no control.
	throughputTarget = 0.85
	// evictionTarget is the most evictions beside the threshold rule.
	evictionTarget = 0.5
	// reservedShare is the part of each worker that the fixed reservation keeps
	// free of batch work.
	reservedShare = 0.3
	// interferenceTraces is the number of traces of each user's shape.
	interferenceTraces = 5
)

// interferenceSuite compares rules for sharing workers between services and
// batch work on the same traces.
func interferenceSuite() suite {
	return suite{name: "interference", run: func(_ context.Context, o options) ([]figure, error) {
		var figures []figure
		for _, s := range userShapes() {
			figures = append(figures, interferenceFigures(o, s)...)
		}
		return append(figures, learnerFigures()...), nil
	}}
}

// learnerFigures measures the memory of one service's model with all batch
// entries that it keeps, and what one report costs it.
func learnerFigures() []figure {
	const services, reports, entries, neighbours = 50, 200, 64, 16
	before := liveHeapBytes()
	pairings := worker.NewInterferenceModel()
	start := time.Now()
	for i := range services * reports {
		report := worker.ServiceReport{Service: fmt.Sprintf("service-%d", i%services), P99: serviceLatency, Load: 0.6}
		for j := range neighbours {
			entry := entryName((i/services*neighbours + j) % entries)
			report.Neighbours = append(report.Neighbours, worker.Neighbour{Entry: entry, Activity: 1})
		}
		pairings.Observe(report)
	}
	cost := float64(time.Since(start).Nanoseconds()) / 1e3 / (services * reports)
	memory := float64(liveHeapBytes()-before) / services
	runtime.KeepAlive(pairings)
	return []figure{
		measured("learner-memory-service", memory, "bytes"),
		measured("learner-report", cost, "us"),
	}
}

func interferenceFigures(o options, s shape) []figure {
	var alone, none, fixed, packed, threshold, spread, ours outcome
	for i := range uint64(interferenceTraces) {
		t := newTrace(s, o.seed*interferenceTraces+i)
		quiet := *t
		quiet.arrivals = nil
		alone.add(runColocation(&quiet, noControl{}))
		none.add(runColocation(t, noControl{}))
		fixed.add(runColocation(t, fixedReservation{t.shape}))
		threshold.add(runColocation(t, thresholdRule{}))
		packed.add(runColocation(t, packedServices{}))
		spread.add(runColocation(t, newLearnedRule(0)))
		ours.add(runColocation(t, newLearnedRule(servicesPerWorker)))
	}
	figures := compared(s.name+"-no-control", none, alone, none)
	figures = append(figures, compared(s.name+"-fixed-reservation", fixed, alone, none)...)
	figures = append(figures, compared(s.name+"-threshold", threshold, alone, none)...)
	figures = append(figures, compared(s.name+"-packed-services", packed, alone, none)...)
	figures = append(figures, compared(s.name+"-learned-spread-services", spread, alone, none)...)
	return append(figures,
		targeted(s.name+"-learned-p99", ours.p99/alone.p99, "of-alone", atMost, slowdownTarget),
		targeted(s.name+"-learned-throughput", ours.throughput/none.throughput, "of-no-control", atLeast, throughputTarget),
		targeted(s.name+"-learned-evictions", float64(ours.evictions)/float64(max(threshold.evictions, 1)), "of-threshold", atMost, evictionTarget),
		measured(s.name+"-learned-eviction-count", float64(ours.evictions), "evictions"),
		measured(s.name+"-learned-harmful-work", ours.harmfulDone/none.harmfulDone, "of-no-control"),
	)
}

func compared(name string, o, alone, none outcome) []figure {
	return []figure{
		measured(name+"-p99", o.p99/alone.p99, "of-alone"),
		measured(name+"-throughput", o.throughput/none.throughput, "of-no-control"),
		measured(name+"-evictions", float64(o.evictions), "evictions"),
		measured(name+"-harmful-work", o.harmfulDone/none.harmfulDone, "of-no-control"),
	}
}

// add sums the outcomes of several traces.
func (o *outcome) add(other outcome) {
	o.p99 += other.p99
	o.throughput += other.throughput
	o.evictions += other.evictions
	o.harmfulDone += other.harmfulDone
}

// noControl packs batch work beside services and never looks back.
type noControl struct{}

func (noControl) policy(time.Duration) worker.Policy                  { return worker.DefaultPolicy() }
func (noControl) startThrottle(*worker.Request, *worker.Worker) uint8 { return 0 }
func (noControl) control(*worker.Worker, []worker.ServiceReport, time.Time) []worker.Action {
	return nil
}

// packedServices packs services on half of the workers and has no control.
type packedServices struct{ noControl }

func (packedServices) policy(time.Duration) worker.Policy {
	policy := worker.DefaultPolicy()
	policy.ServicesPerWorker = servicesPerWorker
	return policy
}

// fixedReservation keeps a fixed part of each worker free of batch work.
type fixedReservation struct{ shape shape }

func (f fixedReservation) policy(time.Duration) worker.Policy {
	policy := worker.DefaultPolicy()
	policy.Interference, policy.MaxPenalty = f, 1
	return policy
}

// Penalty implements worker.Interference: it rejects a worker whose free part
// would become smaller than the reservation.
func (f fixedReservation) Penalty(r *worker.Request, w *worker.Worker) float64 {
	left := w.Free().Sub(r.Demand).MilliCPU
	if float64(left) < reservedShare*float64(f.shape.capacity.MilliCPU) {
		return 2
	}
	return 0
}

func (fixedReservation) startThrottle(*worker.Request, *worker.Worker) uint8 { return 0 }

func (fixedReservation) control(*worker.Worker, []worker.ServiceReport, time.Time) []worker.Action {
	return nil
}

// thresholdRule evicts the largest batch task whenever a report is over the
// target. It is given the true latency without interference.
type thresholdRule struct{ noControl }

func (thresholdRule) control(w *worker.Worker, reports []worker.ServiceReport, _ time.Time) []worker.Action {
	for _, r := range reports {
		if r.P99.Seconds() <= slowdownTarget*aloneLatency(r.Load) {
			continue
		}
		var largest *worker.Task
		for _, task := range w.Tasks {
			if task.Class == carobkeel.ClassBatch && (largest == nil || task.Reserved.MilliCPU > largest.Reserved.MilliCPU) {
				largest = task
			}
		}
		if largest != nil {
			return []worker.Action{{Kind: worker.ActionEvict, Worker: w.ID, Task: largest.ID}}
		}
	}
	return nil
}

// learnedRule is the project's own: learned pairings, throttling, eviction.
type learnedRule struct {
	density    int
	pairings   *worker.InterferenceModel
	controller *worker.Controller
}

func newLearnedRule(density int) *learnedRule {
	pairings := worker.NewInterferenceModel()
	return &learnedRule{density, pairings, worker.NewController(pairings, worker.DefaultControlPolicy())}
}

// servicesPerWorker is the density of services under the learned rule.
const servicesPerWorker = 2

// maxPenalty rejects only workers on which a job would start too slowly.
const maxPenalty = 1_000

// maxWait is how long a job waits for a worker on which it does no harm.
const maxWait = 40 * time.Minute

func (l *learnedRule) policy(waited time.Duration) worker.Policy {
	policy := worker.DefaultPolicy()
	policy.Interference, policy.MaxPenalty = l.controller, maxPenalty
	policy.ServicesPerWorker = l.density
	if waited < maxWait {
		policy.MaxPenalty = slowdownTarget - 1
	}
	return policy
}

func (l *learnedRule) startThrottle(r *worker.Request, w *worker.Worker) uint8 {
	return l.controller.StartThrottle(r, w)
}

func (l *learnedRule) control(w *worker.Worker, reports []worker.ServiceReport, now time.Time) []worker.Action {
	for _, r := range reports {
		l.pairings.Observe(r)
	}
	return l.controller.Decide(w, reports, now)
}
