package worker_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

func TestEstimateCorrectsAnUnderdeclaredJob(t *testing.T) {
	g := NewWithT(t)
	sizes, declared := worker.NewSizeEstimator(), cores(1, 1)
	for i := range 30 {
		sizes.Observe(worker.TaskUsage{
			Task: carobkeel.TaskID(fmt.Sprint(i % 4)), Entry: "e", Used: cores(10, 10),
			MeasuredAt: epoch.Add(time.Duration(i) * time.Minute),
		}, declared)
	}
	got := sizes.Estimate("e", declared, epoch.Add(time.Hour))
	g.Expect(cores(10, 10).FitsIn(got.Size)).To(BeTrue())
	g.Expect(got.Size.FitsIn(cores(12, 13))).To(BeTrue())
	g.Expect(got.Clamped).To(BeFalse())
}

func TestEstimatesKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		sizes, declared := worker.NewSizeEstimator(), cores(2, 4)
		now, peak, reports, tasks := epoch, int64(0), 0, map[carobkeel.TaskID]bool{}
		for range rapid.IntRange(0, 80).Draw(rt, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "seconds")) * time.Second)
			used := carobkeel.Resources{
				MilliCPU:    rapid.Int64Range(0, 100_000).Draw(rt, "cpu"),
				MemoryBytes: rapid.Int64Range(0, 100*gib).Draw(rt, "memory"),
			}
			task := carobkeel.TaskID(fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "task")))
			sizes.Observe(worker.TaskUsage{Task: task, Entry: "e", Used: used, MeasuredAt: now}, declared)
			peak, reports, tasks[task] = max(peak, used.MemoryBytes), reports+1, true
		}
		got := sizes.Estimate("e", declared, now)
		upper := carobkeel.Resources{MilliCPU: 16 * 2000, MemoryBytes: 16 * 4 * gib}
		g.Expect(got.Size.FitsIn(upper)).To(BeTrue())
		g.Expect(got.Size.MemoryBytes).To(BeNumerically(">=", min(peak, upper.MemoryBytes)), "below the recent peak")
		g.Expect(carobkeel.Resources{MilliCPU: 500, MemoryBytes: 2 * gib}.FitsIn(got.Size)).To(BeTrue())
		if reports < 20 || len(tasks) < 3 {
			g.Expect(declared.FitsIn(got.Size)).To(BeTrue(), "smaller than declared with too few reports")
		}
	})
}

func TestEstimateGrowsAfterOutOfMemory(t *testing.T) {
	g := NewWithT(t)
	sizes, declared := worker.NewSizeEstimator(), cores(1, 1)
	size := declared
	attempts := 0
	for size.MemoryBytes < 10*gib && attempts < 10 {
		sizes.ObserveOutOfMemory("e", declared, size, epoch)
		size = sizes.Estimate("e", declared, epoch).Size
		attempts++
	}
	g.Expect(attempts).To(BeNumerically("<=", 6))
	for range 10 {
		sizes.ObserveOutOfMemory("e", declared, size, epoch)
		size = sizes.Estimate("e", declared, epoch).Size
	}
	g.Expect(size.MemoryBytes).To(Equal(16 * gib))
	g.Expect(sizes.Estimate("e", declared, epoch).Clamped).To(BeTrue())
}

func TestAnOldPeakIsForgotten(t *testing.T) {
	g := NewWithT(t)
	sizes, declared := worker.NewSizeEstimator(), cores(4, 10)
	observe := func(memory int64, from, to int) {
		for hour := from; hour < to; hour++ {
			sizes.Observe(worker.TaskUsage{
				Task: carobkeel.TaskID(fmt.Sprint(hour % 4)), Entry: "e",
				Used: cores(2, memory), MeasuredAt: epoch.Add(time.Duration(hour) * time.Hour),
			}, declared)
		}
	}
	observe(20, 0, 30)
	g.Expect(sizes.Estimate("e", declared, epoch.Add(30*time.Hour)).Size.MemoryBytes).To(Equal(24 * gib))
	observe(6, 30, 80)
	g.Expect(sizes.Estimate("e", declared, epoch.Add(80*time.Hour)).Size.MemoryBytes).To(BeNumerically("<", 10*gib))
}

func TestRunTimesAreLearned(t *testing.T) {
	g := NewWithT(t)
	sizes := worker.NewSizeEstimator()
	for range 20 {
		sizes.ObserveRunTime("e", cores(1, 1), time.Minute, 5*time.Minute, epoch)
	}
	g.Expect(sizes.EstimateRunTime("e", time.Minute)).To(BeNumerically("~", 5*time.Minute, time.Minute))
	g.Expect(sizes.EstimateRunTime("other", time.Minute)).To(Equal(time.Minute))
}
