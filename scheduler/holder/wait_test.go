package holder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against LOST: a new holder waited 11.9 s for the lease of a worker whose host was lost
// together with that of the earlier holder. This counts the waits of the product's constants;
// TestTaskRestartsAfterTheHoldersHostAndAWorkersHostAreLost plays the processes.
func TestTaskOfALostHostStartsInTimeUnderANewHolder(t *testing.T) {
	const (
		// bound is how long a task that lasts may have no run: 3 s, from 6 s after its last
		// run on.
		bound = 6*time.Second + 3*time.Second
		// workerLease is the one that cmd/carobkeel sets.
		workerLease = 3500 * time.Millisecond
		// takeoverTime is the longest time until a silent holder is replaced, unless it is
		// young and replaced one that was silent too, which gets more time.
		takeoverTime = holderSilenceTimeout + maxRankDelay + drawnDelay
		step         = 10 * time.Millisecond
	)
	g := NewWithT(t)
	lost := time.Hour
	now := lost + takeoverTime
	var p predecessors
	p.add(wire.HolderRow{Host: "lost-entry", Epoch: 1}, now)
	present := func() dispatch.Now { return dispatch.Now{Monotonic: now, Held: now, Wall: time.Unix(1_000_000, 0)} }
	gone, here := runs.Incarnation{ID: "gone", StartedAtMs: 1}, runs.Incarnation{ID: "here", StartedAtMs: 1}
	core := dispatch.New(dispatch.Config{Epoch: 2, WorkerLease: workerLease, InheritedLease: p.remainingLease(now, workerLease)},
		present(), []dispatch.WorkerRecord{{Incarnation: gone, Host: "lost"}, {Incarnation: here, Host: "kept"}})
	demand := carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}
	core.AddJob(&carobkeel.JobSpec{
		ID: "0000000000000001", Queue: carobkeel.Queue{Name: "quotes", Service: "desk", MaxAttempts: 3},
		Steps: []carobkeel.Step{{Count: 1, Demand: demand, LongRunning: true}},
	}, true)
	core.HostLinked("kept", dispatch.Link{ID: 1, Process: 1})
	core.DescribeWorker("kept", runs.Description{Incarnation: here, Service: "desk", Capacity: demand, Sequence: 1})
	core.ApplyListing(dispatch.WorkerListing{Host: "kept", Incarnation: here, Number: 1, Requested: 1, Full: true})
	for ; now < lost+bound; now += step {
		core.HostPinged("kept", 1)
		core.Advance(present())
		for _, o := range core.Finish().Orders {
			if o.Kind == dispatch.OrderStart {
				g.Expect(now-lost).To(BeNumerically(">", takeoverTime+workerLease), "the worker may run the task until then")
				return
			}
		}
	}
	t.Fatal("the task had no run for ", bound)
}
