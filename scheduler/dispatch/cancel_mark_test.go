package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
)

// markCore is a core without workers, whose time the test sets.
type markCore struct {
	*dispatch.Core
	now time.Duration
}

func newMarkCore() *markCore {
	c := &markCore{now: time.Hour}
	c.Core = dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: testLease}, dispatch.Now{Monotonic: c.now}, nil)
	return c
}

func (c *markCore) wait(d time.Duration) {
	c.now += d
	c.Advance(dispatch.Now{Monotonic: c.now, Held: c.now})
}

// takeMarks returns the next batch and the jobs whose marks it removes.
func (c *markCore) takeMarks() (dispatch.Batch, []carobkeel.JobID) {
	batch := c.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 1 << 20})
	var jobs []carobkeel.JobID
	for _, mark := range batch.Marks {
		jobs = append(jobs, mark.Job)
	}
	return batch, jobs
}

const markedJob = carobkeel.JobID("00000000000000bb")

func TestMarkOfACancelledJobIsRemovedAfterItsRetention(t *testing.T) {
	g := NewWithT(t)
	c := newMarkCore()
	c.KeepCancelMark(markedJob)
	c.wait(dispatch.CancelMarkRetention - time.Second)
	g.Expect(c.HasBatch()).To(BeFalse())
	g.Expect(c.Finish().Wake).To(Equal(c.now + time.Second))
	c.wait(time.Second)
	batch, jobs := c.takeMarks()
	g.Expect(jobs).To(Equal([]carobkeel.JobID{markedJob}))
	c.BatchFailed(batch)
	batch, jobs = c.takeMarks()
	g.Expect(jobs).To(Equal([]carobkeel.JobID{markedJob}))
	c.BatchStored(batch)
	g.Expect(c.HasBatch()).To(BeFalse())
}

// Guards against UNASKED: the mark of a later cancelling went with that of the first.
func TestMarkThatIsWrittenAgainStays(t *testing.T) {
	g := NewWithT(t)
	c := newMarkCore()
	c.KeepCancelMark(markedJob)
	c.wait(dispatch.CancelMarkRetention - time.Second)
	c.KeepCancelMark(markedJob)
	c.wait(dispatch.CancelMarkRetention - time.Second)
	g.Expect(c.HasBatch()).To(BeFalse())
	c.wait(time.Second)
	batch, _ := c.takeMarks()
	c.KeepCancelMark(markedJob) // while the removal is under way
	c.BatchStored(batch)
	c.wait(dispatch.CancelMarkRetention)
	_, jobs := c.takeMarks()
	g.Expect(jobs).To(Equal([]carobkeel.JobID{markedJob}))
}

func TestMarksAreRemovedInBoundedBatches(t *testing.T) {
	g := NewWithT(t)
	c := newMarkCore()
	const marks = 3200
	for n := range marks {
		c.KeepCancelMark(carobkeel.JobID(fmt.Sprintf("%016x", n)))
	}
	c.wait(dispatch.CancelMarkRetention)
	removed := 0
	for c.HasBatch() {
		batch, jobs := c.takeMarks()
		g.Expect(len(jobs)).To(And(BeNumerically(">", 0), BeNumerically("<=", 20)))
		removed += len(jobs)
		c.BatchStored(batch)
	}
	g.Expect(removed).To(Equal(marks))
}
