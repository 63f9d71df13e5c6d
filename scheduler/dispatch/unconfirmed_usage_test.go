package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/interference"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// learnBesideOrderedStart returns what is learned of the image "heavy" from a worker that lists a
// latency-critical task for a second, while a best-effort task has been ordered there and has
// not begun.
func learnBesideOrderedStart(g Gomega) []interference.PairRecord {
	f := newEvidenceFixture()
	critical := longRunningStep(1, 2000)
	critical.Image, critical.LatencyTarget = "desk", latencyTarget
	f.submitStep(latencyCriticalJob, critical)
	const metric = 16 // milliseconds, at the base load
	f.core.AddJob(&carobkeel.JobSpec{ID: heavyJob, Queue: testQueue(2, 3), Steps: []carobkeel.Step{bestEffort("heavy", 1)}}, false)
	g.Expect(f.core.Finish().Orders).To(ContainElement(HaveField("Kind", dispatch.OrderStart)))
	for n := uint64(2); n <= 6; n++ {
		f.advance(200 * time.Millisecond)
		f.core.HostPinged(evidenceHost, n)
		f.listing(dispatch.WorkerListing{Number: n, Requested: n, Running: []runs.Running{
			{Task: carobkeel.TaskName{Job: latencyCriticalJob}, Run: 1, Percent: 100, LoadMetric: metric},
		}})
	}
	f.advance(time.Second)
	batch := f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10})
	g.Expect(batch.Interference).To(HaveLen(1))
	return batch.Interference[0].Pairs
}

// Guards against HARM: a best-effort image was learned to be harmless from a run that had not
// begun.
func TestNothingIsLearnedFromARunThatHasNotBegun(t *testing.T) {
	g := NewWithT(t)
	g.Expect(learnBesideOrderedStart(g)).To(BeEmpty())
}
