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

// queues is a fixed list of requests by owner.
type queues map[carobkeel.Owner][]worker.Request

func (q queues) Head(owner carobkeel.Owner) (worker.Request, bool) {
	list := q[owner]
	if len(list) == 0 {
		return worker.Request{}, false
	}
	q[owner] = list[1:]
	return list[0], true
}

func batchOf(owner carobkeel.Owner, n int, demand carobkeel.Resources) []worker.Request {
	var list []worker.Request
	for i := range n {
		list = append(list, worker.Request{
			Task: carobkeel.TaskID(fmt.Sprintf("%s-%d", owner, i)), Owner: owner,
			Class: carobkeel.ClassBatch, Demand: demand,
		})
	}
	return list
}

// usageOf returns what each owner's tasks reserve, not counting tasks that are
// being evicted.
func usageOf(fleet *worker.Fleet) map[carobkeel.Owner]carobkeel.Resources {
	usage := map[carobkeel.Owner]carobkeel.Resources{}
	fleet.Each(func(w *worker.Worker) bool {
		for _, task := range w.Tasks {
			if task.Phase != worker.PhaseEvicting {
				usage[task.Owner] = usage[task.Owner].Add(task.Reserved)
			}
		}
		return true
	})
	return usage
}

// TestDominantShares is the example of the paper on dominant resource fairness:
// with 9 processors and 18 GiB, the tasks of one owner take 1 and 4, those of the
// other 3 and 1.
func TestDominantShares(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(1, cores(9, 18))
	fairness := worker.NewFairness(fleet.Total())
	waiting := queues{"a": batchOf("a", 9, cores(1, 4)), "b": batchOf("b", 9, cores(3, 1))}
	fairness.SetWaiting("a", true)
	fairness.SetWaiting("b", true)
	plan, _ := worker.PlaceFairly(fleet, fairness, waiting, 20, worker.DefaultPolicy(), 1, epoch)
	placed := map[carobkeel.Owner]int{}
	for _, a := range plan.Assignments {
		placed[a.Request.Owner]++
	}
	g.Expect(placed).To(Equal(map[carobkeel.Owner]int{"a": 3, "b": 2}))
}

func TestNextReturnsOwnerWithLowestUsage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		fairness := worker.NewFairness(cores(100, 100))
		waiting := map[carobkeel.Owner]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			owner := carobkeel.Owner(fmt.Sprint(rapid.IntRange(0, 12).Draw(rt, "owner")))
			amount := cores(rapid.Int64Range(0, 9).Draw(rt, "cores"), rapid.Int64Range(0, 9).Draw(rt, "gib"))
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				fairness.SetQuota(carobkeel.Quota{Owner: owner, Guaranteed: amount, Weight: rapid.Float64Range(0.5, 4).Draw(rt, "weight")})
			case 1:
				fairness.Charge(owner, amount)
			case 2:
				waiting[owner] = rapid.Bool().Draw(rt, "waiting")
				fairness.SetWaiting(owner, waiting[owner])
			case 3:
				fairness.SetTotal(cores(rapid.Int64Range(10, 100).Draw(rt, "total"), 100))
			}
			next, ok := fairness.Next()
			best := fairness.Standing(next)
			for other, waits := range waiting {
				if !waits {
					continue
				}
				g.Expect(ok).To(BeTrue())
				standing := fairness.Standing(other)
				g.Expect(standing.Borrowing || !best.Borrowing).To(BeTrue())
				g.Expect(standing.Borrowing != best.Borrowing || standing.Share >= best.Share).To(BeTrue())
			}
		}
	})
}

