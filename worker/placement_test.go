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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawResources(t *rapid.T, label string, most int64) carobkeel.Resources {
	return carobkeel.Resources{
		MilliCPU:     rapid.Int64Range(0, most*1000).Draw(t, label+"-cpu"),
		MemoryBytes:  rapid.Int64Range(1, most*2).Draw(t, label+"-memory") * gib,
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1, 2}).Draw(t, label+"-accelerators"),
	}
}

func drawRequest(t *rapid.T, id int) worker.Request {
	return worker.Request{
		Task:    carobkeel.TaskID(fmt.Sprintf("t%d", id)),
		Group:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "group"),
		Class:   rapid.SampledFrom([]carobkeel.Class{carobkeel.ClassLatencyCritical, carobkeel.ClassBatch}).Draw(t, "class"),
		Urgency: rapid.SampledFrom([]worker.Urgency{worker.UrgencyLow, worker.UrgencyNormal, worker.UrgencyHigh}).Draw(t, "urgency"),
		Demand:  drawResources(t, "demand", 4),
		Home:    rapid.SampledFrom([]carobkeel.DataCentre{"", "dc0", "dc1"}).Draw(t, "home"),
		DataCentres: rapid.SampledFrom([][]carobkeel.DataCentre{nil, {"dc0"}, {"dc0", "dc1"}}).
			Draw(t, "data-centres"),
		MaxPerRack: rapid.IntRange(0, 2).Draw(t, "rack"),
	}
}

// planner plans from a snapshot that may be stale, as a slow scheduler does.
type planner struct{ snapshot *worker.Fleet }

// fleetSimulation is a registry with two planners. Its invariants are checked
// after each step.
type fleetSimulation struct {
	t        *rapid.T
	registry *worker.Registry
	planners [2]planner
	next     int
	now      time.Time
}

func (w *fleetSimulation) plan() {
	p := &w.planners[rapid.IntRange(0, 1).Draw(w.t, "planner")]
	if rapid.Bool().Draw(w.t, "refresh") {
		p.snapshot = w.registry.Fleet()
	}
	var requests []worker.Request
	for range rapid.IntRange(1, 6).Draw(w.t, "requests") {
		id := rapid.IntRange(max(0, w.next-3), w.next).Draw(w.t, "task")
		w.next = max(w.next, id+1)
		requests = append(requests, drawRequest(w.t, id))
	}
	plan, _ := worker.PlaceAll(p.snapshot, requests, worker.DefaultPolicy(), uint64(w.next), w.now)
	before := w.registry.Fleet()
	result := w.registry.Commit(plan)
	w.checkCommit(before, result.Fleet)
}

// checkCommit checks that the commit did not raise the reservations of a worker
// above its capacity.
func (w *fleetSimulation) checkCommit(before, after *worker.Fleet) {
	after.Each(func(now *worker.Worker) bool {
		then, _ := before.Worker(now.ID)
		if !now.Reserved.FitsIn(now.Capacity) && now.Reserved != then.Reserved {
			w.t.Fatalf("worker %s: reservations of %v after the commit exceed the capacity of %v", now.ID, now.Reserved, now.Capacity)
		}
		return true
	})
}

func (w *fleetSimulation) event() {
	id := workerID(rapid.IntRange(0, 7).Draw(w.t, "worker"))
	before := w.registry.Fleet()
	host, ok := before.Worker(id)
	w.registry.Update(func(e *worker.Edit) {
		switch kind := rapid.IntRange(0, 5).Draw(w.t, "kind"); {
		case kind == 0:
			e.SetCapacity(id, drawResources(w.t, "capacity", 8))
		case kind == 1:
			e.SetStatus(id, rapid.SampledFrom([]worker.Status{0, 0, 1, 2, 3}).Draw(w.t, "status"))
		case kind == 2 && ok && len(host.Tasks) > 0:
			e.Remove(id, host.Tasks[0].ID)
		case kind == 3 && ok:
			e.Apply(worker.Plan{Preemptions: worker.Shed(host, w.now), At: w.now})
		case ok:
			for _, task := range host.Startable() {
				if !e.Started(id, task.ID, w.now) {
					w.t.Fatalf("claimed task %s is startable, but Started refused it", task.ID)
				}
			}
		}
	})
	if !rapid.Bool().Draw(w.t, "finish-evictions") {
		return
	}
	w.registry.Update(func(e *worker.Edit) {
		if host, ok := e.Worker(id); ok {
			for _, task := range host.Tasks {
				if task.Phase == worker.PhaseEvicting {
					e.Remove(id, task.ID)
				}
			}
		}
	})
}

