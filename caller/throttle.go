package caller

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// TickInterval is the time between two calls of Admission.Tick.
	TickInterval = 100 * time.Millisecond
	// acceptedWeight is the inverse weight of one tick in the accepted average.
	acceptedWeight = 4
	// throttleSurplus is how many requests are sent for each one that is
	// accepted. Above 1 the sidecars' queues stay filled, and the entry notices
	// when they take more.
	throttleSurplus = 1.25
	// throttleGrowth is how much the limit grows in a tick without refusals.
	throttleGrowth = 1.25
	// throttleMinimum is the number of requests in a tick that are always sent,
	// so that an owner with few requests is not stopped by one refusal.
	throttleMinimum = 2
	// throttleRefusals is the share of the requests sent that sidecars refuse
	// from which on the limit follows what they accept.
	throttleRefusals = 0.01
)

// Throttle refuses requests of one owner and class at the entry once the
// sidecars refuse some of them. Requests and their results are counted by
// several goroutines; one goroutine ticks.
type Throttle struct {
	// requested, accepted and refused count since the last tick: the callers'
	// requests, and of those sent what sidecars had capacity for and what not.
	requested, accepted, refused atomic.Int64
	// share is the share of requests that is sent, as the bits of a float, zero
	// while there is no limit.
	share atomic.Uint64
	// overload is the bits of the number of requests for each one sent.
	overload atomic.Uint64

	// acceptedMean is a moving average of the requests accepted in a tick.
	acceptedMean float64
	// limit is the number of requests sent in a tick, zero while there is none.
	limit float64
}

// Admit counts a request and reports whether it goes to a sidecar. random is in
// 0..1.
func (t *Throttle) Admit(random float64) bool {
	t.requested.Add(1)
	share := t.share.Load()
	return share == 0 || random < math.Float64frombits(share)
}

// Result takes in how a request ended that was sent to a sidecar.
func (t *Throttle) Result(code carobkeel.Code) {
	if isCapacity(code) {
		t.refused.Add(1)
		return
	}
	t.accepted.Add(1)
}

// isCapacity reports whether the code says that a sidecar lacked capacity.
func isCapacity(code carobkeel.Code) bool {
	switch code {
	case carobkeel.CodeOverloaded, carobkeel.CodeQueueFull, carobkeel.CodeTimeoutNotRun:
		return true
	}
	return false
}

// Overload returns how many requests there are for each one that is sent, 1
// where all are.
func (t *Throttle) Overload() float64 {
	return max(1, math.Float64frombits(t.overload.Load()))
}

// tick sets the limit for the time until the next tick.
func (t *Throttle) tick() {
	requested := float64(t.requested.Swap(0))
	accepted, refused := float64(t.accepted.Swap(0)), float64(t.refused.Swap(0))
	t.acceptedMean += (accepted - t.acceptedMean) / acceptedWeight
	t.limit = nextThrottle(t.limit, t.acceptedMean, refused, accepted)
	if t.limit == 0 || requested <= t.limit {
		t.share.Store(0)
		t.overload.Store(0)
		if refused == 0 {
			t.limit = 0
		}
		return
	}
	t.share.Store(math.Float64bits(t.limit / requested))
	t.overload.Store(math.Float64bits(requested / t.limit))
}

// nextThrottle returns the limit of the next tick: somewhat above what sidecars
// accept while they refuse some, growing while they refuse none.
func nextThrottle(limit, acceptedMean, refused, accepted float64) float64 {
	if refused > throttleRefusals*(accepted+refused) {
		return throttleSurplus*acceptedMean + throttleMinimum
	}
	return limit * throttleGrowth
}

const (
	// retryAfterOverload is the highest overload that the advice grows with.
	retryAfterOverload = 10
	// retryAfterSpread is how far the advice is spread, as a multiple of its
	// shortest value.
	retryAfterSpread = 2.0
)

// RetryAfter returns when a refused request has a chance: at least a second for
// each request that there is for one accepted. It is spread at random over three
// times that, so that what was refused together does not come back together, and
// is in whole seconds, as callers are told. random is in 0..1.
func RetryAfter(overload, random float64) time.Duration {
	seconds := min(max(overload, 1), retryAfterOverload) * (1 + retryAfterSpread*random)
	return time.Duration(math.Ceil(seconds)) * time.Second
}
