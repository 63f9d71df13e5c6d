package jobs

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/carobkeel/carobkeel/platform/standin"
)

const (
	// mostSidecars is how many sidecars or hosts one trouble takes, mostWorkers how many
	// workers it restarts.
	mostSidecars = 3
	mostWorkers  = 5
	// Troubles of single calls concern a share of them.
	leastShare = 0.1
	mostShare  = 0.5
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

func share(random *rand.Rand, most float64) float64 {
	return leastShare + (most-leastShare)*random.Float64()
}

// only returns a value while a trouble is on, zero otherwise.
func only[T any](on bool, value T) T {
	if on {
		return value
	}
	var zero T
	return zero
}

// during returns functions that begin what goes on for as long as a trouble, and end it.
func during(goOn func(ctx context.Context)) (begin, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	begin = func() { running.Go(func() { goOn(ctx) }) }
	end = func() { cancel(); running.Wait() }
	return begin, end
}
