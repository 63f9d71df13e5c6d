package submission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/submission"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/table/memory"
)

// boundedEntry returns an entry on rows, of a shard whose jobs take the given memory.
func boundedEntry(rows *memory.Rows, m holder.JobMemory) *submission.Service {
	s := entryOn(rows)
	s.BoundMemory(func() holder.JobMemory { return m })
	return s
}

// Guards against Fault: jobs were accepted without a bound on what all of them take in the memory of an entry.
func TestJobIsRefusedOnceAcceptedOnesTakeTheirMemory(t *testing.T) {
	const limit = 100 << 20
	for name, c := range map[string]struct {
		memory  holder.JobMemory
		refused bool
	}{
		"room":       {holder.JobMemory{Used: limit - 1, Limit: limit}, false},
		"none":       {holder.JobMemory{Used: limit, Limit: limit}, true},
		"no limit":   {holder.JobMemory{Used: limit}, false},
		"not stated": {holder.JobMemory{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rows := memory.NewRows()
			err := submitTo(boundedEntry(rows, c.memory), testJob)
			g.Expect(mayStart(g, rows, testJob)).To(Equal(!c.refused))
			if !c.refused {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			refusal := carobkeel.AsError(err)
			g.Expect(refusal.Code).To(Equal(carobkeel.CodeBacklog))
			g.Expect(refusal.Ran).To(Equal(carobkeel.RanNo))
			g.Expect(refusal.RetryAfter).To(BeNumerically(">=", 5*time.Second))
		})
	}
}

func TestStoredJobIsNotRefusedForTheMemory(t *testing.T) {
	g := NewWithT(t)
	rows := memory.NewRows()
	g.Expect(submitTo(entryOn(rows), testJob)).To(Succeed())
	g.Expect(submitTo(boundedEntry(rows, holder.JobMemory{Used: 2, Limit: 1}), testJob)).To(Succeed())
}
