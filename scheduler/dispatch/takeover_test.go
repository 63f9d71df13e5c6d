package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// longRunningJob returns a job with one long-running task.
func longRunningJob() *carobkeel.JobSpec {
	return &carobkeel.JobSpec{
		ID: "00000000000000aa", Queue: testQueue(0, 3), Payload: "payload",
		Steps: []carobkeel.Step{{
			Count: 1, LongRunning: true, Demand: carobkeel.Resources{MilliCPU: 4000, MemoryBytes: 1 << 30}, Estimate: time.Second,
		}},
	}
}

// isolateWorkerAndReplaceHolder starts a long-running job, then partitions its
// worker permanently and replaces the holder. It returns the new holder and the
// partitioned host.
func isolateWorkerAndReplaceHolder(g Gomega, sim *simulation) (*holder, *host) {
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	first := sim.takeOver()
	sim.run(time.Second)
	sim.accept(longRunningJob())
	sim.run(time.Second)
	var lost *host
	for _, name := range sim.hosts {
		if len(sim.workers[name].worker.Tasks()) > 0 {
			lost = sim.workers[name]
		}
	}
	g.Expect(lost).NotTo(BeNil())
	lost.partitioned = true
	first.ended = true
	return sim.takeOver(), lost
}

// countReachableRuns returns the number of tasks that run on reachable hosts.
func countReachableRuns(sim *simulation) int {
	n := 0
	for _, name := range sim.hosts {
		if s := sim.workers[name]; !s.partitioned {
			n += len(s.worker.Tasks())
		}
	}
	return n
}

// countRunsElsewhere returns the number of tasks that run on other hosts than s.
func countRunsElsewhere(sim *simulation, s *host) int {
	n := 0
	for _, other := range sim.workers {
		if other != s {
			n += len(other.worker.Tasks())
		}
	}
	return n
}

func TestNewHolderWaitsForInheritedLease(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8000, 8000)
	isolateWorkerAndReplaceHolder(g, sim)
	sim.run(testAuthority)
	g.Expect(countReachableRuns(sim)).To(BeZero())
	sim.run(testLease + time.Second)
	g.Expect(countReachableRuns(sim)).To(Equal(1))
	g.Expect(sim.record.Violations).To(BeEmpty())
}

// The task surely does not run on the worker that has not listed.
func TestListedTaskRestartsWhileAnotherWorkerIsUnreported(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4000, 4000, 4000)
	failAfter := 3500 * time.Millisecond
	sim.work = func(_ carobkeel.TaskName, run int) standin.Work {
		return standin.Work{Duration: failAfter, Outcome: runs.OutcomeFailed, Endless: run > 1}
	}
	first := sim.takeOver()
	sim.run(time.Second)
	spec := longRunningJob()
	spec.Steps[0].Count = 3
	sim.accept(spec)
	sim.run(time.Second)
	sim.workers["host-0"].partitioned = true
	first.ended = true
	sim.takeOver()
	sim.run(failAfter - 500*time.Millisecond) // the first runs have failed
	g.Expect(countReachableRuns(sim)).To(Equal(2))
	sim.run(testAuthority + 2*testLease)
	g.Expect(sim.record.Violations).To(BeEmpty())
}

func TestNewHolderWaitsOneLeaseAfterPredecessorEnded(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8000, 8000)
	h, _ := isolateWorkerAndReplaceHolder(g, sim)
	h.core.LimitInheritedLease(testLease)
	sim.run(testLease + 500*time.Millisecond)
	g.Expect(countReachableRuns(sim)).To(Equal(1))
	g.Expect(sim.record.Violations).To(BeEmpty())
}

// Guards against TWICE: a worker whose listings get lost goes on until its lease is over.
func TestNewHolderWaitsForTheLeaseOfAFirstListingThatIsLost(t *testing.T) {
	for name, lose := range map[string]func(*host){
		"at the worker": func(s *host) { s.listingsLost = true },
		"on the link":   func(s *host) { s.cutAfterRequest = true },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(8000, 8000)
			h, silent := isolateWorkerAndReplaceHolder(g, sim)
			h.core.LimitInheritedLease(testLease)
			sim.run(testLease / 2)
			silent.partitioned = false
			lose(silent)
			sim.run(testLease + time.Second)
			g.Expect(countRunsElsewhere(sim, silent)).To(Equal(1))
			g.Expect(sim.record.Violations).To(BeEmpty())
		})
	}
}

func TestNewHolderDoesNotWaitForAWorkerThatLeft(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8000, 8000)
	h, lost := isolateWorkerAndReplaceHolder(g, sim)
	left := lost.worker.Description().Incarnation
	lost.crash()
	h.core.WorkerShutDown(lost.name, left)
	sim.run(500 * time.Millisecond)
	g.Expect(countReachableRuns(sim)).To(Equal(1))
	g.Expect(sim.record.Violations).To(BeEmpty())
}

