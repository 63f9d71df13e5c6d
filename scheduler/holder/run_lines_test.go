package holder

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	tracedHost  = "host-1"
	tracedLease = 3 * time.Second
)

var (
	tracedTask        = carobkeel.TaskName{Job: "00000000000000aa"}
	tracedIncarnation = runs.Incarnation{ID: "i-1", StartedAtMs: 2000}
)

// tracedRun drives a core with one worker and one job of one task, and keeps the log lines of
// its decisions.
type tracedRun struct {
	core  *dispatch.Core
	epoch uint64
	now   time.Duration
	lines bytes.Buffer
}

// newTracedRun returns a core of a holder that inherits the given records of workers.
func newTracedRun(epoch uint64, inherited ...dispatch.WorkerRecord) *tracedRun {
	r := &tracedRun{epoch: epoch, now: time.Hour}
	r.core = dispatch.New(dispatch.Config{
		Epoch: carobkeel.Epoch(epoch), WorkerLease: tracedLease, MaxLease: 2 * tracedLease, InheritedLease: tracedLease,
	}, r.time(), inherited)
	r.core.SetQueues(&carobkeel.QueueConfig{Version: 1, Queues: []carobkeel.Queue{{Name: "q", Service: "s", Priority: 1}}})
	r.link(1)
	return r
}

// ready has the worker listed and recorded, and drops the lines so far.
func (r *tracedRun) ready() *tracedRun {
	r.list(1)
	r.store()
	r.lines.Reset()
	return r
}

func (r *tracedRun) time() dispatch.Now {
	return dispatch.Now{Monotonic: r.now, Held: r.now, Wall: time.Unix(1_000_000, 0)}
}

func (r *tracedRun) advance(d time.Duration) {
	r.now += d
	r.core.Advance(r.time())
}

func (r *tracedRun) link(id dispatch.LinkID) {
	r.core.HostLinked(tracedHost, dispatch.Link{ID: id, Process: 1})
	r.core.HostPinged(tracedHost, 1)
	r.core.DescribeWorker(tracedHost, runs.Description{
		Incarnation: tracedIncarnation, Service: "s", Sequence: 1, Capacity: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30},
	})
}

func (r *tracedRun) submit(inherited bool) {
	r.core.AddJob(&carobkeel.JobSpec{
		ID: tracedTask.Job, Queue: carobkeel.Queue{Name: "q", Service: "s", Priority: 1}, Payload: "payload",
		Steps: []carobkeel.Step{{Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000}, Estimate: time.Second}},
	}, inherited)
	r.log()
}

func (r *tracedRun) list(number uint64, running ...int) {
	l := dispatch.WorkerListing{Number: number, Requested: number, Full: true}
	for _, run := range running {
		l.Running = append(l.Running, runs.Running{Task: tracedTask, Run: run})
	}
	r.apply(l)
}

func (r *tracedRun) listEnd(listing, end uint64, run int) {
	r.apply(dispatch.WorkerListing{
		Number: listing, Requested: listing,
		Ends: []runs.End{{Number: end, Task: tracedTask, Run: run, Outcome: runs.OutcomeDone}},
	})
}

func (r *tracedRun) apply(l dispatch.WorkerListing) {
	l.Host, l.Incarnation = tracedHost, tracedIncarnation
	r.core.ApplyListing(l)
	r.log()
}

func (r *tracedRun) answer(run int, result runs.Result, listing uint64) {
	r.core.ApplyAnswer(dispatch.OrderAnswer{
		Host: tracedHost, Incarnation: tracedIncarnation, Kind: dispatch.OrderStart, Task: tracedTask, Run: run,
		Result: result, Listing: listing,
	})
	r.log()
}

func (r *tracedRun) store() {
	r.core.BatchStored(r.core.NextBatch(dispatch.BatchLimit{Entries: batchEntries, Bytes: batchBytes}))
	r.log()
}

func (r *tracedRun) log() {
	logger := logging.NewFactory(logging.Config{Level: "info", JSON: true}, &r.lines).For("scheduler")
	for _, d := range r.core.Finish().Decisions {
		logDecision(logger, r.epoch, &d)
	}
}

// lineHeader is what every line of the holder begins with, up to its message.
var lineHeader = regexp.MustCompile(`^\{"time":"[^"]*","level":"[a-z]*","part":"scheduler","message":`)

func (r *tracedRun) story() []string {
	var story []string
	for _, line := range strings.Split(strings.TrimSpace(r.lines.String()), "\n") {
		story = append(story, strings.TrimSuffix(lineHeader.ReplaceAllString(line, ""), "}"))
	}
	return story
}

