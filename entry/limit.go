package entry

import "time"

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// demandWeight is the inverse weight of one tick in the demand.
	demandWeight = 8
	// meanWeight is the inverse weight of one tick in the mean of what runs.
	meanWeight = 8
	// serviceWeight is the inverse weight of one tick in the service time.
	serviceWeight = 4
	// baseRise is how much the base service time rises in a tick, so that an
	// upstream that became slower for good is not held down for ever.
	baseRise = 1.0005
	// limitTicks is the number of ticks between two changes of the limit.
	limitTicks = 5
	// limitSamples is the fewest service times that the limit is changed on.
	limitSamples = 16
	// crowdedFactor is how many times its base the service time is where the
	// upstream has too many requests at once.
	crowdedFactor = 2.0
	// limitShrink is what is left of the limit after it shrinks.
	limitShrink = 0.9
	// leastLimit is the share of the upstream's slots that the limit never
	// goes below, also where the upstream became slower for good.
	leastLimit = 0.25
	// noticeableMicros is the least rise of the service time, in microseconds,
	// that can come from too many requests. Below it the scheduling of
	// threads alone doubles the time of a quick request.
	noticeableMicros = 2000
)

// Limiter adapts the number of requests that run at once to the service time. It
// is for use by one goroutine.
//
// It compares the service time of each share with that share's own past, so that
// another mix of quick and slow requests does not look like a crowded upstream.
type Limiter struct {
	// most is the upstream's number of slots, which the limit never exceeds.
	most    int
	current float64
	ticks   int
	// crowding and count collect how many times the base service time requests
	// took since the last change.
	crowding float64
	count    float64
	// full says that the limit was reached since the last change.
	full bool
}

// NewLimiter returns a limiter that starts at the upstream's slots.
func NewLimiter(slots int) *Limiter { return &Limiter{most: slots, current: float64(slots)} }

// Tick takes in what happened since the last tick and sets the limit. It is
// called each TickInterval.
func (l *Limiter) Tick(s *Slots) {
	var peak int64
	for _, share := range s.shares.Load().all {
		seen := share.tick()
		l.crowding += seen.crowding * float64(seen.count)
		l.count += float64(seen.count)
		peak += seen.peak
	}
	l.full = l.full || peak >= s.limit.Load()
	if l.ticks++; l.ticks < limitTicks || l.count < limitSamples {
		return
	}
	l.current = nextLimit(l.current, l.crowding/l.count, l.full, l.most)
	s.limit.Store(int64(l.current))
	l.ticks, l.crowding, l.count, l.full = 0, 0, 0, false
}

// nextLimit changes a limit that was used in full: it shrinks that of a crowded
// upstream and lets that of another one grow by one. A limit that was not
// reached is not what made an upstream slow.
func nextLimit(current, crowding float64, full bool, most int) float64 {
	switch {
	case !full:
		return current
	case crowding >= crowdedFactor:
		return max(current*limitShrink, leastLimit*float64(most), 1)
	}
	return min(current+1, float64(most))
}

// shareTick is what happened at a share since the tick before.
type shareTick struct {
	// crowding is how many times its base the service time was.
	crowding float64
	// count is the number of requests that ended.
	count int64
	// peak is the most requests that ran at once.
	peak int64
}

// tick takes in the share's service times and peak.
func (h *Share) tick() shareTick {
	running := h.running.Load()
	h.mean += (float64(running) - h.mean) / meanWeight
	seen := shareTick{peak: h.peak.Swap(running)}
	demand := h.demand.Load()
	h.demand.Store(demand + (seen.peak*thousandths-demand)/demandWeight)
	seen.count = h.work.count.Swap(0)
	sum := h.work.sum.Swap(0)
	if seen.count == 0 {
		return seen
	}
	h.noteService(float64(sum) / float64(seen.count))
	seen.crowding = h.crowding()
	return seen
}

func (h *Share) noteService(mean float64) {
	old := h.serviceMicros.Load()
	if old == 0 {
		h.serviceMicros.Store(max(int64(mean), 1))
		return
	}
	h.serviceMicros.Store(max(old+(int64(mean)-old)/serviceWeight, 1))
}

// crowding returns how many times its base the share's service time is, and
// lets the base follow.
func (h *Share) crowding() float64 {
	recent := float64(h.serviceMicros.Load())
	if h.baseMicros == 0 || recent < h.baseMicros {
		h.baseMicros = recent
		return 1
	}
	h.baseMicros *= baseRise
	if recent-h.baseMicros < noticeableMicros {
		return 1
	}
	return recent / h.baseMicros
}
