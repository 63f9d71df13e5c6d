package sidecar

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// slowStart is the time over which the weight of a new or formerly ejected
	// member grows to its full value.
	slowStart = 10 * time.Second
	// slowStartShare is the share of the full weight at the beginning of the slow
	// start.
	slowStartShare = 0.1
	// minSuccessShare is the lowest share of successes in the weight. It bounds
	// the cost of a member whose requests all fail.
	minSuccessShare = 1.0 / 64
	// unknownLatency stands for the latency of a member that has not answered
	// yet.
	unknownLatency = 0
)

// isCheaper reports whether a new request costs less at a than at b. If either
// latency is unknown, both members count as equally fast.
func isCheaper(a, b *Member, class carobkeel.Class, now int64) bool {
	latencyA, latencyB := a.Stats.LatencyMicros.Load(), b.Stats.LatencyMicros.Load()
	if latencyA == unknownLatency || latencyB == unknownLatency {
		latencyA, latencyB = 1, 1
	}
	return a.requestsPerSlot(class)*float64(latencyA)*b.weight(now) < b.requestsPerSlot(class)*float64(latencyB)*a.weight(now)
}

// limit returns how many requests the sidecar runs at once: the limit that it
// reported last, or its slots if it has reported none.
func (m *Member) limit() int64 {
	if reported := m.Stats.limit.Load(); reported > 0 {
		return reported
	}
	return int64(max(m.Slots, 1))
}

// requestsAhead returns the number of requests at the sidecar that are served
// before a new one of the class: those in flight from this entry, or those of all
// entries by the sidecar's last report, whichever is more.
func (m *Member) requestsAhead(class carobkeel.Class) int64 {
	return max(m.Stats.InFlight(class), m.Stats.reported[class].Load())
}

// IsBusy reports whether a new request of the class would wait for a slot.
func (m *Member) IsBusy(class carobkeel.Class) bool { return m.requestsAhead(class) >= m.limit() }

// requestsPerSlot returns the number of requests for each slot, including the new
// one.
func (m *Member) requestsPerSlot(class carobkeel.Class) float64 {
	return float64(m.requestsAhead(class)+1) / float64(m.limit())
}

// weight returns the relative share of requests, in 0..1, that the member gets
// among members of equal latency and load: the square of its share of successes,
// reduced during its slow start.
func (m *Member) weight(now int64) float64 {
	weight := 1.0
	if share := m.Stats.failures.Load(); share != 0 {
		success := max(1-float64(share)/failureUnit, minSuccessShare)
		weight = success * success
	}
	if age := now - m.Stats.slowStartFrom.Load(); age < int64(slowStart) {
		weight *= max(float64(age)/float64(slowStart), slowStartShare)
	}
	return weight
}

// serviceMicros returns the latency without the network round trip, in
// microseconds, or unknownLatency before the first answer.
func (m *Member) serviceMicros() float64 {
	latency := m.Stats.LatencyMicros.Load()
	if latency == unknownLatency {
		return unknownLatency
	}
	return float64(max(latency-m.Stats.RoundTripMicros.Load(), 1))
}

// expectedMicros returns the expected time from sending a new request to its
// answer, in microseconds, for the given service time. A request that finds no
// free slot waits for those ahead of it.
func (m *Member) expectedMicros(serviceMicros float64, class carobkeel.Class, now int64) float64 {
	roundTrip := float64(m.Stats.RoundTripMicros.Load())
	return roundTrip + serviceMicros*max(m.requestsPerSlot(class), 1)/m.weight(now)
}
