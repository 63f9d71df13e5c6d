package entry_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
)

func TestSlotsAreNeverOvercommittedByThreads(t *testing.T) {
	g := NewWithT(t)
	slots := entry.NewSlots(3)
	var highest atomic.Int64
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			share := slots.Share(carobkeel.OwnerClass{Owner: carobkeel.Owner(fmt.Sprint(i % 4))}, carobkeel.ShareLimits{GuaranteedShare: 0.1, Concurrency: 2})
			for range 2_000 {
				if !slots.TryAcquire(share) {
					continue
				}
				for now := int64(slots.Running()); ; {
					old := highest.Load()
					if now <= old || highest.CompareAndSwap(old, now) {
						break
					}
				}
				slots.Release(share, time.Millisecond)
			}
		})
	}
	group.Wait()
	g.Expect(highest.Load()).To(BeNumerically("<=", 3))
	g.Expect(slots.Running()).To(BeZero())
}

func TestOwnersBeyondTheLimitShareOneCount(t *testing.T) {
	g := NewWithT(t)
	slots := entry.NewSlots(1)
	for i := range entry.MaxShares {
		slots.Share(carobkeel.OwnerClass{Owner: carobkeel.Owner(fmt.Sprint(i))}, guaranteed(0))
	}
	first := slots.Share(carobkeel.OwnerClass{Owner: "further"}, guaranteed(1))
	g.Expect(slots.Share(carobkeel.OwnerClass{Owner: "yet another"}, guaranteed(0))).To(BeIdenticalTo(first))
	g.Expect(first.Owner).To(BeEmpty())
}

// TestSlowBatchLeavesGuaranteedSlotsToCriticalRequests guards against slow batch
// requests that take all slots, so that a critical request waits long for one of
// them to end. Short batch requests may take all slots.
func TestSlowBatchLeavesGuaranteedSlotsToCriticalRequests(t *testing.T) {
	for name, c := range map[string]struct {
		batchService time.Duration
		taken        int
	}{
		"slow batch":  {time.Second, 6},
		"quick batch": {20 * time.Millisecond, 8},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newQueueFixture(8, 10)
			high, low := b.slots.Share(critical, guaranteed(0.25)), b.slots.Share(batch, guaranteed(0))
			b.recordServiceTime(low, c.batchService)
			for range 100 {
				for range 2 {
					g.Expect(b.slots.TryAcquire(high)).To(BeTrue())
				}
				for range 2 {
					b.slots.Release(high, 20*time.Millisecond)
				}
				b.limiter.Tick(b.slots)
			}
			taken := 0
			for b.slots.TryAcquire(low) {
				taken++
			}
			g.Expect(taken).To(Equal(c.taken))
		})
	}
}

func TestUnusedGuaranteedSlotsAreLent(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(8, 10)
	b.slots.Share(critical, guaranteed(0.5))
	low := b.slots.Share(batch, guaranteed(0))
	b.recordServiceTime(low, time.Second)
	taken := 0
	for b.slots.TryAcquire(low) {
		taken++
	}
	g.Expect(taken).To(Equal(8))
}

func TestLimitStaysWithinTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 32).Draw(t, "slots")
		slots := entry.NewSlots(most)
		limiter := entry.NewLimiter(most)
		share := slots.Share(critical, guaranteed(0))
		for _, millis := range rapid.SliceOfN(rapid.IntRange(1, 1_000), 1, 200).Draw(t, "service") {
			for slots.TryAcquire(share) {
			}
			limiter.Tick(slots)
			for slots.Running() > 0 {
				slots.Release(share, time.Duration(millis)*time.Millisecond)
			}
			if slots.Limit() < 1 || slots.Limit() > most {
				t.Fatalf("the limit is %d, want 1 to %d", slots.Limit(), most)
			}
		}
	})
}

func TestLimitFollowsACongestedUpstream(t *testing.T) {
	g := NewWithT(t)
	const most, capacity, base = 16, 4, 20 * time.Millisecond
	slots := entry.NewSlots(most)
	limiter := entry.NewLimiter(most)
	share := slots.Share(critical, guaranteed(0))
	run := func(ticks, wanted int) {
		for range ticks {
			for range 4 {
				running := 0
				for running < wanted && slots.TryAcquire(share) {
					running++
				}
				for range running {
					slots.Release(share, base*time.Duration(max(running, capacity))/capacity)
				}
			}
			limiter.Tick(slots)
		}
	}
	run(20, 2)
	g.Expect(slots.Limit()).To(Equal(most))
	run(200, most)
	g.Expect(slots.Limit()).To(BeNumerically("~", 2*capacity, 3))
}
