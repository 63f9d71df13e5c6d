package dispatch_test

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

func TestRecordsOfEndedJobsExpire(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000)
	for n := range 25 {
		sim.submit(n, 0, step(1, 1000))
	}
	cancelled := sim.submit(100, 0, step(1, 64_000_000))
	sim.run(time.Second)
	sim.store.cancel[cancelled] = true
	sim.run(9 * time.Minute)
	g.Expect(sim.store.progress).To(HaveLen(26))
	g.Expect(sim.visibleStates).To(HaveKeyWithValue(cancelled, carobkeel.JobCancelled))
	sim.run(2 * time.Minute)
	g.Expect(sim.store.progress).To(BeEmpty())
	g.Expect(sim.store.jobs).To(BeEmpty())
	g.Expect(sim.visibleStates).To(BeEmpty())
}

// TestBatchesStayWithinTransactionLimit uses more workers and jobs at one time
// than a transaction has entries. All must be recorded, and all ends
// acknowledged.
func TestBatchesStayWithinTransactionLimit(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(slices.Repeat([]int64{8000}, 150)...)
	for n := range 300 {
		sim.submit(n, 0, step(1, 1000))
	}
	sim.run(5 * time.Second)
	g.Expect(sim.record.Violations).To(BeEmpty())
	g.Expect(sim.store.workers).To(HaveLen(150))
	for job, state := range sim.visibleStates {
		g.Expect(state).To(Equal(carobkeel.JobCompleted), string(job))
	}
	for _, s := range sim.workers {
		listing, _, _ := s.worker.List(context.Background(), s.envelope(1, sim.now), s.acked[s.state.Description.Incarnation], 0)
		g.Expect(listing.Ends).To(BeEmpty())
	}
}

func TestNewHolderKeepsEndedJobsForRetention(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000)
	job := sim.submit(1, 0, step(1, 1000))
	sim.run(3 * time.Second)
	sim.holders[0].ended = true
	sim.takeOver()
	sim.run(9 * time.Minute)
	g.Expect(sim.visibleStates).To(HaveKeyWithValue(job, carobkeel.JobCompleted))
	sim.run(2 * time.Minute)
	g.Expect(sim.store.progress).To(BeEmpty())
}
