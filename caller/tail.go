package caller

import (
	"sync/atomic"
	"time"
)

const (
	// tailRise and tailFall are how far the estimate moves for a sample above
	// and below it, as inverse shares of the estimate. Their ratio of 1 to 19
	// holds it at the 95th percentile.
	tailRise = 20
	tailFall = tailRise * 19
	// tailSamples is the fewest latencies that an estimate rests on.
	tailSamples = 100
	// hedgeAfterLeast is the shortest time before a hedge.
	hedgeAfterLeast = 2 * time.Millisecond
)

// Tail estimates the 95th percentile of a service's latency. Its methods are
// safe for use by several goroutines; two samples at the same moment may lose
// one, which the estimate bears.
type Tail struct {
	nanos   atomic.Int64
	samples atomic.Int64
}

// Observe takes in one latency.
func (t *Tail) Observe(latency time.Duration) {
	if t.samples.Load() < tailSamples {
		t.samples.Add(1)
	}
	sample, old := int64(latency), t.nanos.Load()
	switch {
	case old == 0:
		t.nanos.Store(sample)
	case sample > old:
		t.nanos.Store(old + old/tailRise + 1)
	default:
		t.nanos.Store(old - old/tailFall)
	}
}

// HedgeAfter returns how long a request waits before it is sent a second time,
// zero where too little is known to do so.
func (t *Tail) HedgeAfter() time.Duration {
	if t.samples.Load() < tailSamples {
		return 0
	}
	return max(time.Duration(t.nanos.Load()), hedgeAfterLeast)
}
