package holder

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// Guards against MIXED: a holder answered for a moment how many jobs wait by its term before.
func TestHolderKnowsTheWaitingJobsOnceItLeads(t *testing.T) {
	spec := carobkeel.JobSpec{
		ID: earlierJob, Queue: carobkeel.Queue{Name: "q", Service: "desk", MaxAttempts: 1}, Payload: "payload",
		Steps: []carobkeel.Step{{Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}}},
	}
	for name, jobs := range map[string]int{"a job waits": 1, "none waits": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := New(Config{Shard: "shard"}, memory.NewRows(), NewMetrics(tally.NoopScope), logging.Discard().For("test"))
			if jobs > 0 {
				write := table.RowWrite{RowID: n.jobRow(earlierJob), Value: mustEncode(wire.FromJob(&spec))}
				_, err := n.rows.Transact(t.Context(), table.RowTransaction{Writes: []table.RowWrite{write}})
				g.Expect(err).NotTo(HaveOccurred())
			}
			n.waiting.Store(&map[carobkeel.QueueName]int{"q": 7}) // of an earlier term
			l := newLoop(n)
			l.ctx = t.Context()
			state, err := n.takeOver(t.Context(), HolderState{}, "no holder")
			g.Expect(err).NotTo(HaveOccurred())
			l.finishTakeover(state, nil)
			g.Expect(n.Leading()).To(BeTrue())
			g.Expect(n.Waiting(t.Context(), "q")).To(Equal(jobs))
		})
	}
}
