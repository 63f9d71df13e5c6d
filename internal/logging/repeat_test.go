package logging_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/logging"
)

func TestRepeatLimitSkipsRepeatsAndCountsThem(t *testing.T) {
	g := NewWithT(t)
	var limit logging.RateLimit
	start := time.Unix(1_000, 0)
	skipped, ok := limit.Allow(start)
	g.Expect(ok).To(BeTrue())
	g.Expect(skipped).To(BeZero())
	for range 3 {
		_, ok = limit.Allow(start.Add(logging.RepeatInterval - time.Nanosecond))
		g.Expect(ok).To(BeFalse())
	}
	skipped, ok = limit.Allow(start.Add(logging.RepeatInterval))
	g.Expect(ok).To(BeTrue())
	g.Expect(skipped).To(BeEquivalentTo(3))
}

func TestRepeatLimitAllowsOneOfManyConcurrentCalls(t *testing.T) {
	g := NewWithT(t)
	var limit logging.RateLimit
	var allowed atomic.Int64
	now := time.Unix(1_000, 0)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			if _, ok := limit.Allow(now); ok {
				allowed.Add(1)
			}
		})
	}
	group.Wait()
	g.Expect(allowed.Load()).To(BeEquivalentTo(1))
}
