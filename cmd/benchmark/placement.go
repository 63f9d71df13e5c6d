package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

const (
	// placementRate is the least number of decisions a second on one core.
	placementRate = 20_000
	// placementP99 is the most that a decision may take, in milliseconds.
	placementP99 = 1.0
	// tasksPerWorker is 225,000 tasks on 12,000 workers.
	tasksPerWorker = 225_000.0 / 12_000
	// placementRounds is the number of decisions that one size is measured with.
	placementRounds = 20_000
	// placementDataCentres is the number of data centres of a sample fleet.
	placementDataCentres = 10
	// rackWorkers is the number of workers on a rack of a sample fleet.
	rackWorkers = 20

	gibibyte = int64(1) << 30
)

// placementSuite measures placement decisions by size of the fleet: with room,
// in a fleet with little room left, and by preemption in a full one.
func placementSuite() suite {
	return suite{name: "placement", run: func(_ context.Context, o options) ([]figure, error) {
		var figures []figure
		for _, size := range []int{120, 1_200, 12_000} {
			figures = append(figures, placementFigures(o, size)...)
		}
		return append(figures, fairnessFigures(o)...), nil
	}}
}

func placementFigures(o options, size int) []figure {
	rng := rand.New(rand.NewPCG(o.seed, uint64(size)))
	before := liveHeapBytes()
	empty := sampleFleet(rng, size)
	perWorker := float64(liveHeapBytes()-before) / float64(size)
	before = liveHeapBytes()
	registry := worker.NewRegistry(fillFleet(rng, empty, size))
	tasks := countTasks(registry.Fleet())
	perTask := float64(liveHeapBytes()-before) / float64(tasks)

	name := func(what string) string { return fmt.Sprintf("%s-%d-workers", what, size) }
	figures := []figure{
		measured(name("tasks"), float64(tasks), "tasks"),
		measured(name("memory-worker"), perWorker, "bytes"),
		measured(name("memory-task"), perTask, "bytes"),
	}
	for _, c := range placementCases(registry) {
		times, verdicts := timeDecisions(rng, registry, c)
		figures = append(figures, decisionFigures(name(c.name), times)...)
		figures = append(figures, measured(name(c.name)+"-placed", verdicts, "share"))
	}
	figures = append(figures, measured(name("commit"), commitCost(rng, registry), "us"))
	runtime.KeepAlive(empty)
	return figures
}

// placementCase is a kind of request.
type placementCase struct {
	name    string
	request func(rng *rand.Rand, id int) worker.Request
	fleet   *worker.Fleet
	policy  worker.Policy
}

func placementCases(registry *worker.Registry) []placementCase {
	plain := worker.DefaultPolicy()
	return []placementCase{
		{"place", batchRequest, registry.Fleet(), plain},
		{"place-service", serviceRequest, registry.Fleet(), plain},
		{"place-interference", batchRequest, registry.Fleet(), learnedPolicy(registry.Fleet())},
		{"place-nearly-full", batchRequest, fillUp(registry.Fleet(), 100), plain},
		{"preempt-full", urgentRequest, fillUp(registry.Fleet(), 0), plain},
	}
}

// learnedPolicy returns a policy with pairings learned from one report of each
// instance of a service in the fleet.
func learnedPolicy(fleet *worker.Fleet) worker.Policy {
	pairings := worker.NewInterferenceModel()
	for _, w := range workersOf(fleet) {
		var neighbours []worker.Neighbour
		for _, task := range w.Tasks {
			if task.Class == carobkeel.ClassBatch {
				neighbours = append(neighbours, worker.Neighbour{Entry: task.Entry, Activity: 1})
			}
		}
		for _, task := range w.Tasks {
			if task.Class == carobkeel.ClassLatencyCritical {
				pairings.Observe(worker.ServiceReport{
					Worker: w.ID, Service: task.Entry, P99: serviceLatency, Load: 0.6, Neighbours: neighbours,
				})
			}
		}
	}
	policy := worker.DefaultPolicy()
	policy.Interference, policy.MaxPenalty = worker.NewController(pairings, worker.DefaultControlPolicy()), maxPenalty
	return policy
}

// timeDecisions returns the microseconds that each decision took, and the share
// that found a worker.
func timeDecisions(rng *rand.Rand, registry *worker.Registry, c placementCase) ([]float64, float64) {
	times, placed := make([]float64, 0, placementRounds), 0
	now := sampleTime
	for i := range placementRounds {
		request := c.request(rng, i)
		start := time.Now()
		decision := worker.Place(c.fleet, request, c.policy, uint64(i), now)
		times = append(times, float64(time.Since(start).Nanoseconds())/1e3)
		if decision.Verdict <= worker.VerdictPreempting {
			placed++
		}
	}
	return times, float64(placed) / placementRounds
}

func decisionFigures(name string, micros []float64) []figure {
	sum := 0.0
	for _, t := range micros {
		sum += t
	}
	slices.Sort(micros)
	p99 := micros[len(micros)*99/100] / 1e3
	rate := float64(len(micros)) / sum * 1e6
	return []figure{
		targeted(name+"-rate", rate, "decisions/s/core", atLeast, placementRate),
		targeted(name+"-p99", p99, "ms", atMost, placementP99),
	}
}

