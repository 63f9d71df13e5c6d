package holder_test

import (
	"context"
	"strings"
	"testing"

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
}

func (r *limitedRows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	for _, w := range txn.Writes {
		if r.panics && w.Table == holder.TableProgress && r.rejects(w) {
			panic("odd record")
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