func TestLinesOfARunFromItsOrderToItsAcknowledgement(t *testing.T) {
	r := newTracedRun(1).ready()
	r.submit(false)
	r.answer(1, runs.ResultOK, 1)
	r.list(2, 1)
	r.list(3, 1)
	r.listEnd(4, 1, 1)
	r.store()
	NewWithT(t).Expect(r.story()).To(Equal([]string{
		`"job added","detail":"q","job":"00000000000000aa","epoch":1,"queue":"q"`,
		`"run started","task":"00000000000000aa.0.0.0","run":1,"host":"host-1","epoch":1,"queue":"q"`,
		`"start answered","detail":"ok","task":"00000000000000aa.0.0.0","run":1,"host":"host-1","epoch":1,"queue":"q","listing":1`,
		`"run listed","task":"00000000000000aa.0.0.0","run":1,"host":"host-1","epoch":1,"queue":"q","listing":2`,
		`"run ended","detail":"done","task":"00000000000000aa.0.0.0","run":1,"host":"host-1","epoch":1,"queue":"q","worker":"i-1","worker_started":2000,"listing":4,"end":1,"revision":2`,
		`"job done","job":"00000000000000aa","epoch":1,"queue":"q"`,
		`"progress stored","detail":"completed","job":"00000000000000aa","epoch":1,"queue":"q","revision":2`,
		`"ends acknowledged","host":"host-1","epoch":1,"worker":"i-1","worker_started":2000,"end":1`,
	}))
}

func TestLinesOfARunWhoseAnswerWasLostShowTheRepeatedStart(t *testing.T) {
	r := newTracedRun(1).ready()
	r.submit(false)
	r.core.HostLost(tracedHost)
	r.link(2)
	r.list(2)
	r.list(3, 1)
	r.listEnd(4, 1, 1)
	NewWithT(t).Expect(r.story()).To(ContainElements(
		HavePrefix(`"run started"`),
		HavePrefix(`"start repeated","detail":"order 2 of link 2","task":"00000000000000aa.0.0.0","run":1,"host":"host-1"`),
		And(HavePrefix(`"run listed"`), HaveSuffix(`"listing":3`)),
		And(HavePrefix(`"run ended","detail":"done"`), HaveSuffix(`"listing":4,"end":1,"revision":2`)),
	))
	NewWithT(t).Expect(r.story()).NotTo(ContainElement(HavePrefix(`"start answered"`)))
}

func TestLinesOfARunThatWasGivenUpNameItsEvidenceAndItsLateEnd(t *testing.T) {
	r := newTracedRun(1).ready()
	r.submit(false)
	r.answer(1, runs.ResultUnhealthy, 1)
	r.listEnd(2, 1, 1)
	NewWithT(t).Expect(r.story()).To(ContainElements(
		And(HavePrefix(`"start answered","detail":"unhealthy"`), HaveSuffix(`"listing":1`)),
		HavePrefix(`"run given up","detail":"start refused: unhealthy","task":"00000000000000aa.0.0.0","run":1,"host":"host-1"`),
		And(HavePrefix(`"given-up run ended","detail":"done","task":"00000000000000aa.0.0.0","run":1,"host":"host-1"`),
			HaveSuffix(`"worker":"i-1","worker_started":2000,"listing":2,"end":1,"revision":2`)),
	))
}

// Guards against TWICE that can't be traced: a new holder reads the end of a run that it never knew.
func TestEndOfARunThatTheHolderNeverKnewLeavesALine(t *testing.T) {
	r := newTracedRun(2, dispatch.WorkerRecord{Incarnation: tracedIncarnation, Host: tracedHost})
	r.submit(true)
	r.listEnd(7, 3, 4)
	NewWithT(t).Expect(r.story()).To(ContainElement(
		`"unknown run ended","detail":"done, of an earlier holder","task":"00000000000000aa.0.0.0","run":4,"host":"host-1","epoch":2,"queue":"q","worker":"i-1","worker_started":2000,"listing":7,"end":3,"revision":2`,
	))
}

func TestListingThatReleasesInheritedRunsLeavesALine(t *testing.T) {
	r := newTracedRun(2, dispatch.WorkerRecord{Incarnation: tracedIncarnation, Host: tracedHost})
	r.submit(true)
	r.list(7)
	r.list(8)
	NewWithT(t).Expect(r.story()).To(ContainElement(
		`"inherited worker listed","detail":"0 running, 0 ended","host":"host-1","epoch":2,"worker":"i-1","worker_started":2000,"listing":7`,
	))
}

// Guards against a near miss that isn't counted: the end of the first of two runs that were given up.
func TestEndOfEachRunThatWasGivenUpIsReported(t *testing.T) {
	r := newTracedRun(1).ready()
	r.submit(false)
	r.answer(1, runs.ResultUnhealthy, 1)
	r.advance(time.Minute)
	r.core.HostPinged(tracedHost, 2)
	r.list(2)
	r.answer(2, runs.ResultUnhealthy, 2)
	r.listEnd(3, 1, 1)
	NewWithT(t).Expect(r.story()).To(ContainElements(
		HavePrefix(`"run given up","detail":"start refused: unhealthy","task":"00000000000000aa.0.0.0","run":1`),
		HavePrefix(`"run given up","detail":"start refused: unhealthy","task":"00000000000000aa.0.0.0","run":2`),
		HavePrefix(`"given-up run ended","detail":"done","task":"00000000000000aa.0.0.0","run":1`),
	))
}