// The sidecar follows the new holder, so the previous holder's authority does not matter.
func TestNewHolderWaitsOneLeaseForUnreachableWorker(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8000, 8000)
	_, lost := isolateWorkerAndReplaceHolder(g, sim)
	lost.partitioned, lost.workerUnreachable = false, true
	sim.run(testLease - 500*time.Millisecond)
	g.Expect(countRunsElsewhere(sim, lost)).To(BeZero())
	sim.run(time.Second)
	g.Expect(countRunsElsewhere(sim, lost)).To(Equal(1))
	g.Expect(sim.record.Violations).To(BeEmpty())
	g.Expect(sim.liveRecords()).To(HaveLen(1))
}

func TestTasksOfUnresponsiveWorkerRestartAfterLeaseExpiry(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8000, 8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Endless: true} }
	sim.takeOver()
	sim.run(time.Second)
	sim.accept(longRunningJob())
	sim.run(time.Second)
	for _, name := range sim.hosts {
		sim.workers[name].workerUnreachable = len(sim.workers[name].worker.Tasks()) > 0
	}
	sim.run(testLease + 700*time.Millisecond)
	running := 0
	for _, name := range sim.hosts {
		if s := sim.workers[name]; !s.workerUnreachable {
			running += len(s.worker.Tasks())
		}
	}
	g.Expect(running).To(Equal(1))
	g.Expect(sim.record.Violations).To(BeEmpty())
}

// liveRecords returns the incarnations on which an earlier holder may have left runs, as far as a
// later one knows.
func (sim *simulation) liveRecords() []runs.Incarnation {
	var live []runs.Incarnation
	for incarnation, record := range sim.store.workers {
		if !record.Ended {
			live = append(live, incarnation)
		}
	}
	return live
}

func TestRecordOfLostWorkerIsDropped(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8000, 8000)
	sim.takeOver()
	sim.run(time.Second)
	g.Expect(sim.liveRecords()).To(HaveLen(2))
	sim.workers["host-0"].partitioned = true
	sim.run(2*testLease + time.Second)
	g.Expect(sim.liveRecords()).To(HaveLen(1))
	sim.workers["host-0"].partitioned = false
	sim.run(time.Second)
	g.Expect(sim.liveRecords()).To(ContainElement(runs.Incarnation{ID: "w-host-0", StartedAtMs: 1}))
}

// Guards against records that grow without end: one that an earlier holder has marked as ended was
// never removed.
func TestRecordOfAnEndedWorkerIsRemovedOnceNoCallCanMatterToAnyWorker(t *testing.T) {
	for name, takeover := range map[string]bool{"same holder": false, "later holder": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(8000, 8000)
			sim.takeOver()
			sim.run(time.Second)
			sim.workers["host-0"].partitioned = true
			sim.run(2*testLease + time.Second)
			g.Expect(sim.store.workers).To(HaveLen(2))
			if takeover {
				sim.takeOver()
			}
			sim.run(runs.LongestCallDelay - 2*testLease)
			g.Expect(sim.store.workers).To(HaveLen(2))
			sim.run(testMaxLease + 2*testLease)
			g.Expect(sim.store.workers).To(HaveLen(1))
		})
	}
}

func TestWorkerThatReturnsWhileItsRecordIsDroppedIsRecordedAgain(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8000, 8000)
	_, lost := isolateWorkerAndReplaceHolder(g, sim)
	sim.run(testAuthority + testLease)
	sim.store.unavailable = true
	sim.run(500 * time.Millisecond) // the inherited lease expires
	lost.partitioned = false
	sim.run(500 * time.Millisecond)
	sim.store.unavailable = false
	sim.run(time.Second)
	g.Expect(sim.store.workers).To(HaveLen(2))
}

// The incarnation is replaced before its record is stored.
func TestRecordOfReplacedIncarnationIsDropped(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(8000)
	sim.store.unavailable = true
	sim.takeOver()
	sim.run(time.Second)
	sim.workers["host-0"].crash()
	sim.run(time.Second)
	sim.store.unavailable = false
	sim.run(time.Second)
	g.Expect(sim.store.workers).To(HaveLen(1))
	g.Expect(sim.store.workers).To(HaveKey(sim.workers["host-0"].worker.Description().Incarnation))
}

func TestRefusalOfARepeatedStartIsNotConclusive(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work {
		return standin.Work{Duration: 3 * time.Second, Outcome: runs.OutcomeDone}
	}
	sim.delay = 3 * tick
	sim.submit(1, 0, step(1, 1000))
	sim.step() // the order is sent
	for _, workerUnreachable := range []bool{true, false, true, false, false, false, false} {
		for _, name := range sim.hosts {
			sim.workers[name].workerUnreachable = workerUnreachable
		}
		sim.step()
	}
	sim.run(testLease + 5*time.Second)
	g.Expect(sim.record.Violations).To(BeEmpty())
	g.Expect(sim.visibleStates["0000000000000001"]).To(Equal(carobkeel.JobCompleted))
}
