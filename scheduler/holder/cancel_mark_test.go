package holder

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// markRemoval plays the removal of two marks, of which one was written again since.
type markRemoval struct {
	node    *Node
	rows    *memory.Rows
	written map[carobkeel.JobID]table.Version
}

const (
	markedJob   = carobkeel.JobID("00000000000000aa")
	remarkedJob = carobkeel.JobID("00000000000000bb")
)

func newMarkRemoval(g Gomega) *markRemoval {
	r := &markRemoval{rows: memory.NewRows(), written: make(map[carobkeel.JobID]table.Version)}
	r.node = New(Config{Shard: "shard"}, r.rows, nil, logging.Discard().For("test"))
	r.mark(g, markedJob)
	r.mark(g, remarkedJob)
	return r
}

func (r *markRemoval) mark(g Gomega, job carobkeel.JobID) {
	write := table.RowWrite{RowID: r.node.cancelRow(job), Value: []byte{1}}
	outcome, err := r.rows.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{write}})
	g.Expect(err).NotTo(HaveOccurred())
	r.written[job] = outcome.Version
}

func (r *markRemoval) run(g Gomega) {
	batch := dispatch.Batch{Marks: []dispatch.CancelMark{{Job: markedJob}, {Job: remarkedJob}}}
	known := map[carobkeel.JobID]table.Version{markedJob: r.written[markedJob], remarkedJob: r.written[remarkedJob]}
	r.mark(g, remarkedJob)
	w := &batchWriter{node: r.node, batch: batch, marks: known}
	g.Expect(w.run(context.Background())).To(Succeed())
}

func (r *markRemoval) isMarked(g Gomega, job carobkeel.JobID) bool {
	_, found, err := r.rows.Get(context.Background(), r.node.cancelRow(job))
	g.Expect(err).NotTo(HaveOccurred())
	return found
}

// Guards against UNASKED: the removal of an old mark took that of a later cancelling away.
func TestRemovalOfMarksLeavesThoseThatWereWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	r := newMarkRemoval(g)
	r.run(g)
	g.Expect(r.isMarked(g, markedJob)).To(BeFalse())
	g.Expect(r.isMarked(g, remarkedJob)).To(BeTrue())
}

func TestStoredCancellationsOfUnknownJobsAreMarks(t *testing.T) {
	g := NewWithT(t)
	n := New(Config{Shard: "shard"}, memory.NewRows(), nil, logging.Discard().For("test"))
	l := newLoop(n)
	l.markRows = make(map[carobkeel.JobID]table.Version)
	l.core = dispatch.New(dispatch.Config{}, dispatch.Now{}, nil)
	l.core.AddJob(&carobkeel.JobSpec{ID: remarkedJob}, false)
	l.applyCancellations([]table.VersionedRow{
		{RowID: n.cancelRow(markedJob), Version: 7},
		{RowID: n.cancelRow(remarkedJob), Version: 8},
		{RowID: n.cancelRow("odd.key"), Version: 9},
		{RowID: n.cancelRow("00000000000000cc"), Version: 10, Deleted: true},
	})
	g.Expect(l.markRows).To(Equal(map[carobkeel.JobID]table.Version{markedJob: 7}))
}
