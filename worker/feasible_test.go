package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

func TestEachRejectionNamesItsReason(t *testing.T) {
	batch := worker.Request{Task: "t", Group: "g", Class: carobkeel.ClassBatch, Demand: cores(2, 2), RunTime: time.Hour}
	service := batch
	service.Class = carobkeel.ClassLatencyCritical
	cases := []struct {
		name   string
		change func(*worker.Edit, *worker.Request)
		base   worker.Request
		want   worker.Reason
	}{
		{"fits", func(*worker.Edit, *worker.Request) {}, batch, worker.ReasonNone},
		{"data centre", func(_ *worker.Edit, r *worker.Request) { r.DataCentres = []carobkeel.DataCentre{"dc9"} }, batch, worker.ReasonDataCentre},
		{"draining", func(e *worker.Edit, _ *worker.Request) { e.SetStatus("w0", worker.StatusDraining) }, batch, worker.ReasonStatus},
		{"quarantine", func(e *worker.Edit, _ *worker.Request) { e.SetStatus("w0", worker.StatusQuarantined) }, batch, worker.ReasonQuarantined},
		{"stop too early", func(e *worker.Edit, _ *worker.Request) { e.SetStop("w0", epoch.Add(30*time.Minute)) }, batch, worker.ReasonPlannedStop},
		{"stop late enough", func(e *worker.Edit, _ *worker.Request) { e.SetStop("w0", epoch.Add(2*time.Hour)) }, batch, worker.ReasonNone},
		{"any stop for a service", func(e *worker.Edit, _ *worker.Request) { e.SetStop("w0", epoch.Add(48*time.Hour)) }, service, worker.ReasonPlannedStop},
		{"avoided", func(_ *worker.Edit, r *worker.Request) { r.Avoid = "w0" }, batch, worker.ReasonAvoided},
		{"accelerators", func(_ *worker.Edit, r *worker.Request) { r.Demand.Accelerators = 1 }, batch, worker.ReasonAccelerators},
		{"memory", func(_ *worker.Edit, r *worker.Request) { r.Demand.MemoryBytes = 9 * gib }, batch, worker.ReasonMemory},
		{"processors", func(e *worker.Edit, _ *worker.Request) {
			e.Restore("w0", &worker.Task{ID: "o", Reserved: cores(3, 1)})
		}, batch, worker.ReasonProcessors},
		{"rack spread", func(e *worker.Edit, r *worker.Request) {
			e.Restore("w0", &worker.Task{ID: "o", Group: "g", Reserved: cores(1, 1)})
			r.MaxPerRack = 1
		}, service, worker.ReasonRackSpread},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			edit, request := fleetOf(1, cores(4, 8)).Edit(), c.base
			c.change(edit, &request)
			fleet := edit.Publish()
			feasible, rejections := worker.Explain(fleet, request, epoch)
			g.Expect(feasible == 1).To(Equal(c.want == worker.ReasonNone))
			g.Expect(rejections.MostCommon()).To(Equal(c.want))
			decision := worker.Place(fleet, request, worker.DefaultPolicy(), 1, epoch)
			g.Expect(decision.Verdict == worker.VerdictPlaced).To(Equal(c.want == worker.ReasonNone))
		})
	}
}

func TestBatchIsPackedAndServicesAreSpread(t *testing.T) {
	g := NewWithT(t)
	edit := fleetOf(3, cores(8, 16)).Edit()
	edit.Restore("w1", &worker.Task{ID: "o", Reserved: cores(4, 8)})
	fleet := edit.Publish()
	request := worker.Request{Task: "t", Class: carobkeel.ClassBatch, Demand: cores(2, 4)}
	for seed := range uint64(20) {
		decision := worker.Place(fleet, request, worker.DefaultPolicy(), seed, epoch)
		g.Expect(decision.Assignment.Worker).To(BeEquivalentTo("w1"))
		spread := request
		spread.Class = carobkeel.ClassLatencyCritical
		decision = worker.Place(fleet, spread, worker.DefaultPolicy(), seed, epoch)
		g.Expect(decision.Assignment.Worker).NotTo(BeEquivalentTo("w1"))
	}
}

func TestTheHomeDataCentreComesFirst(t *testing.T) {
	g := NewWithT(t)
	fleet := fleetOf(12, cores(4, 8))
	request := worker.Request{Task: "t", Class: carobkeel.ClassBatch, Demand: cores(1, 1), Home: "dc1"}
	for seed := range uint64(20) {
		decision := worker.Place(fleet, request, worker.DefaultPolicy(), seed, epoch)
		w, _ := fleet.Worker(decision.Assignment.Worker)
		g.Expect(w.Location.DataCentre).To(BeEquivalentTo("dc1"))
	}
}

