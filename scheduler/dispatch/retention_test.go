package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
)

func TestRecordsOfEndedJobsAreRemovedAfterTheirTime(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(8000)
	for n := range 25 {
		w.submit(n, 0, step(1, 1000))
	}
	cancelled := w.submit(100, 0, step(1, 64_000_000))
	w.run(time.Second)
	w.store.cancel[cancelled] = true
	w.run(9 * time.Minute)
	g.Expect(w.store.progress).To(HaveLen(26))
	g.Expect(w.shown).To(HaveKeyWithValue(cancelled, carobkeel.JobCancelled))
	w.run(2 * time.Minute)
	g.Expect(w.store.progress).To(BeEmpty())
	g.Expect(w.store.jobs).To(BeEmpty())
	g.Expect(w.shown).To(BeEmpty())
}

func TestANewHolderKeepsEndedJobsForTheirTime(t *testing.T) {
	g := NewWithT(t)
	w := startedWorld(8000)
	job := w.submit(1, 0, step(1, 1000))
	w.run(3 * time.Second)
	w.holders[0].dead = true
	w.takeOver()
	w.run(9 * time.Minute)
	g.Expect(w.shown).To(HaveKeyWithValue(job, carobkeel.JobCompleted))
	w.run(2 * time.Minute)
	g.Expect(w.store.progress).To(BeEmpty())
}
