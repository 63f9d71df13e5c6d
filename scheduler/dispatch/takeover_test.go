package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// perpetualJob is a job with one task that lasts.
func perpetualJob() *carobkeel.JobSpec {
	return &carobkeel.JobSpec{
		ID: "00000000000000aa", Queue: testQueue(0, 3), Payload: "payload",
		Steps: []carobkeel.Step{{
			Count: 1, Perpetual: true, Demand: carobkeel.Resources{MilliCPU: 4000, MemoryBytes: 1 << 30}, Estimate: time.Second,
		}},
	}
}

// loseWorkerAndHolder starts a perpetual job, and then its worker is out of
// reach for good and its holder is replaced. It returns the new holder.
func loseWorkerAndHolder(g Gomega, w *world) (*holder, *host) {
	w.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	first := w.takeOver()
	w.run(time.Second)
	w.accept(perpetualJob())
	w.run(time.Second)
	var lost *host
	for _, name := range w.hosts {
		if len(w.workers[name].worker.Tasks()) > 0 {
			lost = w.workers[name]
		}
	}
	g.Expect(lost).NotTo(BeNil())
	lost.cut = true
	first.dead = true
	return w.takeOver(), lost
}

// runsElsewhere reports how many of the hosts that can be reached run a task.
func runsElsewhere(w *world) int {
	n := 0
	for _, name := range w.hosts {
		if s := w.workers[name]; !s.cut {
			n += len(s.worker.Tasks())
		}
	}
	return n
}

func TestNewHolderWaitsForWhatAnUnreachableWorkerMayRun(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8000, 8000)
	loseWorkerAndHolder(g, w)
	w.run(testAuthority)
	g.Expect(runsElsewhere(w)).To(BeZero())
	w.run(testLease + time.Second)
	g.Expect(runsElsewhere(w)).To(Equal(1))
	g.Expect(w.record.Wrong).To(BeEmpty())
}

func TestNewHolderWaitsOneLeaseWhereTheOldProcessHasEnded(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8000, 8000)
	h, _ := loseWorkerAndHolder(g, w)
	h.core.PredecessorGone()
	w.run(testLease + 500*time.Millisecond)
	g.Expect(runsElsewhere(w)).To(Equal(1))
	g.Expect(w.record.Wrong).To(BeEmpty())
}

func TestNewHolderDoesNotWaitForAWorkerThatLeft(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8000, 8000)
	h, lost := loseWorkerAndHolder(g, w)
	left := lost.worker.Description().Life
	lost.worker.Crash()
	h.core.WorkerLeft(lost.name, left)
	w.run(500 * time.Millisecond)
	g.Expect(runsElsewhere(w)).To(Equal(1))
	g.Expect(w.record.Wrong).To(BeEmpty())
}

func TestTasksOfASilentWorkerStartElsewhereWhenItsLeaseHasLapsed(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8000, 8000)
	w.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	w.takeOver()
	w.run(time.Second)
	w.accept(perpetualJob())
	w.run(time.Second)
	for _, name := range w.hosts {
		w.workers[name].deaf = len(w.workers[name].worker.Tasks()) > 0
	}
	w.run(testLease + 700*time.Millisecond)
	running := 0
	for _, name := range w.hosts {
		if s := w.workers[name]; !s.deaf {
			running += len(s.worker.Tasks())
		}
	}
	g.Expect(running).To(Equal(1))
	g.Expect(w.record.Wrong).To(BeEmpty())
}

func TestRecordOfALostWorkerIsDropped(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8000, 8000)
	w.takeOver()
	w.run(time.Second)
	g.Expect(w.store.workers).To(HaveLen(2))
	w.workers["host-0"].cut = true
	w.run(2*testLease + time.Second)
	g.Expect(w.store.workers).To(HaveLen(1))
	w.workers["host-0"].cut = false
	w.run(time.Second)
	g.Expect(w.store.workers).To(HaveKey(runs.Life{ID: "w-host-0", Born: 1}))
}

// A start that was sent twice may be refused once and carried out once.
func TestRefusalOfARepeatedStartIsNotConclusive(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(8000, 8000)
	w.work = func(carobkeel.TaskName, int) standin.Work {
		return standin.Work{Duration: 3 * time.Second, Outcome: runs.OutcomeDone}
	}
	w.delay = 3 * tick
	w.submit(1, 0, step(1, 1000))
	w.step() // the order is sent
	for _, deaf := range []bool{true, false, true, false, false, false, false} {
		for _, name := range w.hosts {
			w.workers[name].deaf = deaf
		}
		w.step()
	}
	w.run(testLease + 5*time.Second)
	g.Expect(w.record.Wrong).To(BeEmpty())
	g.Expect(w.shown["0000000000000001"]).To(Equal(carobkeel.JobCompleted))
}