// check checks the totals of each worker, and that no task is on two workers.
func (w *fleetSimulation) check() {
	seen := map[carobkeel.TaskID]worker.ID{}
	w.registry.Fleet().Each(func(host *worker.Worker) bool {
		var reserved, claimed carobkeel.Resources
		for _, task := range host.Tasks {
			if other, ok := seen[task.ID]; ok {
				w.t.Fatalf("task %s is on workers %s and %s", task.ID, other, host.ID)
			}
			seen[task.ID] = host.ID
			if at, ok := w.registry.Locate(task.ID); !ok || at != host.ID {
				w.t.Fatalf("task %s is on worker %s, but Locate returns %q", task.ID, host.ID, at)
			}
			if task.Phase == worker.PhaseClaimed {
				claimed = claimed.Add(task.Reserved)
			} else {
				reserved = reserved.Add(task.Reserved)
			}
		}
		if host.Reserved != reserved || host.Claimed != claimed {
			w.t.Fatalf("worker %s has totals of %v reserved and %v claimed; its tasks sum to %v and %v", host.ID, host.Reserved, host.Claimed, reserved, claimed)
		}
		return true
	})
}

func TestTwoPlannersNeverCommitAHostBeyondItsCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleet := fleetOf(8, carobkeel.Resources{MilliCPU: 8000, MemoryBytes: 16 * gib, Accelerators: 2})
		w := &fleetSimulation{t: rt, registry: worker.NewRegistry(fleet), now: epoch}
		w.planners = [2]planner{{fleet}, {fleet}}
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			w.now = w.now.Add(time.Second)
			if rapid.Bool().Draw(rt, "plan-or-event") {
				w.plan()
			} else {
				w.event()
			}
			w.check()
		}
	})
}

func TestARequestWaitsOnlyWhereNoWorkerHasRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		edit := fleetOf(rapid.IntRange(1, 150).Draw(rt, "workers"), cores(1, 1)).Edit()
		edit.Each(func(w *worker.Worker) bool {
			edit.SetCapacity(w.ID, drawResources(rt, "capacity", 4))
			return true
		})
		fleet := edit.Publish()
		request := drawRequest(rt, 0)
		decision := worker.Place(fleet, request, worker.DefaultPolicy(), rapid.Uint64().Draw(rt, "seed"), epoch)
		feasible, rejections := worker.Explain(fleet, request, epoch)
		rejected := 0
		for _, n := range rejections {
			rejected += n
		}
		g.Expect(feasible + rejected).To(Equal(fleet.Len()))
		g.Expect(decision.Verdict == worker.VerdictPlaced).To(Equal(feasible > 0))
		if feasible == 0 {
			g.Expect(decision.Verdict).To(Equal(worker.VerdictNeverFits))
			g.Expect(carobkeel.CodeOf(decision.Err)).To(Equal(carobkeel.CodeNeverFits))
		}
	})
}

func TestVictimsAreSufficientAndMinimal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		registry := worker.NewRegistry(fleetOf(1, carobkeel.Resources{MilliCPU: 8000, MemoryBytes: 16 * gib, Accelerators: 4}))
		for i := range rapid.IntRange(1, 12).Draw(rt, "tasks") {
			task := drawRequest(rt, i)
			registry.Commit(worker.Plan{At: epoch, Assignments: []worker.Assignment{{Request: task, Worker: "w0"}}})
		}
		host, _ := registry.Fleet().Worker("w0")
		request := drawRequest(rt, 100)
		victims, _, ok := worker.Victims(host, &request, worker.Policy{}, epoch.Add(time.Minute))
		all := host.Claimable()
		for _, task := range host.Tasks {
			if task.Preemptible(request.Class, request.Urgency) {
				all = all.Add(task.Reserved)
			}
		}
		g.Expect(ok).To(Equal(request.Demand.FitsIn(all)))
		room := host.Claimable()
		for _, id := range victims {
			task, _ := host.Task(id)
			g.Expect(task.Class).To(Equal(carobkeel.ClassBatch))
			room = room.Add(task.Reserved)
		}
		g.Expect(!ok || request.Demand.FitsIn(room)).To(BeTrue())
		for _, id := range victims {
			task, _ := host.Task(id)
			g.Expect(request.Demand.FitsIn(room.Sub(task.Reserved))).To(BeFalse(), "victim %s is not needed", id)
		}
	})
}
