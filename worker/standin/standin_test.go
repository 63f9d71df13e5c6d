package standin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
)

const testWorker = "w"

var oneCore = carobkeel.Resources{MilliCPU: 1000}

func start(task carobkeel.TaskID, run uint64, until scheduler.Instant) scheduler.Command {
	return scheduler.Command{
		Kind: scheduler.CommandStart, Worker: testWorker, Incarnation: 1, Demand: oneCore, Class: carobkeel.ClassBatch,
		Ref: scheduler.RunRef{Task: task, Run: run}, GrantUntil: until,
	}
}

func TestRecordDetectsViolations(t *testing.T) {
	g := NewWithT(t)
	record := NewRecord()
	runOf := func(task carobkeel.TaskID, run uint64) []scheduler.ActiveRun {
		var c scheduler.ActiveRun
		c.Ref, c.Demand = scheduler.RunRef{Task: task, Run: run}, oneCore
		return []scheduler.ActiveRun{c}
	}
	record.update("a", runOf("t", 1), oneCore)
	g.Expect(record.Violations()).To(BeEmpty())
	record.update("b", runOf("t", 2), oneCore)
	record.update("c", append(runOf("u", 1), runOf("v", 1)...), oneCore)
	record.Cancelled("x")
	record.update("d", runOf("x", 1), oneCore)
	record.finished(scheduler.RunRef{Task: "y", Run: 1})
	record.update("e", runOf("y", 2), oneCore)
	g.Expect(record.Violations()).To(ConsistOf(
		ContainSubstring("two runs of t at a time"), ContainSubstring("over capacity"),
		ContainSubstring("after it was cancelled"), ContainSubstring("after it had completed"),
	))
}

func TestWorkerStopsExpiredRunsAndRefusesLateCommands(t *testing.T) {
	g := NewWithT(t)
	var now scheduler.Instant
	record := NewRecord()
	w := New(Config{
		ID: testWorker, Capacity: oneCore, Timing: scheduler.DefaultTiming(), Record: record,
		Now: func() scheduler.Instant { return now }, Slowdown: 3, UsageLag: 30 * time.Second,
	})
	exchange := func(commands ...scheduler.Command) scheduler.Report {
		report, err := w.Exchange(t.Context(), commands)
		g.Expect(err).NotTo(HaveOccurred())
		return report
	}
	until := scheduler.Instant(20 * time.Second)
	g.Expect(exchange(start("t", 1, until)).Running).To(HaveLen(1))
	g.Expect(exchange(start("u", 1, until)).Refused[0].Code).To(Equal(carobkeel.CodeHostFull))
	g.Expect(w.ServiceSlowdown()).To(Equal(3.0))
	w.Pause()
	now = until
	w.Resume()
	g.Expect(record.Running("t")).To(BeZero())
	report := exchange(start("t", 1, until+1))
	g.Expect(report.Refused[0].Code).To(Equal(carobkeel.CodeJobFinished))
	g.Expect(report.Ended[0].Outcome).To(Equal(scheduler.OutcomeExpired))
	g.Expect(exchange(start("u", 1, until)).Refused[0].Code).To(Equal(carobkeel.CodeLeaseExpired))
	w.Restart()
	g.Expect(exchange(start("u", 1, until+1)).Refused[0].Code).To(Equal(carobkeel.CodeStaleEpoch))
	g.Expect(record.Violations()).To(BeEmpty())
}

func TestShrunkWorkerEvictsBatchTasksFirst(t *testing.T) {
	g := NewWithT(t)
	record := NewRecord()
	w := New(Config{
		ID: testWorker, Capacity: oneCore.Add(oneCore), Timing: scheduler.DefaultTiming(), Record: record,
		Now: func() scheduler.Instant { return 0 },
	})
	service := start("service", 1, 1)
	service.Class = carobkeel.ClassLatencyCritical
	_, err := w.Exchange(t.Context(), []scheduler.Command{start("batch", 1, 1), service})
	g.Expect(err).NotTo(HaveOccurred())
	w.SetCapacity(oneCore)
	g.Expect(record.Running("service")).To(Equal(1))
	g.Expect(record.Running("batch")).To(BeZero())
	g.Expect(record.Violations()).To(BeEmpty())
}