// commitCost returns the microseconds that an assignment takes to be placed in
// a plan of 20, committed and removed again.
func commitCost(rng *rand.Rand, registry *worker.Registry) float64 {
	const plans, batch = 200, 20
	start := time.Now()
	for i := range plans {
		requests := make([]worker.Request, 0, batch)
		for j := range batch {
			requests = append(requests, batchRequest(rng, i*batch+j))
		}
		plan, _ := worker.PlaceAll(registry.Fleet(), requests, worker.DefaultPolicy(), uint64(i), sampleTime)
		result := registry.Commit(plan)
		registry.Update(func(e *worker.Edit) {
			for _, outcome := range result.Outcomes {
				e.Remove(outcome.Worker, outcome.Task)
			}
		})
	}
	return float64(time.Since(start).Nanoseconds()) / 1e3 / (plans * batch)
}

var sampleTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sampleFleet returns workers of mixed shapes without tasks.
func sampleFleet(rng *rand.Rand, size int) *worker.Fleet {
	edit := (&worker.Fleet{}).Edit()
	for i := range size {
		dc := carobkeel.DataCentre(fmt.Sprintf("dc%d", i%placementDataCentres))
		edit.Join(worker.Worker{
			ID: worker.ID(fmt.Sprintf("worker-%d", i)),
			Location: carobkeel.Location{
				DataCentre: dc, Rack: fmt.Sprintf("rack-%d", i/placementDataCentres/rackWorkers),
			},
			Capacity: sampleCapacity(rng),
		})
	}
	return edit.Publish()
}

// sampleCapacity returns a worker's shape; a third of the workers have seven
// accelerators, which makes 28,000 on 12,000.
func sampleCapacity(rng *rand.Rand) carobkeel.Resources {
	capacity := carobkeel.Resources{MilliCPU: 16_000, MemoryBytes: 60 * gibibyte}
	if rng.IntN(2) == 0 {
		capacity = carobkeel.Resources{MilliCPU: 32_000, MemoryBytes: 125 * gibibyte}
	}
	if rng.IntN(3) == 0 {
		capacity.Accelerators = 7
	}
	return capacity
}

// fillFleet places 18.75 tasks for each worker, a sixth of them services.
func fillFleet(rng *rand.Rand, fleet *worker.Fleet, size int) *worker.Fleet {
	edit := fleet.Edit()
	for i := range int(float64(size) * tasksPerWorker) {
		request := batchRequest(rng, i)
		if i%6 == 0 {
			request = serviceRequest(rng, i)
		}
		request.Task = carobkeel.TaskID(fmt.Sprintf("running-%d", i))
		decision := worker.Place(edit, request, worker.DefaultPolicy(), uint64(i), sampleTime)
		if decision.Verdict == worker.VerdictPlaced {
			edit.Apply(worker.Plan{At: sampleTime, Assignments: []worker.Assignment{decision.Assignment}})
		}
	}
	return edit.Publish()
}

// fillUp takes the free capacity off all workers but each one in spared, off
// all where that is zero.
func fillUp(fleet *worker.Fleet, spared int) *worker.Fleet {
	edit, i := fleet.Edit(), 0
	fleet.Each(func(w *worker.Worker) bool {
		if i++; spared == 0 || i%spared != 0 {
			edit.SetCapacity(w.ID, w.Reserved)
		}
		return true
	})
	return edit.Publish()
}

func batchRequest(rng *rand.Rand, id int) worker.Request {
	request := worker.Request{
		Task: carobkeel.TaskID(fmt.Sprintf("task-%d", id)), Job: "job", Group: "job",
		Owner: "owner", Entry: fmt.Sprintf("batch-%d", rng.IntN(500)), Class: carobkeel.ClassBatch,
		Demand: carobkeel.Resources{
			MilliCPU:    int64(100 + rng.IntN(1_600)),
			MemoryBytes: int64(1+rng.IntN(6)) * gibibyte / 2,
		},
	}
	if rng.IntN(8) == 0 {
		request.Demand.Accelerators = 1
	}
	return request
}

func serviceRequest(rng *rand.Rand, id int) worker.Request {
	request := batchRequest(rng, id)
	request.Class, request.Job = carobkeel.ClassLatencyCritical, ""
	request.Entry = fmt.Sprintf("service-%d", rng.IntN(2_000))
	request.Group, request.MaxPerRack = request.Entry, 2
	request.Home = carobkeel.DataCentre(fmt.Sprintf("dc%d", rng.IntN(placementDataCentres)))
	request.Demand.Accelerators = 0
	return request
}

func urgentRequest(rng *rand.Rand, id int) worker.Request {
	request := batchRequest(rng, id)
	request.Urgency = worker.UrgencyCritical
	return request
}

func countTasks(fleet *worker.Fleet) int {
	tasks := 0
	fleet.Each(func(w *worker.Worker) bool {
		tasks += len(w.Tasks)
		return true
	})
	return tasks
}
