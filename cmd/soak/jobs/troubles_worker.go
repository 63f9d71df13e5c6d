package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/carobkeel/carobkeel/platform/standin"
)

// Troubles of calls to workers.
const (
	mostGrey    = 0.8
	mostSlow    = 4
	slowAnswers = time.Second
)

func restart(workers []*standin.Worker) action {
	return action{
		workers: workers,
		begin:   func() { each(workers, (*standin.Worker).Crash) },
		end:     func() { each(workers, (*standin.Worker).Restart) },
	}
}

// drain lets workers drain and leave, and others come in their place.
func drain(workers []*standin.Worker) action {
	var leave []func()
	return action{
		workers: workers,
		begin: func() {
			for _, w := range workers {
				leave = append(leave, w.Drain())
			}
		},
		end: func() {
			for i, w := range workers {
				leave[i]()
				w.Restart()
			}
		},
	}
}

// release lets others begin beside workers that drain and then leave, whose places they take.
func (p *player) release(workers []*standin.Worker) action {
	drained := drain(workers)
	return action{
		workers: workers,
		begin: func() {
			drained.begin()
			for _, w := range workers {
				host := firstSidecar + slices.Index(p.fleet.workers, w)
				w.BeginSuccessor(context.Background(), p.fleet.address(host, successorPort))
			}
		},
		end: drained.end,
	}
}

func each(workers []*standin.Worker, do func(*standin.Worker)) {
	for _, w := range workers {
		do(w)
	}
}

// withEach does something with all workers at the same time.
func withEach(workers []*standin.Worker, do func(*standin.Worker)) {
	var running sync.WaitGroup
	for _, w := range workers {
		running.Go(func() { do(w) })
	}
	running.Wait()
}

// darken takes hosts away with their sidecars and workers, or cuts them off: then the
// sidecars stand still and the workers answer nothing, while their runs go on.
func (p *player) darken(random *rand.Rand) action {
	var sidecars []*process
	var workers []*standin.Worker
	for _, i := range random.Perm(len(p.fleet.sidecars))[:1+random.IntN(min(mostSidecars, len(p.fleet.sidecars)))] {
		sidecars, workers = append(sidecars, p.fleet.sidecars[i]), append(workers, p.fleet.workers[i])
	}
	if random.IntN(2) == 0 {
		return cutOff(sidecars, workers)
	}
	return action{
		processes: sidecars, workers: workers,
		begin: func() {
			each(workers, (*standin.Worker).Crash)
			for _, s := range sidecars {
				s.kill()
			}
		},
		end: func() {
			for _, s := range sidecars {
				_ = s.start()
			}
			each(workers, (*standin.Worker).Restart)
		},
	}
}

func cutOff(sidecars []*process, workers []*standin.Worker) action {
	frozen := freeze(sidecars...)
	silent := changeAll(workers, func(t *standin.WorkerTrouble, on bool) { t.Silent = on })
	return action{
		processes: sidecars, workers: workers,
		begin: func() { frozen.begin(); silent.begin() },
		end:   func() { silent.end(); frozen.end() },
	}
}

// changeAll switches a trouble of workers on and off. Of two that overlap on a worker, the
// end of the first ends both.
func changeAll(workers []*standin.Worker, change func(t *standin.WorkerTrouble, on bool)) action {
	turn := func(on bool) func() {
		return func() {
			for _, w := range workers {
				w.Change(func(t *standin.WorkerTrouble) { change(t, on) })
			}
		}
	}
	return action{workers: workers, begin: turn(true), end: turn(false)}
}

// workerAction returns the action of troubles that change how workers behave.
func (p *player) workerAction(kind Kind, random *rand.Rand) action {
	some := pick(random, p.fleet.workers, mostSidecars)
	switch kind {
	case LateCalls:
		late := standin.LateCalls{Share: share(random, mostShare), ReachNext: p.reachNext}
		workers := p.fleet.workers
		if random.IntN(2) == 0 {
			workers = pick(random, workers, mostWorkers)
		}
		return changeAll(workers, func(t *standin.WorkerTrouble, on bool) { t.LateCalls = only(on, late) })
	case SlowWorkers:
		slowness := 2 + (mostSlow-2)*random.Float64()
		return changeAll(some, func(t *standin.WorkerTrouble, on bool) {
			t.Slowness, t.SlowAnswers = only(on, slowness), only(on, slowAnswers)
		})
	case GreyWorkers:
		grey := share(random, mostGrey)
		return changeAll(some, func(t *standin.WorkerTrouble, on bool) { t.Grey = only(on, grey) })
	default:
		return changeAll(some, func(t *standin.WorkerTrouble, on bool) { t.Silent = on })
	}
}
