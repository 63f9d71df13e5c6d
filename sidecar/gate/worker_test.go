package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

var (
	workerTime  = time.Date(2026, time.June, 1, 0, 0, 0, 0, time.UTC)
	firstWorker = &runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 1}}
)

// Guards against TWICE: a call to an earlier incarnation of a worker was carried out by the next.
func TestGenerationRisesWheneverAnotherIncarnationMayHaveBegun(t *testing.T) {
	g := NewWithT(t)
	w := gate.NewWorker(workerTime).Describe(firstWorker, workerTime)
	rises := func(next gate.Worker) {
		t.Helper()
		g.Expect(next.Generation).To(BeNumerically(">", w.Generation))
		g.Expect(next.Confirmed).To(BeFalse())
		w = next.Confirm(next.Generation)
		g.Expect(w.Confirmed).To(BeTrue())
	}
	rises(w.Describe(&runs.Description{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 2}}, workerTime))
	rises(w.Describe(firstWorker, workerTime.Add(-time.Hour)))
	rises(w.Suspect(workerTime))
	rises(w.Deny(workerTime))
	rises(w.Overtake(1))
	g.Expect(w.Describe(&runs.Description{Incarnation: firstWorker.Incarnation, Sequence: 7}, workerTime).Generation).
		To(Equal(w.Generation), "another heartbeat of the same incarnation")
}

func TestGenerationsOfALaterSidecarProcessAreHigher(t *testing.T) {
	g := NewWithT(t)
	w := gate.NewWorker(workerTime)
	for range 10 {
		w = w.Suspect(workerTime)
	}
	g.Expect(gate.NewWorker(workerTime.Add(5 * time.Second)).Generation).To(BeNumerically(">", w.Generation))
}

// The time of day was set back by a day between two processes of the sidecar.
func TestRefusedListingsOvertakeTheGenerationOfAnEarlierProcess(t *testing.T) {
	g := NewWithT(t)
	earlier := gate.NewWorker(workerTime)
	w := gate.NewWorker(workerTime.Add(-24 * time.Hour))
	refusals := 0
	for w.Generation <= earlier.Generation {
		refusals++
		w = w.Overtake(refusals)
	}
	g.Expect(refusals).To(BeNumerically("<", 20))
	for range 1000 {
		refusals++
		w = w.Overtake(refusals)
	}
	g.Expect(w.Suspect(workerTime).Generation).To(BeNumerically(">", w.Generation), "there are generations left")
}

func TestLateConfirmationOfAnEarlierGenerationDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	w := gate.NewWorker(workerTime).Describe(firstWorker, workerTime)
	next := w.Deny(workerTime).Confirm(w.Generation)
	g.Expect(next.Confirmed).To(BeFalse())
	g.Expect(next.Is(firstWorker.Incarnation)).To(BeFalse())
	g.Expect(next.Confirm(next.Generation).Is(firstWorker.Incarnation)).To(BeTrue())
}
