package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// Guards against LOST: progress that the table service had rejected was offered again together with sound
// records, which were rejected with it once more.
func TestRejectedProgressIsOfferedAgainByItself(t *testing.T) {
	g := NewWithT(t)
	limit := dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10}
	f := newEvidenceFixture()
	first, second := f.job(), f.job()
	first.ID, second.ID = "00000000000000a1", "00000000000000a2"
	f.core.AddJob(first, false)
	f.core.AddJob(second, false)
	f.core.Cancel(first.ID)
	single := limit
	single.Single = true
	rejected := f.core.NextBatch(single)
	g.Expect(rejected.Progress).To(HaveLen(1))
	f.core.BatchRejected(rejected)
	f.advance(11 * time.Second)
	f.core.Cancel(second.ID)
	var offered [][]carobkeel.JobID
	for range 2 {
		batch := f.core.NextBatch(limit)
		var jobs []carobkeel.JobID
		for _, p := range batch.Progress {
			jobs = append(jobs, p.Job)
		}
		offered = append(offered, jobs)
		f.core.BatchStored(batch)
	}
	g.Expect(offered).To(ConsistOf([]carobkeel.JobID{first.ID}, []carobkeel.JobID{second.ID}))
}