func TestOwnerReclaimsGuaranteeFromBorrowersOnly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		registry := worker.NewRegistry(fleetOf(4, cores(8, 16)))
		fairness := worker.NewFairness(registry.Fleet().Total())
		owners := []carobkeel.Owner{"a", "b", "c", "d"}
		for _, owner := range owners {
			fairness.SetQuota(carobkeel.Quota{Owner: owner, Guaranteed: cores(8, 16)})
		}
		now := epoch
		for round := range rapid.IntRange(1, 8).Draw(rt, "rounds") {
			waiting := queues{}
			for _, owner := range owners {
				n := rapid.IntRange(0, 20).Draw(rt, "n")
				waiting[owner] = batchOf(owner+carobkeel.Owner(fmt.Sprint("-", round)), n, cores(rapid.Int64Range(1, 3).Draw(rt, "cores"), 1))
				for i := range waiting[owner] {
					waiting[owner][i].Owner = owner
				}
				fairness.SetWaiting(owner, n > 0)
			}
			fleet := registry.Fleet()
			plan, _ := worker.PlaceFairly(fleet, fairness, waiting, 50, worker.DefaultPolicy(), uint64(round), now)
			if rapid.Bool().Draw(rt, "shrink") {
				registry.Update(func(e *worker.Edit) { e.SetCapacity("w0", cores(rapid.Int64Range(0, 8).Draw(rt, "to"), 16)) })
			}
			result := registry.Commit(plan)
			fairness.Settle(fleet, plan, result)
			usage := usageOf(registry.Fleet())
			for _, owner := range owners {
				g.Expect(fairness.Usage(owner)).To(Equal(usage[owner]), "owner %s", owner)
			}
			for _, evicted := range result.Evicted {
				w, _ := fleet.Worker(evicted.Worker)
				task, _ := w.Task(evicted.Task)
				g.Expect(cores(8, 16).MilliCPU).To(BeNumerically("<=", usage[task.Owner].MilliCPU),
					"owner %s fell below its guarantee", task.Owner)
			}
			now = now.Add(time.Minute)
			finishEvictions(registry, now)
		}
	})
}

// finishEvictions removes the tasks that are being evicted and starts the claimed
// tasks that then fit.
func finishEvictions(registry *worker.Registry, now time.Time) {
	registry.Update(func(e *worker.Edit) {
		registry.Fleet().Each(func(w *worker.Worker) bool {
			for _, task := range w.Tasks {
				if task.Phase == worker.PhaseEvicting {
					e.Remove(w.ID, task.ID)
				}
			}
			host, _ := e.Worker(w.ID)
			for _, task := range host.Startable() {
				e.Started(w.ID, task.ID, now)
			}
			return true
		})
	})
}

func TestGuaranteesShrinkWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	fairness := worker.NewFairness(cores(20, 20))
	fairness.SetQuota(carobkeel.Quota{Owner: "a", Guaranteed: cores(10, 10)})
	fairness.SetQuota(carobkeel.Quota{Owner: "b", Guaranteed: cores(10, 10)})
	fairness.Charge("a", cores(8, 8))
	g.Expect(fairness.WithinGuarantee("a", cores(2, 2))).To(BeTrue())
	fairness.SetTotal(cores(10, 10))
	g.Expect(fairness.WithinGuarantee("a", cores(2, 2))).To(BeFalse())
	g.Expect(fairness.CanReclaimFrom("a", cores(3, 3))).To(BeTrue())
	g.Expect(fairness.CanReclaimFrom("a", cores(4, 4))).To(BeFalse())
}

func TestUrgencyDoesNotTakeAnotherOwnersGuarantee(t *testing.T) {
	g := NewWithT(t)
	registry := worker.NewRegistry(fleetOf(1, cores(4, 8)))
	fairness := worker.NewFairness(cores(4, 8))
	fairness.SetQuota(carobkeel.Quota{Owner: "a", Guaranteed: cores(4, 8)})
	registry.Commit(worker.Plan{At: epoch, Assignments: []worker.Assignment{{Request: batchOf("a", 1, cores(4, 4))[0], Worker: "w0"}}})
	fairness.Charge("a", cores(4, 4))
	urgent := batchOf("greedy", 1, cores(1, 1))[0]
	urgent.Urgency = worker.UrgencyCritical
	policy := worker.DefaultPolicy()
	g.Expect(worker.Place(registry.Fleet(), urgent, policy, 1, epoch).Verdict).To(Equal(worker.VerdictPreempting))
	policy.Fairness = fairness
	g.Expect(worker.Place(registry.Fleet(), urgent, policy, 1, epoch).Verdict).To(Equal(worker.VerdictWaiting))
}

func TestUnsettledPlanIsNotReclaimable(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(1, cores(8, 16))
	fairness := worker.NewFairness(fleet.Total())
	fairness.SetQuota(carobkeel.Quota{Owner: "a", Guaranteed: cores(4, 8)})
	fairness.Charge("a", cores(4, 4))
	fairness.SetWaiting("a", true)
	waiting := queues{"a": batchOf("a", 1, cores(2, 2))}
	plan, _ := worker.PlaceFairly(fleet, fairness, waiting, 5, worker.DefaultPolicy(), 1, epoch)
	g.Expect(fairness.Usage("a")).To(Equal(cores(6, 6)))
	g.Expect(fairness.CanReclaimFrom("a", cores(1, 0))).To(BeFalse())
	fairness.Settle(fleet, plan, worker.NewRegistry(fleet).Commit(plan))
	g.Expect(fairness.CanReclaimFrom("a", cores(1, 0))).To(BeTrue())
}
