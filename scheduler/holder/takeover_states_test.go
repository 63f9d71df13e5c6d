package holder

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

func jobOfOneTask(id carobkeel.JobID) *carobkeel.JobSpec {
	return &carobkeel.JobSpec{
		ID: id, Queue: carobkeel.Queue{Name: "quotes", Service: "desk", MaxAttempts: 3},
		Steps: []carobkeel.Step{{Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000}}},
	}
}

// Guards against MIXED: a new holder answered callers before it had counted the waiting jobs, from
// the count of its last term.
func TestNewHolderKnowsTheJobsBeforeItAnswersCallers(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	n := New(Config{Host: "a", Incarnation: 7, Shard: "shard"}, rows, NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	n.waiting.Store(&map[carobkeel.QueueName]int{"of the last term": 9})
	waiting, active := jobOfOneTask("0000000000000001"), jobOfOneTask("0000000000000002")
	progress := wire.FromProgress(&dispatch.Progress{State: carobkeel.JobActive})
	_, err := rows.Transact(t.Context(), table.RowTransaction{Writes: []table.RowWrite{
		{RowID: n.jobRow(waiting.ID), Value: mustEncode(wire.FromJob(waiting))},
		{RowID: n.jobRow(active.ID), Value: mustEncode(wire.FromJob(active))},
		{RowID: n.progressRow(string(active.ID)), Value: mustEncode(progress)},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	n.holderState.Store(&HolderState{})
	l := newLoop(n)
	l.ctx = t.Context()
	state, err := n.takeOver(t.Context(), HolderState{}, "no holder")
	g.Expect(err).NotTo(HaveOccurred())
	l.finishTakeover(state, err)
	g.Expect(n.Leading()).To(BeTrue())
	g.Expect(n.Waiting(t.Context(), waiting.Queue.Name)).To(Equal(1))
	g.Expect(n.Waiting(t.Context(), "of the last term")).To(BeZero())
	shown, known, err := n.State(t.Context(), active.ID)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(known).To(BeTrue())
	g.Expect(shown).To(Equal(carobkeel.JobActive))
}
