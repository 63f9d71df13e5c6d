package worker_test

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// TestPlannersInParallel commits the plans of several goroutines; two planners
// each place the same tasks. It runs under the race detector.
func TestPlannersInParallel(t *testing.T) {
	g := NewWithT(t)
	const planners, plans, perPlan = 4, 20, 5
	registry := worker.NewRegistry(fleetOf(20, cores(8, 16)))
	accepted := make([]int, planners)
	var group sync.WaitGroup
	for p := range planners {
		group.Go(func() {
			for i := range plans {
				var requests []worker.Request
				for j := range perPlan {
					requests = append(requests, worker.Request{
						Task:  carobkeel.TaskID(fmt.Sprintf("t%d", (p/2*plans+i)*perPlan+j)),
						Class: carobkeel.ClassBatch, Demand: cores(1, 2),
					})
				}
				plan, _ := worker.PlaceAll(registry.Fleet(), requests, worker.DefaultPolicy(), uint64(p), epoch)
				accepted[p] += registry.Commit(plan).Accepted
			}
		})
	}
	group.Wait()
	placed := map[carobkeel.TaskID]bool{}
	registry.Fleet().Each(func(w *worker.Worker) bool {
		for _, task := range w.Tasks {
			g.Expect(placed).NotTo(HaveKey(task.ID), "on two workers")
			placed[task.ID] = true
		}
		return g.Expect(w.Overcommitted()).To(BeFalse())
	})
	total := 0
	for _, n := range accepted {
		total += n
	}
	g.Expect(total).To(Equal(len(placed)))
	g.Expect(total).To(BeNumerically(">=", 100), "each task was offered by two planners")
}

func TestPlanIsAppliedInPart(t *testing.T) {
	g := NewWithT(t)
	registry := worker.NewRegistry(fleetOf(2, cores(4, 8)))
	assign := func(task carobkeel.TaskID, id worker.ID, demand carobkeel.Resources) worker.Assignment {
		return worker.Assignment{Request: worker.Request{Task: task, Class: carobkeel.ClassBatch, Demand: demand}, Worker: id}
	}
	result := registry.Commit(worker.Plan{At: epoch, Assignments: []worker.Assignment{
		assign("a", "w0", cores(4, 4)), assign("b", "w0", cores(1, 1)), assign("a", "w1", cores(1, 1)),
		assign("c", "w1", cores(4, 8)), assign("d", "gone", cores(1, 1)), assign("e", "w1", cores(-1, 1)),
	}})
	g.Expect(result.Accepted).To(Equal(2))
	var codes []carobkeel.Code
	for _, outcome := range result.Outcomes {
		codes = append(codes, carobkeel.CodeOf(outcome.Err))
	}
	full := carobkeel.CodeHostFull
	g.Expect(codes).To(Equal([]carobkeel.Code{0, full, full, 0, full, carobkeel.CodeInvalidEntry}))
}

func TestClaimedTaskWaitsForEviction(t *testing.T) {
	g := NewWithT(t)
	registry := worker.NewRegistry(fleetOf(1, cores(4, 8)))
	registry.Update(func(e *worker.Edit) {
		e.Restore("w0", &worker.Task{ID: "old", Class: carobkeel.ClassBatch, Reserved: cores(4, 8)})
		e.Evicting("w0", "old")
	})
	service := worker.Request{Task: "s", Class: carobkeel.ClassLatencyCritical, Demand: cores(2, 2)}
	plan, decisions := worker.PlaceAll(registry.Fleet(), []worker.Request{service}, worker.DefaultPolicy(), 1, epoch)
	g.Expect(decisions[0].Verdict).To(Equal(worker.VerdictPreempting))
	g.Expect(decisions[0].Assignment.Victims).To(BeEmpty(), "an eviction is already in progress")
	g.Expect(registry.Commit(plan).Outcomes[0].Claimed).To(BeTrue())
	registry.Update(func(e *worker.Edit) {
		g.Expect(e.Started("w0", "s", epoch)).To(BeFalse(), "the old task still runs")
		e.Remove("w0", "old")
		g.Expect(e.Started("w0", "s", epoch)).To(BeTrue())
	})
}

func TestReservationGrowsOnlyIntoFreeCapacity(t *testing.T) {
	g := NewWithT(t)
	registry := worker.NewRegistry(fleetOf(1, cores(4, 8)))
	registry.Update(func(e *worker.Edit) {
		e.Restore("w0", &worker.Task{ID: "a", Reserved: cores(1, 1)})
		e.Restore("w0", &worker.Task{ID: "b", Reserved: cores(2, 2)})
		g.Expect(e.Reserve("w0", "a", cores(3, 1))).To(BeFalse())
		g.Expect(e.Reserve("w0", "a", cores(2, 6))).To(BeTrue())
		g.Expect(e.Reserve("w0", "b", cores(1, 1))).To(BeTrue())
	})
	w, _ := registry.Fleet().Worker("w0")
	g.Expect(w.Reserved).To(Equal(cores(3, 7)))
}
