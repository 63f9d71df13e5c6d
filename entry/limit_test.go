package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/entry"
)

// runLimiter runs the limiter for a number of ticks. In each of them up to wanted
// requests run at once, each of which takes the given time.
func runLimiter(slots *entry.Slots, limiter *entry.Limiter, ticks, wanted int, took time.Duration) {
	share := slots.Share(critical, guaranteed(0))
	for range ticks {
		running := 0
		for running < wanted && slots.TryAcquire(share) {
			running++
		}
		for range running {
			slots.Release(share, took)
		}
		limiter.Tick(slots)
	}
}

func TestLimitStaysWhereItIsNotReached(t *testing.T) {
	g := NewWithT(t)
	const slots = 64
	s, limiter := entry.NewSlots(slots), entry.NewLimiter(slots)
	runLimiter(s, limiter, 20, slots/2, 10*time.Millisecond)
	runLimiter(s, limiter, 500, slots/2, 100*time.Millisecond)
	g.Expect(s.Limit()).To(Equal(slots))
}

func TestLimitIgnoresTheJitterOfShortRequests(t *testing.T) {
	g := NewWithT(t)
	const slots = 64
	s, limiter := entry.NewSlots(slots), entry.NewLimiter(slots)
	runLimiter(s, limiter, 20, slots, 50*time.Microsecond)
	runLimiter(s, limiter, 500, slots, time.Millisecond)
	g.Expect(s.Limit()).To(Equal(slots))
}

func TestLimitStaysAboveItsMinimum(t *testing.T) {
	g := NewWithT(t)
	const slots = 64
	s, limiter := entry.NewSlots(slots), entry.NewLimiter(slots)
	runLimiter(s, limiter, 20, slots, 10*time.Millisecond)
	runLimiter(s, limiter, 500, slots, time.Second)
	g.Expect(s.Limit()).To(Equal(slots / 4))
}
