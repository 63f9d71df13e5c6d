package holder

import (
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
