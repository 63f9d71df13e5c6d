package jobs

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/carobkeel/carobkeel/platform/standin"
)

const (
	// terminationGrace is how long a process may take to end.
	terminationGrace = 6 * time.Second
	// mostSidecars is how many sidecars or hosts one trouble takes, mostWorkers how many
	// workers it restarts.
	mostSidecars = 3
	mostWorkers  = 5
	// Troubles of single calls concern a share of them.
	leastShare  = 0.1
	mostShare   = 0.5
	mostGrey    = 0.8
	mostSlow    = 4
	slowAnswers = time.Second
)

// action is what a trouble does, and to whom.
type action struct {
	processes []*process
	workers   []*standin.Worker
	// hosts are the processes at the ends of links.
	hosts []string
	store bool
	// targets are workers whose sidecars hear of them from somebody else.
	targets []*standin.Worker
	begin   func()
	end     func()
}

// player plays troubles in a fleet.
type player struct {
	fleet     *fleet
	traffic   *traffic
	reachNext bool
}

// action returns what a trouble does now.
func (p *player) action(t trouble) action {
	random := rand.New(rand.NewPCG(t.Draw, 0))
	switch t.Kind {
	case FreezeHolder:
		return freeze(p.fleet.holder())
	case FreezeSidecars:
		return freeze(pick(random, p.fleet.sidecars, mostSidecars)...)
	case KillEntry:
		return kill(pick(random, p.fleet.entries, 1)[0])
	case TerminateEntry:
		return terminate(pick(random, p.fleet.entries, 1)[0])
	case RestartWorkers:
		return restart(pick(random, p.fleet.workers, mostWorkers))
	case DrainWorkers:
		return drain(pick(random, p.fleet.workers, mostSidecars))
	case ReleaseWorkers:
		return p.release(pick(random, p.fleet.workers, mostSidecars))
	case KillSidecars, TerminateSidecars, RestartSidecars, ThrottleSidecars:
		return p.sidecarAction(t.Kind, random)
	case ForeignHeartbeatsID, ForeignHeartbeatsBorn, ForeignHeartbeatsEarlier, ForeignHeartbeatsAddress, ForeignDepartures:
		return p.foreignAction(t.Kind, random)
	case DarkHosts:
		return p.darken(random)
	case LateWrites, SilentStore, BusyStore, DropHistory:
		return p.storeAction(t.Kind, random)
	case ResetLinks, SilentLinks, DeafLinks, SlowLinks, CutLinks:
		return p.linkAction(t.Kind, random)
	case RepeatRequests:
		return action{
			begin: func() { p.traffic.repeats.Store(true) },
			end:   func() { p.traffic.repeats.Store(false) },
		}
	default:
		return p.workerAction(t.Kind, random)
	}
}

// pick returns one to most of all, in a drawn order.
func pick[T any](random *rand.Rand, all []T, most int) []T {
	var picked []T
	for _, i := range random.Perm(len(all))[:1+random.IntN(min(most, len(all)))] {
		picked = append(picked, all[i])
	}
	return picked
}

func freeze(processes ...*process) action {
	signalAll := func(s syscall.Signal) func() {
		return func() {
			for _, p := range processes {
				p.signal(s)
			}
		}
	}
	return action{processes: processes, begin: signalAll(syscall.SIGSTOP), end: signalAll(syscall.SIGCONT)}
}

func kill(p *process) action {
	return action{processes: []*process{p}, begin: p.kill, end: func() { _ = p.start() }}
}

func terminate(p *process) action {
	return action{
		processes: []*process{p}, begin: func() { p.terminate(terminationGrace) }, end: func() { _ = p.start() },
	}
}

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

func each(workers []*standin.Worker, do func(*standin.Worker)) {
	for _, w := range workers {
		do(w)
	}
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

func share(random *rand.Rand, most float64) float64 {
	return leastShare + (most-leastShare)*random.Float64()
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

// only returns a value while a trouble is on, zero otherwise.
func only[T any](on bool, value T) T {
	if on {
		return value
	}
	var zero T
	return zero
}

// storeAction returns the action of troubles of the store.
func (p *player) storeAction(kind Kind, random *rand.Rand) action {
	first, second := share(random, mostShare), share(random, mostShare)
	change := func(on bool) func() {
		return func() {
			p.fleet.store.Change(func(t *standin.StoreTrouble) {
				switch kind {
				case SilentStore:
					t.Silent = on
				case BusyStore:
					t.Busy = only(on, first)
				case LateWrites:
					t.LateWrites, t.LostAnswers = only(on, first), only(on, second)
				}
			})
		}
	}
	if kind == DropHistory {
		return action{store: true, begin: p.fleet.store.DropHistory, end: func() {}}
	}
	return action{store: true, begin: change(true), end: change(false)}
}
