package entry

import "time"

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// demandWeight is the inverse weight of one tick in the moving average of
	// the demand.
	demandWeight = 8
	// meanWeight is the inverse weight of one tick in the moving average of the
	// running requests.
	meanWeight = 8
	// serviceWeight is the inverse weight of one tick in the moving average of
	// the service time.
	serviceWeight = 4
	// baselineGrowth is the factor by which the baseline service time grows in a
	// tick, so that the limit of an upstream that became permanently slower
	// recovers.
	baselineGrowth = 1.0005
	// minLimitTicks is the minimum number of ticks between two changes of the
	// limit.
	minLimitTicks = 5
	// minLimitSamples is the minimum number of service times needed to change
	// the limit.
	minLimitSamples = 16
	// congestionRatio is the ratio of the service time to its baseline at which
	// the upstream counts as congested.
	congestionRatio = 2.0
	// limitShrinkFactor is the factor by which the limit is reduced.
	limitShrinkFactor = 0.9
	// minLimitShare is the share of the upstream's slots that the limit never
	// goes below, even if the upstream became permanently slower.
	minLimitShare = 0.25
	// minCongestionMicros is the minimum rise of the service time, in
	// microseconds, that is attributed to congestion. Below it, thread
	// scheduling alone doubles the time of a short request.
	minCongestionMicros = 2000
)

// Limiter adapts the number of concurrent requests to the service time. It is
// not safe for concurrent use.
//
// It compares the service time of each share with that share's own baseline, so
// that a change in the mix of short and long requests is not taken for
// congestion.
type Limiter struct {
	// slots is the upstream's number of slots, which the limit never exceeds.
	slots   int
	current float64
	ticks   int
	// ratioSum is the sum, over the requests that ended since the last change
	// of the limit, of their share's ratio of service time to baseline.
	// requests is the number of these requests.
	ratioSum float64
	requests float64
	// limitReached reports that the limit was reached since the last change.
	limitReached bool
}

// NewLimiter returns a limiter that starts at the upstream's number of slots.
func NewLimiter(slots int) *Limiter { return &Limiter{slots: slots, current: float64(slots)} }

// Tick updates the statistics of the shares and sets the limit. It is called
// every TickInterval.
func (l *Limiter) Tick(s *Slots) {
	var peak int64
	for _, share := range s.shares.Load().all {
		tick := share.tick()
		l.ratioSum += tick.ratio * float64(tick.count)
		l.requests += float64(tick.count)
		peak += tick.peak
	}
	l.limitReached = l.limitReached || peak >= s.limit.Load()
	if l.ticks++; l.ticks < minLimitTicks || l.requests < minLimitSamples {
		return
	}
	l.current = nextLimit(l.current, l.ratioSum/l.requests, l.limitReached, l.slots)
	s.limit.Store(int64(l.current))
	l.ticks, l.ratioSum, l.requests, l.limitReached = 0, 0, 0, false
}

// nextLimit returns the next limit. It changes only a limit that was reached:
// it shrinks the limit of a congested upstream and otherwise raises it by one. A
// limit that was not reached can't have caused congestion.
func nextLimit(current, ratio float64, limitReached bool, slots int) float64 {
	switch {
	case !limitReached:
		return current
	case ratio >= congestionRatio:
		return max(current*limitShrinkFactor, minLimitShare*float64(slots), 1)
	}
	return min(current+1, float64(slots))
}

// shareTick holds the statistics of a share since the previous tick.
type shareTick struct {
	// ratio is the ratio of the service time to its baseline.
	ratio float64
	// count is the number of requests that ended.
	count int64
	// peak is the maximum number of concurrent requests.
	peak int64
}

// tick updates the share's moving averages and returns the statistics since the
// previous tick.
func (h *Share) tick() shareTick {
	running := h.running.Load()
	h.meanRunning += (float64(running) - h.meanRunning) / meanWeight
	result := shareTick{peak: h.peak.Swap(running)}
	demand := h.demand.Load()
	h.demand.Store(demand + (result.peak*thousandths-demand)/demandWeight)
	result.count = h.serviceTimes.count.Swap(0)
	sum := h.serviceTimes.sum.Swap(0)
	if result.count == 0 {
		return result
	}
	h.updateServiceTime(float64(sum) / float64(result.count))
	result.ratio = h.updateBaseline()
	return result
}

func (h *Share) updateServiceTime(mean float64) {
	old := h.serviceMicros.Load()
	if old == 0 {
		h.serviceMicros.Store(max(int64(mean), 1))
		return
	}
	h.serviceMicros.Store(max(old+(int64(mean)-old)/serviceWeight, 1))
}

// updateBaseline updates the share's baseline service time, and returns the ratio
// of the service time to it. A rise below minCongestionMicros counts as a ratio
// of 1.
func (h *Share) updateBaseline() float64 {
	recent := float64(h.serviceMicros.Load())
	if h.baselineMicros == 0 || recent < h.baselineMicros {
		h.baselineMicros = recent
		return 1
	}
	h.baselineMicros *= baselineGrowth
	if recent-h.baselineMicros < minCongestionMicros {
		return 1
	}
	return recent / h.baselineMicros
}
