package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// batch returns the next batch of a zone's core.
func (z *zone) batch() dispatch.Batch {
	return z.core.NextBatch(dispatch.BatchLimit{Entries: 100, Bytes: 1 << 20, Single: true})
}

// Guards against TWICE: the record of the earlier incarnation of a worker was removed although that of
// the next one could not be stored, so that a later holder knew of none.
func TestRecordOfAnEarlierIncarnationIsKeptUntilTheNextOneIsRecorded(t *testing.T) {
	g := NewWithT(t)
	z := newZone(1)
	earlier := z.incarnation("h0")
	z.born["h0"]++
	z.describe("h0")
	z.list("h0", runs.LateLease{})
	record := z.batch()
	g.Expect(record.Workers).To(HaveLen(1))
	z.core.BatchRejected(record)
	for end := z.now + runs.LongestCallDelay + testMaxLease; z.now < end; z.now += time.Second {
		z.core.Advance(z.instant())
		g.Expect(z.core.HasBatch()).To(BeFalse())
	}
	z.now += time.Second
	z.core.Advance(z.instant())
	g.Expect(z.batch().Forgotten).To(Equal([]runs.Incarnation{earlier}), "no call to it can matter any more")
}

// Guards against TWICE: a worker that was taken for another one for a while lost its record, and with it
// what the next holder has to wait for.
func TestRecordOfAWorkerThatWasTakenForAnotherIsKept(t *testing.T) {
	g := NewWithT(t)
	z := newZone(1)
	known := z.born["h0"]
	for _, born := range []int64{known + 1, known} {
		z.born["h0"] = born
		z.describe("h0")
		z.list("h0", runs.LateLease{})
		if born != known {
			z.core.BatchRejected(z.batch())
		}
	}
	z.run(runs.LongestCallDelay + testMaxLease + time.Second)
	_, host := z.submit(1, false)
	g.Expect(host).To(Equal("h0"))
	batch := z.batch()
	g.Expect(batch.Forgotten).To(BeEmpty())
	g.Expect(batch.Workers).To(BeEmpty())
}

// endedRecords drives a core and its successors with a worker that is lost again and again.
type endedRecords struct {
	core    *dispatch.Core
	now     time.Duration
	records map[runs.Incarnation]dispatch.WorkerRecord
}

func (e *endedRecords) instant() dispatch.Now {
	return dispatch.Now{Monotonic: e.now, Held: e.now, Wall: time.Unix(0, 0).Add(e.now)}
}

func (e *endedRecords) takeOver() {
	var stored []dispatch.WorkerRecord
	for _, r := range e.records {
		stored = append(stored, r)
	}
	config := dispatch.Config{Epoch: 1, WorkerLease: testLease, MaxLease: testMaxLease, InheritedLease: testLease}
	e.core = dispatch.New(config, e.instant(), stored)
}

// run lets time pass, in steps that store what there is to store.
func (e *endedRecords) run(d time.Duration) {
	for end := e.now + d; e.now < end; e.now += 250 * time.Millisecond {
		e.core.Advance(e.instant())
		e.core.Finish()
		b := e.core.NextBatch(dispatch.BatchLimit{Entries: 100, Bytes: 1 << 20})
		for _, r := range append(b.Workers, b.Ended...) {
			e.records[r.Incarnation] = r
		}
		for _, i := range b.Forgotten {
			delete(e.records, i)
		}
		e.core.BatchStored(b)
	}
}

// begin has an incarnation of the worker list.
func (e *endedRecords) begin(i runs.Incarnation) {
	e.core.HostLinked("h", dispatch.Link{ID: dispatch.LinkID(i.StartedAtMs), Process: 1})
	e.core.HostPinged("h", 1)
	e.core.DescribeWorker("h", runs.Description{Incarnation: i, Service: testService, Sequence: 1})
	e.core.ApplyListing(dispatch.WorkerListing{Host: "h", Incarnation: i, Number: 1, Requested: 1, Full: true})
}

// Guards against records that grow without end, over many restarts and takeovers, each of which begins
// the time anew for which they are kept.
func TestRecordsOfEndedWorkersStayBounded(t *testing.T) {
	const restarts = 200
	for name, c := range map[string]struct {
		id       func(i int) string
		takeover bool
	}{
		"the same ID":                     {func(int) string { return "w" }, false},
		"another ID each time":            {func(i int) string { return fmt.Sprint("w", i) }, false},
		"the same ID, and takeovers":      {func(int) string { return "w" }, true},
		"another ID each, and takeovers":  {func(i int) string { return fmt.Sprint("w", i) }, true},
		"IDs in turn, and many takeovers": {func(i int) string { return fmt.Sprint("w", i%3) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := &endedRecords{now: time.Hour, records: make(map[runs.Incarnation]dispatch.WorkerRecord)}
			e.takeOver()
			for i := range restarts {
				e.begin(runs.Incarnation{ID: c.id(i), StartedAtMs: int64(i + 1)})
				e.run(time.Second)
				g.Expect(e.records).To(HaveLen(1), "the present one")
				e.core.HostLost("h")
				e.run(testLease + time.Second)
				g.Expect(e.records).To(HaveLen(1), "the one that has ended")
				if c.takeover {
					e.takeOver()
				}
			}
			for range restarts { // the worker stays away
				e.takeOver()
				e.run(testLease)
				g.Expect(e.records).To(HaveLen(1))
			}
			e.run(runs.LongestCallDelay + testMaxLease + time.Second)
			g.Expect(e.records).To(BeEmpty())
		})
	}
}
