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
	baseRise = 1.002
	// limitTicks is the number of ticks between two changes of the limit.
	limitTicks = 5
	// limitSamples is the fewest service times that the limit is changed on.
	limitSamples = 16
	// crowdedFactor is how many times its base the service time is where the
	// upstream has too many requests at once.
	crowdedFactor = 2.0
	// limitShrink is what is left of the limit after it shrinks.
	limitShrink = 0.9
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
	for _, share := range s.shares.Load().all {
		ratio, count := share.tick()
		l.crowding += ratio * float64(count)
		l.count += float64(count)
	}
	l.full = l.full || s.running.Load() >= s.limit.Load()
	if l.ticks++; l.ticks < limitTicks || l.count < limitSamples {
		return
	}
	l.current = nextLimit(l.current, l.crowding/l.count, l.full, l.most)
	s.limit.Store(int64(l.current))
	l.ticks, l.crowding, l.count, l.full = 0, 0, 0, false
}

// nextLimit shrinks the limit of a crowded upstream and lets that of another one
// grow by one where it was used in full.
func nextLimit(current, crowding float64, full bool, most int) float64 {
	switch {
	case crowding >= crowdedFactor:
		return max(current*limitShrink, 1)
	case full:
		return min(current+1, float64(most))
	}
	return current
}

// tick takes in the share's service times and peak. It returns how many times
// its base the service time was, and of how many requests.
func (h *Share) tick() (ratio float64, count int64) {
	running := h.running.Load()
	h.mean += (float64(running) - h.mean) / meanWeight
	peak := h.peak.Swap(running)
	demand := h.demand.Load()
	h.demand.Store(demand + (peak*thousandths-demand)/demandWeight)
	count = h.work.count.Swap(0)
	sum := h.work.sum.Swap(0)
	if count == 0 {
		return 0, 0
	}
	mean := float64(sum) / float64(count)
	h.noteService(mean)
	return h.crowding(), count
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
	return recent / h.baseMicros
}
