package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// lateStartRow is a play of a late start in an incarnation that is cut off soon after it began.
type lateStartRow struct {
	// killsHolder has another holder take over before the cut, listsFirst has the incarnation list
	// before it while the store is away, and hangs has the worker hang in place of the cut.
	killsHolder, listsFirst, hangs bool
}

func (r lateStartRow) String() string {
	return fmt.Sprintf("holder killed %v, listed first %v, hangs %v", r.killsHolder, r.listsFirst, r.hangs)
}

// play loses a start, begins the worker anew with it, and cuts the host off.
func (r lateStartRow) play(broken brokenKnowledge) vanishingResult {
	w := newVanishingWorld(broken)
	p := &vanishingPlay{row: vanishingRow{history: recordedWorker, lost: lostStart, hangs: r.hangs}, world: w, host: w.hosts[0]}
	p.prepare()
	p.host.worker.Advance(time.Minute) // its clock is far ahead of the next one's
	p.loseCall()
	p.host.late.begins = true
	p.host.endWorker()
	w.run(100 * time.Millisecond)
	if r.listsFirst {
		w.store.awayUntil = w.now + 1500*time.Millisecond
	}
	p.beginWorker()
	if r.listsFirst {
		w.until(time.Second, p.host.hasListed)
	}
	if r.killsHolder {
		w.killHolder(false)
	}
	return p.cut()
}

// Guards against TWICE: a start without an answer began in the next incarnation, under the longest lease,
// and its host was cut off before that one was recorded.
func TestLateStartOfAnIncarnationThatIsCutOffAtOnceRunsOnce(t *testing.T) {
	for i := range 8 {
		r := lateStartRow{killsHolder: i&1 != 0, listsFirst: i&2 != 0, hangs: i&4 != 0}
		t.Run(r.String(), func(t *testing.T) {
			NewWithT(t).Expect(r.play(brokenKnowledge{}).violations).To(BeEmpty())
		})
	}
}

// TestRowsOfLateStartsHaveTeeth checks that a row fails once a sidecar does not stop, or does not report,
// what a late start may have begun.
func TestRowsOfLateStartsHaveTeeth(t *testing.T) {
	g := NewWithT(t)
	g.Expect(lateStartRow{}.play(brokenKnowledge{noStops: true}).violations).NotTo(BeEmpty())
	g.Expect(lateStartRow{hangs: true}.play(brokenKnowledge{noLateStarts: true}).violations).NotTo(BeEmpty())
}

// loseWorker has a worker with a task not answer any more, while another one has room. Its sidecar may
// report that an unreached incarnation may run the task by a late start.
func loseWorker(t *testing.T, lateStart bool) (z *zone, task carobkeel.TaskName) {
	t.Helper()
	z = newZone(1)
	task, host := z.submit(1, false)
	NewWithT(t).Expect(host).To(Equal("h0"))
	z.join("h1")
	z.hosts = map[string]uint64{"h1": z.hosts["h1"]}
	if lateStart {
		z.core.WorkerUnreachable("h0", 0, task)
	} else {
		z.core.WorkerUnreachable("h0", 0)
	}
	return z, task
}

// Guards against TWICE: a later incarnation that its sidecar does not reach runs a task by a late start.
func TestTaskThatAnUnreachedIncarnationMayRunWaits(t *testing.T) {
	g := NewWithT(t)
	z, task := loseWorker(t, true)
	z.run(runs.LongestCallDelay + testMaxLease)
	g.Expect(z.started[task]).To(HaveLen(1))
	z.run(2 * time.Second)
	g.Expect(z.started[task]).To(HaveLen(2), "no run of it can go on")
}

// Guards against LOST: only the task of the late start waits, and only until its worker has listed its runs
// or the sidecar takes the report back.
func TestTasksDoNotWaitForLateStartsOfOthers(t *testing.T) {
	t.Run("no late start", func(t *testing.T) {
		z, task := loseWorker(t, false)
		z.run(time.Second)
		NewWithT(t).Expect(z.started[task]).To(HaveLen(2))
	})
	t.Run("report taken back", func(t *testing.T) {
		g := NewWithT(t)
		z, task := loseWorker(t, true)
		z.run(time.Second)
		g.Expect(z.started[task]).To(HaveLen(1))
		z.core.WorkerUnreachable("h0", 0)
		z.run(time.Second)
		g.Expect(z.started[task]).To(HaveLen(2))
	})
	t.Run("later process of the sidecar", func(t *testing.T) {
		g := NewWithT(t)
		z, task := loseWorker(t, true)
		z.core.HostLost("h0")
		z.process["h0"]++
		z.core.HostLinked("h0", dispatch.Link{ID: dispatch.LinkID(z.now), Process: z.process["h0"]})
		z.core.WorkerUnreachable("h0", 0)
		z.run(5 * time.Second)
		g.Expect(z.started[task]).To(HaveLen(1), "it knows nothing of the start")
	})
	t.Run("worker lists", func(t *testing.T) {
		g := NewWithT(t)
		z, task := loseWorker(t, true)
		z.run(time.Second)
		z.link("h0")
		z.restart("h0", unansweredLate)
		z.run(time.Second)
		g.Expect(z.started[task]).To(HaveLen(2))
	})
}
