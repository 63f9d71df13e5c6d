package holder

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// Versions of the rows of pagedRows.
const (
	firstPageVersion table.Version = 5
	laterVersion     table.Version = 8
	earlierJob                     = "00000000000000aa"
	laterJob                       = "00000000000000bb"
)

// pagedRows answers a scan of the jobs with two pages. Between them a later holder has taken
// over and a job was accepted. The feed is silent.
type pagedRows struct {
	table.Rows
	job []byte
}

func (r *pagedRows) Scan(_ context.Context, name, part, from string) (table.RowScan, error) {
	row := table.VersionedRow{RowID: table.RowID{Table: name, Part: part, Key: earlierJob}, Value: r.job, Version: firstPageVersion}
	switch {
	case name != TableJobs:
		return table.RowScan{Version: firstPageVersion}, nil
	case from == "":
		return table.RowScan{Rows: []table.VersionedRow{row}, Version: firstPageVersion, More: true}, nil
	}
	row.Key, row.Version = laterJob, laterVersion
	return table.RowScan{Rows: []table.VersionedRow{row}, Version: laterVersion}, nil
}

func (r *pagedRows) Follow(ctx context.Context, _ string, after table.Version, _ time.Duration) (table.RowChanges, error) {
	<-ctx.Done()
	return table.RowChanges{Next: after}, ctx.Err()
}

func newPagedNode() *Node {
	spec := carobkeel.JobSpec{
		ID: earlierJob, Queue: carobkeel.Queue{Name: "q", Service: "desk", MaxAttempts: 1}, Payload: "payload",
		Steps: []carobkeel.Step{{Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Estimate: time.Second}},
	}
	rows := &pagedRows{Rows: memory.NewRows(), job: mustEncode(wire.FromJob(&spec))}
	return New(Config{Shard: "shard"}, rows, nil, logging.Discard().For("test"))
}

func TestJobOfALaterHoldersTimeIsNotTakenFromALaterPage(t *testing.T) {
	g := NewWithT(t)
	n := newPagedNode()
	var state takeoverState
	g.Expect(n.readShard(t.Context(), &state)).To(Succeed())
	g.Expect(state.from).To(Equal(firstPageVersion))
	g.Expect(state.jobs).To(HaveLen(1))
	g.Expect(state.jobs[0].Key).To(Equal(earlierJob))
}

func TestJobOfALaterHoldersTimeIsNotTakenFromALaterPageAfterTheHistoryWasLost(t *testing.T) {
	g := NewWithT(t)
	n := newPagedNode()
	l := newLoop(n)
	l.term = t.Context()
	l.core = dispatch.New(dispatch.Config{Epoch: 1}, l.now(), nil)
	go l.followJobs(l.term, 0, 1)
	events, err := n.events.Take(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	for _, handle := range events {
		handle(l)
	}
	var added []carobkeel.JobID
	for _, change := range l.core.Finish().StateChanges {
		added = append(added, change.Job)
	}
	g.Expect(added).To(Equal([]carobkeel.JobID{earlierJob}))
}

// rewrittenCancellation answers a scan of the jobs with two pages. Between them the caller of a
// cancelled job has cancelled it again.
type rewrittenCancellation struct{ pagedRows }

func (r *rewrittenCancellation) Scan(ctx context.Context, name, part, from string) (table.RowScan, error) {
	scan, err := r.pagedRows.Scan(ctx, name, part, from)
	if name == TableJobs && from != "" {
		scan.Rows[0].Key = earlierJob + CancelSuffix
	}
	return scan, err
}

// Guards against UNASKED: a new holder left out a cancellation that was written again while it read the shard.
func TestCancellationThatIsWrittenAgainDuringATakeoverIsApplied(t *testing.T) {
	g := NewWithT(t)
	paged := newPagedNode().rows.(*trackedRows).rows.(*pagedRows)
	n := New(Config{Shard: "shard"}, &rewrittenCancellation{*paged}, nil, logging.Discard().For("test"))
	var state takeoverState
	g.Expect(n.readShard(t.Context(), &state)).To(Succeed())
	l := newLoop(n)
	l.core = dispatch.New(dispatch.Config{Epoch: 1}, l.now(), nil)
	l.addJobs(state.jobs, 1)
	l.applyCancellations(state.jobs)
	g.Expect(l.core.HasBatch()).To(BeTrue())
	g.Expect(l.core.NextBatch(dispatch.BatchLimit{Entries: batchEntries, Bytes: batchBytes}).Progress).To(
		ConsistOf(HaveField("State", carobkeel.JobCancelled)))
}
