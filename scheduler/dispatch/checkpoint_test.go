package dispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// checkpointFixture is a core with one task that saves its progress.
func checkpointFixture() *evidenceFixture {
	f := newEvidenceFixture()
	job := f.job()
	job.Steps[0].SavesProgress = true
	f.core.AddJob(job, false)
	return f
}

func (f *evidenceFixture) end(number uint64, run int, outcome runs.Outcome, checkpoint string) {
	f.listing(dispatch.WorkerListing{Number: number, Requested: number, Ends: []runs.End{
		{Number: number, Task: f.task, Run: run, Outcome: outcome, Checkpoint: checkpoint},
	}})
}

// Guards against lost work: the checkpoint of a stopped run was not stored, and its worker forgot it
// with the acknowledgement of the end.
func TestCheckpointOfAnEndIsStoredBeforeTheEndIsAcknowledged(t *testing.T) {
	g := NewWithT(t)
	f := checkpointFixture()
	run := f.starts()[0]
	f.answer(dispatch.OrderStart, run, runs.ResultOK, 1)
	f.store()
	f.end(2, run, runs.OutcomeStopped, "saved")
	for _, o := range f.core.Finish().Orders {
		g.Expect(o.Kind).NotTo(Equal(dispatch.OrderAcknowledge))
	}
	batch := f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 1 << 20})
	g.Expect(batch.Progress).To(HaveLen(1))
	g.Expect(batch.Progress[0].Tasks).To(Equal([]dispatch.TaskProgress{{Task: f.task, Checkpoint: "saved"}}))
	f.core.BatchStored(batch)
	g.Expect(f.core.Finish().Orders).To(ContainElement(HaveField("Kind", dispatch.OrderAcknowledge)))
}

// Guards against lost work: the late end of an earlier run took the place of a newer checkpoint.
func TestCheckpointOfAnEarlierRunDoesNotReplaceANewerOne(t *testing.T) {
	g := NewWithT(t)
	f := checkpointFixture()
	first := f.starts()[0]
	f.answer(dispatch.OrderStart, first, runs.ResultOK, 1)
	f.list(2, 2)
	f.list(3, 3) // the first run is gone
	second := f.starts()[0]
	f.listing(dispatch.WorkerListing{Number: 4, Requested: 4, Running: []runs.Running{{Task: f.task, Run: second, Checkpoint: "newer"}}})
	f.listing(dispatch.WorkerListing{
		Number: 5, Requested: 5, Running: []runs.Running{{Task: f.task, Run: second}},
		Ends: []runs.End{{Number: 1, Task: f.task, Run: first, Outcome: runs.OutcomeStopped, Checkpoint: "older"}},
	})
	f.list(6, 6)
	f.list(7, 7) // the second run is gone
	for _, o := range f.core.Finish().Orders {
		if o.Kind == dispatch.OrderStart {
			g.Expect(o.Checkpoint).To(Equal("newer"))
		}
	}
}
