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
	// acceptedMeanDivisor is the inverse of the weight of one tick in the moving
	// average of accepted requests.
	acceptedMeanDivisor = 4
	// throttleSurplus is the number of requests sent for each one that is accepted.
	// It is above 1, so that the sidecars' queues stay filled and the entry
	// notices when sidecars accept more.
	throttleSurplus = 1.25
	// throttleGrowth is the factor by which the limit grows in a tick without
	// refusals.
	throttleGrowth = 1.25
	// throttleMinRequests is the number of requests per tick that are always allowed,
	// so that one refusal does not block an owner with few requests.
	throttleMinRequests = 2
	// throttleCalmTicks is the number of ticks in succession with fewer requests than
	// the limit, and without refusals, after which the limit ends. It is above 1, as
	// the requests of a flood may come in bursts.
	throttleCalmTicks = 10
	// throttleRefusalShare is the share of refused requests among those sent above
	// which the limit follows the number of accepted requests.
	throttleRefusalShare = 0.01
)

// Throttle refuses requests of one owner and class at the entry once sidecars
// refuse some of them. Several goroutines count requests and results; one goroutine
// calls tick.
type Throttle struct {
	// requested counts the callers' requests since the last tick, and sent those that
	// were admitted while there was a limit; accepted and refused count those sent that
	// sidecars had or lacked capacity for.
	requested, sent, accepted, refused atomic.Int64
	// maxSent is the maximum number of requests to send until the next tick, zero
	// while there is no limit.
	maxSent atomic.Int64
	// share is the share of requests to send, as the bits of a float64, zero while
	// there is no limit.
	share atomic.Uint64
	// overload is the ratio of requests to the limit, as the bits of a float64, zero
	// while there is no limit.
	overload atomic.Uint64

	// acceptedMean is the moving average of requests accepted per tick.
	acceptedMean float64
	// limit is the maximum number of requests to send per tick, zero while there is
	// none.
	limit float64
	// calmTicks counts the ticks since requests last exceeded the limit or were
	// refused.
	calmTicks int
}

// Admit counts a request and reports whether it may be sent to a sidecar. random is
// in 0..1.
func (t *Throttle) Admit(random float64) bool {
	t.requested.Add(1)
	share := t.share.Load()
	if share != 0 && random >= math.Float64frombits(share) {
		return false
	}
	maxSent := t.maxSent.Load()
	return maxSent == 0 || t.sent.Add(1) <= maxSent
}

// Record records the result code of a request that was sent to a sidecar.
func (t *Throttle) Record(code carobkeel.Code) {
	if isCapacityRefusal(code) {
		t.refused.Add(1)
		return
	}
	t.accepted.Add(1)
}

// isCapacityRefusal reports whether the code means that a sidecar lacked capacity.
func isCapacityRefusal(code carobkeel.Code) bool {
	switch code {
	case carobkeel.CodeOverloaded, carobkeel.CodeQueueFull, carobkeel.CodeTimeoutNotRun:
		return true
	}
	return false
}

// Overload returns the ratio of requests to those that may be sent, 1 if there is no
// limit.
func (t *Throttle) Overload() float64 {
	return max(1, math.Float64frombits(t.overload.Load()))
}

// tick sets the limit that applies until the next tick. A tick without requests and
// results says nothing about the capacity and changes no limit, unless it ends it.
func (t *Throttle) tick() {
	requested := float64(t.requested.Swap(0))
	accepted, refused := float64(t.accepted.Swap(0)), float64(t.refused.Swap(0))
	t.sent.Store(0)
	if requested+accepted+refused > 0 {
		t.countAccepted(accepted)
		t.setLimit(nextThrottle(t.limit, t.acceptedMean, refused, accepted), requested)
	}
	t.calmTicks++
	if requested > t.limit || refused > 0 {
		t.calmTicks = 0
	}
	if t.calmTicks >= throttleCalmTicks {
		t.setLimit(0, 0)
	}
}

// countAccepted updates the mean of accepted requests. While there is no limit the mean
// rises at once, since the first limit must not be below what sidecars accepted.
func (t *Throttle) countAccepted(accepted float64) {
	t.acceptedMean += (accepted - t.acceptedMean) / acceptedMeanDivisor
	if t.limit == 0 {
		t.acceptedMean = max(t.acceptedMean, accepted)
	}
}

// setLimit sets the limit, zero for none, and what follows from it if as many requests
// come as in the last tick.
func (t *Throttle) setLimit(limit, requested float64) {
	t.limit = limit
	t.maxSent.Store(int64(math.Ceil(limit)))
	if limit == 0 || requested <= limit {
		t.share.Store(0)
		t.overload.Store(0)
		return
	}
	t.share.Store(math.Float64bits(limit / requested))
	t.overload.Store(math.Float64bits(requested / limit))
}

// nextThrottle returns the limit until the next tick: slightly above the number of
// accepted requests while sidecars refuse more than throttleRefusalShare, otherwise
// larger by throttleGrowth.
func nextThrottle(limit, acceptedMean, refused, accepted float64) float64 {
	if refused > throttleRefusalShare*(accepted+refused) {
		return throttleSurplus*acceptedMean + throttleMinRequests
	}
	return limit * throttleGrowth
}

const (
	// retryAfterMaxOverload is the overload above which the delay grows no further.
	retryAfterMaxOverload = 10
	// retryAfterSpread is the width of the random part of the delay, as a multiple
	// of its minimum.
	retryAfterSpread = 2.0
)

// RetryAfter returns the delay after which a refused request should be retried. The
// minimum is one second times the overload; the delay is spread at random between
// one and three times that, so that requests refused together do not return
// together. It is in whole seconds, as the Retry-After header requires. random is in
// 0..1.
func RetryAfter(overload, random float64) time.Duration {
	seconds := min(max(overload, 1), retryAfterMaxOverload) * (1 + retryAfterSpread*random)
	return time.Duration(math.Ceil(seconds)) * time.Second
}
