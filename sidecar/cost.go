package sidecar

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// slowStart is how long a new member, or one that was ejected, takes to
	// get its full share of requests.
	slowStart = 10 * time.Second
	// slowStartShare is the share of requests that the slow start begins with.
	slowStartShare = 0.1
	// failureFloor bounds the cost of a member that fails everything.
	failureFloor = 1.0 / 64
	// unknownLatency is the latency of a member that has not answered yet.
	unknownLatency = 0
)

// isCheaper reports whether a new request costs less at a than at b. Where the
// latency of one is not known yet, both count as equally fast.
func isCheaper(a, b *Member, class carobkeel.Class, now int64) bool {
	fast, slow := a.Live.LatencyMicros.Load(), b.Live.LatencyMicros.Load()
	if fast == unknownLatency || slow == unknownLatency {
		fast, slow = 1, 1
	}
	return a.crowding(class)*float64(fast)*b.chance(now) < b.crowding(class)*float64(slow)*a.chance(now)
}

// limit returns how many requests the sidecar runs at once.
func (m *Member) limit() int64 {
	if told := m.Live.limit.Load(); told > 0 {
		return told
	}
	return int64(max(m.Slots, 1))
}

// ahead returns the requests at the sidecar that one of the class finds before
// it: those of this entry, or those of all entries by the sidecar's last word,
// whichever is more.
func (m *Member) ahead(class carobkeel.Class) int64 {
	return max(m.Live.InFlight(class), m.Live.reported[class].Load())
}

// IsBusy reports whether a new request of the class would wait for a slot.
func (m *Member) IsBusy(class carobkeel.Class) bool { return m.ahead(class) >= m.limit() }

// crowding is how many requests there are for each slot, with the new one.
func (m *Member) crowding(class carobkeel.Class) float64 {
	return float64(m.ahead(class)+1) / float64(m.limit())
}

// chance is the weight of a member against others that are as fast and as
// crowded, in 0..1: the square of its share of successes, and less than that
// during its slow start.
func (m *Member) chance(now int64) float64 {
	weight := 1.0
	if share := m.Live.failures.Load(); share != 0 {
		success := max(1-float64(share)/failureUnit, failureFloor)
		weight = success * success
	}
	if age := now - m.Live.rampFrom.Load(); age < int64(slowStart) {
		weight *= max(float64(age)/float64(slowStart), slowStartShare)
	}
	return weight
}

// serviceMicros is the latency without the way there and back, in microseconds,
// unknownLatency before the first answer.
func (m *Member) serviceMicros() float64 {
	latency := m.Live.LatencyMicros.Load()
	if latency == unknownLatency {
		return unknownLatency
	}
	return float64(max(latency-m.Live.RoundTripMicros.Load(), 1))
}

// expected is the time in microseconds that a new request takes until its answer
// where the upstream's service takes the given time. A request that finds no
// free slot waits for the ones before it.
func (m *Member) expected(service float64, class carobkeel.Class, now int64) float64 {
	roundTrip := float64(m.Live.RoundTripMicros.Load())
	return roundTrip + service*max(m.crowding(class), 1)/m.chance(now)
}
