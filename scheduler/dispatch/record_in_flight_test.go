package dispatch_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Guards against TWICE: a worker got tasks while its record was removed, so that a later holder did not wait for it.
func TestWorkerWhoseRecordIsStoredAfterItWasDroppedIsRecordedAgain(t *testing.T) {
	g := NewWithT(t)
	f := newEvidenceFixture()
	first, other := f.incarnation, runs.Incarnation{ID: "x", StartedAtMs: 2000}
	recorded := make(map[runs.Incarnation]bool)
	take := func() dispatch.Batch { return f.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10}) }
	store := func(b dispatch.Batch) {
		for _, record := range b.Workers {
			recorded[record.Incarnation] = true
		}
		for _, incarnation := range b.Forgotten {
			delete(recorded, incarnation)
		}
		f.core.BatchStored(b)
	}
	appear := func(i runs.Incarnation) {
		f.incarnation = i
		f.describe(i)
		f.list(1, 1)
	}
	next := runs.Incarnation{ID: "y", StartedAtMs: 3000}
	appear(next)
	inFlight := take()
	appear(other)
	store(inFlight)
	appear(next)
	for range 3 {
		store(take())
	}
	started := f.submit()
	isStart := func(o dispatch.Order) bool { return o.Kind == dispatch.OrderStart }
	g.Expect(slices.ContainsFunc(started, isStart)).To(BeTrue())
	g.Expect(recorded).To(HaveKey(next))
	g.Expect(recorded).NotTo(HaveKey(first))
}