func TestUrgentWorkWaitsForTheCheapestEviction(t *testing.T) {
	g := NewWithT(t)
	edit := fleetOf(2, cores(4, 8)).Edit()
	old := epoch.Add(-time.Hour)
	edit.Restore("w0", &worker.Task{ID: "long", Class: carobkeel.ClassBatch, Reserved: cores(4, 8), StartedAt: old})
	edit.Restore("w1", &worker.Task{ID: "saved", Class: carobkeel.ClassBatch, Reserved: cores(4, 8), StartedAt: old, CheckpointedAt: epoch})
	registry := worker.NewRegistry(edit.Publish())
	urgent := worker.Request{Task: "u", Class: carobkeel.ClassBatch, Urgency: worker.UrgencyHigh, Demand: cores(2, 2)}
	late := worker.Request{Task: "l", Class: carobkeel.ClassBatch, Urgency: worker.UrgencyLow, Demand: cores(2, 2)}

	plan, decisions := worker.PlaceAll(registry.Fleet(), []worker.Request{urgent, late}, worker.DefaultPolicy(), 1, epoch)
	g.Expect(decisions[0].Verdict).To(Equal(worker.VerdictPreempting))
	g.Expect(decisions[0].Assignment.Victims).To(ConsistOf(carobkeel.TaskID("saved")))
	g.Expect(decisions[1].Verdict).To(Equal(worker.VerdictWaiting))

	result := registry.Commit(plan)
	g.Expect(result.Outcomes[0].Claimed).To(BeTrue())
	host, _ := result.Fleet.Worker("w1")
	g.Expect(host.Startable()).To(BeEmpty(), "the victim still runs")
	after := registry.Update(func(e *worker.Edit) { e.Remove("w1", "saved") })
	host, _ = after.Worker("w1")
	g.Expect(host.Startable()).To(HaveLen(1))
	g.Expect(host.Free()).To(Equal(cores(2, 6)), "the claim keeps its room")
}

func TestAShrunkWorkerShedsClaimsThenBatchThenServices(t *testing.T) {
	g := NewWithT(t)
	edit := fleetOf(1, cores(8, 16)).Edit()
	edit.Restore("w0", &worker.Task{ID: "service", Class: carobkeel.ClassLatencyCritical, Reserved: cores(4, 4)})
	edit.Restore("w0", &worker.Task{ID: "batch", Class: carobkeel.ClassBatch, Reserved: cores(4, 4)})
	host, _ := edit.Worker("w0")
	g.Expect(worker.Shed(host, epoch)).To(BeEmpty())
	edit.SetCapacity("w0", cores(5, 16))
	host, _ = edit.Worker("w0")
	g.Expect(worker.Shed(host, epoch)).To(HaveExactElements(HaveField("Task", carobkeel.TaskID("batch"))))
	edit.SetCapacity("w0", cores(2, 16))
	host, _ = edit.Worker("w0")
	g.Expect(worker.Shed(host, epoch)).To(HaveLen(2))
}

func TestNeverFitsCountsLostWorkers(t *testing.T) {
	g := NewWithT(t)
	verdict := func(fleet *worker.Fleet, demand carobkeel.Resources, dc carobkeel.DataCentre) worker.Verdict {
		request := worker.Request{Task: "t", Class: carobkeel.ClassBatch, Demand: demand, DataCentres: []carobkeel.DataCentre{dc}}
		return worker.Place(fleet, request, worker.DefaultPolicy(), 1, epoch).Verdict
	}
	edit := fleetOf(2, cores(4, 8)).Edit()
	edit.SetStatus("w0", worker.StatusLost)
	edit.SetStatus("w1", worker.StatusLost)
	lost := edit.Publish()
	g.Expect(verdict(lost, cores(2, 2), "dc0")).To(Equal(worker.VerdictWaiting))
	g.Expect(verdict(lost, cores(5, 2), "dc0")).To(Equal(worker.VerdictNeverFits))
	g.Expect(verdict(lost, cores(5, 2), "not-heard-of")).To(Equal(worker.VerdictWaiting))
	g.Expect(verdict(&worker.Fleet{}, cores(2, 2), "dc0")).To(Equal(worker.VerdictWaiting))
}
