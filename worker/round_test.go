package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

func TestLargeRequestDoesNotBlockSmallOnes(t *testing.T) {
	g := NewWithT(t)
	edit := fleetOf(2, cores(8, 16)).Edit()
	edit.Restore("w0", &worker.Task{ID: "s", Reserved: cores(6, 6)})
	edit.Restore("w1", &worker.Task{ID: "s2", Reserved: cores(6, 6)})
	fleet := edit.Publish()
	ledger := worker.NewFairness(fleet.Total())
	waiting := queues{"a": append(batchOf("a", 1, cores(4, 4)), batchOf("a2", 2, cores(1, 1))...)}
	for i := range waiting["a"] {
		waiting["a"][i].Owner = "a"
	}
	ledger.SetWaiting("a", true)
	plan, decisions := worker.PlaceFairly(fleet, ledger, waiting, 10, worker.DefaultPolicy(), 1, epoch)
	g.Expect(decisions).To(HaveLen(3))
	g.Expect(decisions[0].Verdict).To(Equal(worker.VerdictWaiting))
	g.Expect(plan.Assignments).To(HaveLen(2))
	ledger.Settle(fleet, plan, worker.Result{})
	g.Expect(ledger.Usage("a")).To(Equal(carobkeel.Resources{}), "a plan that was not committed is not charged")
}

func TestTaskIsNotPlacedBelowStartSpeed(t *testing.T) {
	g := NewWithT(t)
	l := newControlLoop(1, []string{"noisy"}, []string{"quiet"}, nil)
	for i := range 60 {
		l.step(epoch.Add(time.Duration(i)*reportStep), 0.9)
	}
	policy := worker.DefaultPolicy()
	policy.Interference, policy.MaxPenalty = l.controller, 1000
	noisy := worker.Request{Task: "n", Entry: "noisy", Class: carobkeel.ClassBatch, Demand: cores(2, 2)}
	decision := worker.Place(l.registry.Fleet(), noisy, policy, 1, epoch)
	g.Expect(decision.Verdict).To(Equal(worker.VerdictWaiting))
	g.Expect(decision.Rejections[worker.ReasonInterference]).To(Equal(3))
	quiet := noisy
	quiet.Entry = "quiet"
	g.Expect(worker.Place(l.registry.Fleet(), quiet, policy, 1, epoch).Verdict).To(Equal(worker.VerdictPlaced))
}

// reportStep is the length of the window of a controlLoop's reports.
const reportStep = 30 * time.Second
