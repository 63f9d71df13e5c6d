package dispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestProgressLargerThanATransactionIsOffered(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	large := f.job()
	large.Steps[0].Count = 20_000
	f.core.AddJob(large, true)
	progress := dispatch.Progress{Job: large.ID, State: carobkeel.JobActive}
	for i := range large.Steps[0].Count {
		progress.Tasks = append(progress.Tasks, dispatch.TaskProgress{Task: carobkeel.TaskName{Job: large.ID, Index: i}, FailedRuns: []int{1}})
	}
	f.core.Restore(progress)
	f.listing(dispatch.WorkerListing{Number: 2, Requested: 2, Ends: []runs.End{{Number: 1, Task: f.task, Run: 2, Outcome: runs.OutcomeFailed}}})
	batch := f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10})
	g.Expect(batch.Progress).To(HaveLen(1))
	g.Expect(batch.Progress[0].Tasks).To(HaveLen(20_000))
}
