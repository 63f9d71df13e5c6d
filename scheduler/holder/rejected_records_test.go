package holder_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/faulty"
)

// maxKeyBytes is the longest key that the table service accepts.
const maxKeyBytes = 200

// limitedRows rejects rows as the table service does: keys and values that are too
// large, and the progress of one job. Progress may have a smaller bound. With panics, that
// job's progress can't even be sent.
type limitedRows struct {
	table.Rows
	rejected      carobkeel.JobID
	panics        bool
	progressBytes int
	// rejectsLearned rejects the row of learned images, whatever it holds.
	rejectsLearned bool
}

func (r *limitedRows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	for _, w := range txn.Writes {
		if r.panics && w.Table == holder.TableProgress && r.rejects(w) {
			panic("odd record")
		}
		if r.rejectsLearned && w.Table == holder.TableInterference {
			return table.RowOutcome{}, table.ErrInvalid
		}
		if len(w.Key) > maxKeyBytes || len(w.Value) > maxRowBytes || (w.Table == holder.TableProgress && r.rejects(w)) {
			return table.RowOutcome{}, table.ErrInvalid
		}
	}
	return r.Rows.Transact(ctx, txn)
}

func (r *limitedRows) rejects(progress table.RowWrite) bool {
	return progress.Key == string(r.rejected) || (r.progressBytes > 0 && len(progress.Value) > r.progressBytes)
}

func TestRecordsThatAreRejectedDoNotHoldBackOthers(t *testing.T) {
	for _, c := range []struct {
		name, host string
		rejected   carobkeel.JobID
		panics     bool
	}{
		{"worker whose key is too long", strings.Repeat("h", 300), "", false},
		{"progress of one job", "host-1", testJob(1).ID, false},
		{"progress of one job that panics", "host-1", testJob(1).ID, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := startCluster(t, 0, 0)
			f.rows = faulty.NewRows(&limitedRows{Rows: f.memory, rejected: c.rejected, panics: c.panics})
			f.startEntry(t)
			f.startWorker(t, "host-0")
			f.startWorker(t, c.host)
			f.submit(g, f.entries[0], 1)
			for n := 2; n < 8; n++ {
				job := f.submit(g, f.entries[0], n)
				g.Eventually(state(f.entries[0], job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
			}
			g.Expect(f.violations()).To(BeEmpty())
		})
	}
}

// Guards against LOST: the row of learned images was rejected together with the record of a worker, which
// was dropped for it: nothing started there any more.
func TestRejectedRowOfLearnedImagesHoldsNoWorkerBack(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 0, 0)
	f.rows = faulty.NewRows(&limitedRows{Rows: f.memory, rejectsLearned: true})
	f.startEntry(t)
	f.startWorker(t, "host-0")
	serving := longRunningJob()
	serving.Steps[0].Count, serving.Steps[0].Demand.MilliCPU = 1, 8000 // all of a worker
	serving.Steps[0].Image, serving.Steps[0].LatencyTarget = "serving", 100*time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	g.Expect(f.entries[0].jobs.Submit(ctx, serving)).To(Succeed())
	g.Eventually(state(f.entries[0], serving.ID), waitTimeout).Should(Equal(carobkeel.JobActive))
	// After this time the row goes with the next record.
	g.Consistently(state(f.entries[0], serving.ID), 2500*time.Millisecond).Should(Equal(carobkeel.JobActive))
	f.startWorker(t, "host-1")
	job := f.submit(g, f.entries[0], 2)
	g.Eventually(state(f.entries[0], job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
}
