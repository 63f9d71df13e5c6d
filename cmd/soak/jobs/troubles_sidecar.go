package jobs

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/carobkeel/carobkeel/internal/clock"
)

// Sidecars that are restarted over and over live for a time between these, and are gone for one
// up to longestGone.
const (
	shortestLife = 200 * time.Millisecond
	longestLife  = 1500 * time.Millisecond
	longestGone  = 300 * time.Millisecond
)

// Sidecars that are throttled stand still for a time between these, and again after one between
// leastPeriod and mostPeriod.
const (
	leastHalt   = 5 * time.Millisecond
	mostHalt    = 45 * time.Millisecond
	leastPeriod = 25 * time.Millisecond
	mostPeriod  = 445 * time.Millisecond
)

// sidecarAction returns the action of troubles of sidecars whose workers go on.
func (p *player) sidecarAction(kind Kind, random *rand.Rand) action {
	some := pick(random, p.fleet.sidecars, mostSidecars)
	switch kind {
	case KillSidecars:
		return all(some, kill)
	case TerminateSidecars:
		return all(some, terminate)
	case RestartSidecars:
		return all(some, func(s *process) action { return restartOver(s, random.Uint64()) })
	default:
		return all(some, func(s *process) action { return throttle(s, random) })
	}
}

// restartOver kills a process again and again shortly after its start.
func restartOver(s *process, seed uint64) action {
	random := rand.New(rand.NewPCG(seed, 0))
	begin, stop := during(func(ctx context.Context) {
		for ctx.Err() == nil {
			s.kill()
			_ = clock.Sleep(ctx, time.Duration(random.Int64N(int64(longestGone))))
			_ = s.start()
			_ = clock.Sleep(ctx, between(random, shortestLife, longestLife))
		}
	})
	return action{begin: begin, end: func() { stop(); _ = s.start() }}
}

// throttle lets a process stand still for a part of each period.
func throttle(s *process, random *rand.Rand) action {
	period := between(random, leastPeriod, mostPeriod)
	halt := min(between(random, leastHalt, mostHalt), period)
	begin, stop := during(func(ctx context.Context) {
		for ctx.Err() == nil {
			s.signal(syscall.SIGSTOP)
			_ = clock.Sleep(ctx, halt)
			s.signal(syscall.SIGCONT)
			_ = clock.Sleep(ctx, period-halt)
		}
	})
	return action{begin: begin, end: stop}
}

func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}
