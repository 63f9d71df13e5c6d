package caller

import (
	"sync/atomic"
	"time"
)

const (
	// riseDivisor and fallDivisor determine how far a sample above or below the
	// estimate moves it: by 1/riseDivisor up or by 1/fallDivisor down. At their
	// ratio of 1 to 19 the estimate settles at the 95th percentile.
	riseDivisor = 20
	fallDivisor = riseDivisor * 19
	// minTailSamples is the number of samples before the estimate is used.
	minTailSamples = 100
	// minHedgeDelay is the shortest delay before a hedge.
	minHedgeDelay = 2 * time.Millisecond
)

// TailLatency estimates the 95th percentile of a service's latency. Its methods are
// safe for use by several goroutines. Of two concurrent samples one may be lost,
// which barely changes the estimate.
type TailLatency struct {
	nanos   atomic.Int64
	samples atomic.Int64
}

// Observe adds a sample.
func (t *TailLatency) Observe(latency time.Duration) {
	if t.samples.Load() < minTailSamples {
		t.samples.Add(1)
	}
	sample, old := int64(latency), t.nanos.Load()
	switch {
	case old == 0:
		t.nanos.Store(sample)
	case sample > old:
		t.nanos.Store(old + old/riseDivisor + 1)
	default:
		t.nanos.Store(old - old/fallDivisor)
	}
}

// HedgeDelay returns the delay before a request is hedged, zero while there are too
// few samples.
func (t *TailLatency) HedgeDelay() time.Duration {
	if t.samples.Load() < minTailSamples {
		return 0
	}
	return max(time.Duration(t.nanos.Load()), minHedgeDelay)
}
