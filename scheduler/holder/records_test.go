package holder

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/worker/runs"
)

func TestWorkerRecordUnderAnotherKeyHoldsBackNoJobs(t *testing.T) {
	g := NewWithT(t)
	n := New(Config{Shard: "shard"}, memory.NewRows(), nil, logging.Discard().For("test"))
	value := mustEncode(&wire.WorkerRow{Host: "h", ID: "w", StartedAtMs: 5})
	rows := []table.VersionedRow{
		{RowID: table.RowID{Key: "x"}, Value: value},
		{RowID: table.RowID{Key: "y"}, Value: []byte{0xc1}},
		{RowID: table.RowID{Key: "w.5"}, Value: value},
	}
	records := n.decodeWorkers(rows)
	g.Expect(records).To(Equal([]dispatch.WorkerRecord{{Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 5}, Host: "h"}}))
}

// lateRows keeps the first transaction, which gets no answer, to be carried out later.
type lateRows struct {
	table.Rows
	late *table.RowTransaction
}

func (r *lateRows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	if r.late == nil {
		txn.Conditions = slices.Clone(txn.Conditions)
		r.late = &txn
		return table.RowOutcome{}, table.ErrUnsettled
	}
	return r.Rows.Transact(ctx, txn)
}

// Guards against TWICE: a later holder knew nothing of a worker whose record was removed late,
// after the worker was back, and did not wait for its lease.
func TestLateRemovalOfAWorkersRecordLeavesItsNewOne(t *testing.T) {
	g := NewWithT(t)
	rows := &lateRows{Rows: memory.NewRows(), late: &table.RowTransaction{}}
	n := New(Config{Shard: "shard"}, rows, nil, logging.Discard().For("test"))
	worker := runs.Incarnation{ID: "w", StartedAtMs: 5}
	versions := make(map[string]table.Version)
	store := func(batch dispatch.Batch) {
		w := &batchWriter{node: n, batch: batch, workers: versions}
		g.Expect(w.run(t.Context())).To(Succeed())
	}
	record := dispatch.Batch{Workers: []dispatch.WorkerRecord{{Incarnation: worker, Host: "h"}}}
	isRecorded := func() bool {
		_, found, err := rows.Get(t.Context(), n.workerRow(worker))
		g.Expect(err).NotTo(HaveOccurred())
		return found
	}
	store(record)
	rows.late = nil
	store(dispatch.Batch{Forgotten: []runs.Incarnation{worker}})
	g.Expect(isRecorded()).To(BeFalse())
	store(record)
	_, err := rows.Transact(t.Context(), *rows.late)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(isRecorded()).To(BeTrue())
	store(dispatch.Batch{Forgotten: []runs.Incarnation{worker}})
	g.Expect(isRecorded()).To(BeFalse())
}

func TestHolderRowThatNamesNoHolderMayHideOne(t *testing.T) {
	g := NewWithT(t)
	n := New(Config{Shard: "shard"}, memory.NewRows(), nil, logging.Discard().For("test"))
	l := newLoop(n)
	l.applyHolderRow(table.VersionedRow{RowID: table.RowID{Key: holderKey}, Value: []byte{0xc1}, Version: 7})
	g.Expect(n.holderState.Load().Version).To(Equal(table.Version(7)))
	remaining := l.predecessors.remainingLease(clock.Boottime(), 3*time.Second)
	g.Expect(remaining).To(BeNumerically("~", leaseAuthority+leaseAuthoritySlack+3*time.Second, time.Second))
}

// Guards against refused callers: while one feed was silent, answers to other reads did not count.
func TestAnyAnswerShowsThatTheStoreIsReachable(t *testing.T) {
	g := NewWithT(t)
	n := New(Config{Shard: "shard"}, memory.NewRows(), nil, logging.Discard().For("test"))
	g.Expect(n.StoreAge()).To(BeNumerically(">", time.Second))
	_, err := n.Rows().Scan(t.Context(), "op", "", "config")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.StoreAge()).To(BeNumerically("<", time.Second))
}
