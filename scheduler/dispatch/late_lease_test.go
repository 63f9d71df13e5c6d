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

// lateLeaseBound is how long tasks wait for the longest lease.
const lateLeaseBound = testMaxLease + 500*time.Millisecond

// unansweredLate is what a sidecar states that has had no answer to a call to the earlier
// incarnation.
var unansweredLate = runs.LateLease{Remaining: testMaxLease + 200*time.Millisecond, Unanswered: true}

// zone is a core with hosts that each have room for one task.
type zone struct {
	core *dispatch.Core
	now  time.Duration
	// hosts maps the hosts that ping to the numbers of their pings.
	hosts map[string]uint64
	// born is the start of each host's worker, and process that of its sidecar.
	born    map[string]int64
	process map[string]carobkeel.Incarnation
	// started holds the hosts of each task's starts, and startedAt the time of the last one.
	started   map[carobkeel.TaskName][]string
	startedAt time.Duration
	runs      map[string][]runs.Running
}

// newZone returns a core with n hosts whose workers have listed.
func newZone(n int) *zone {
	z := &zone{
		now: time.Hour, hosts: make(map[string]uint64), born: make(map[string]int64),
		process: make(map[string]carobkeel.Incarnation), started: make(map[carobkeel.TaskName][]string), runs: make(map[string][]runs.Running),
	}
	z.core = dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: testLease, MaxLease: testMaxLease}, z.instant(), nil)
	for i := range n {
		z.join(fmt.Sprint("h", i))
	}
	z.run(time.Second)
	return z
}

func (z *zone) instant() dispatch.Now {
	return dispatch.Now{Monotonic: z.now, Held: z.now, Wall: time.Unix(0, 0).Add(z.now)}
}

func (z *zone) join(host string) {
	z.born[host], z.process[host] = 1000, 1
	z.link(host)
	z.describe(host)
	z.list(host, runs.LateLease{})
}

func (z *zone) link(host string) {
	z.hosts[host] = 1
	z.core.HostLinked(host, dispatch.Link{ID: dispatch.LinkID(z.now), Process: z.process[host]})
	z.core.HostPinged(host, 1)
	z.core.HostFollows(host)
}

func (z *zone) incarnation(host string) runs.Incarnation {
	return runs.Incarnation{ID: "w-" + host, StartedAtMs: z.born[host]}
}

func (z *zone) describe(host string) {
	z.core.DescribeWorker(host, runs.Description{
		Incarnation: z.incarnation(host), Service: testService, Sequence: uint64(z.now),
		Capacity: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30},
	})
}

func (z *zone) list(host string, late runs.LateLease) {
	z.core.ApplyListing(dispatch.WorkerListing{
		Host: host, Incarnation: z.incarnation(host), Number: uint64(z.now), Requested: uint64(z.now), Full: true,
		Running: z.runs[host], LateLease: late,
	})
}

// restart begins a host's worker anew under its ID.
func (z *zone) restart(host string, late runs.LateLease) {
	z.born[host]++
	z.runs[host] = nil
	z.describe(host)
	z.list(host, late)
	z.run(200 * time.Millisecond)
}

// lose cuts a host off.
func (z *zone) lose(host string) {
	z.core.HostLost(host)
	delete(z.hosts, host)
}

// run advances the time. Linked hosts ping, list and answer starts.
func (z *zone) run(d time.Duration) {
	for end := z.now + d; z.now < end; z.now += tick {
		z.core.Advance(z.instant())
		for host := range z.hosts {
			z.hosts[host]++
			z.core.HostPinged(host, z.hosts[host])
			z.list(host, runs.LateLease{})
		}
		for _, o := range z.core.Finish().Orders {
			z.apply(o)
		}
		z.core.BatchStored(z.core.NextBatch(dispatch.BatchLimit{Entries: 100, Bytes: 1 << 20}))
	}
}

func (z *zone) apply(o dispatch.Order) {
	if _, linked := z.hosts[o.Host]; !linked || o.Kind != dispatch.OrderStart {
		return
	}
	z.started[o.Task] = append(z.started[o.Task], o.Host)
	z.startedAt = z.now
	z.runs[o.Host] = append(z.runs[o.Host], runs.Running{Task: o.Task, Run: o.Run})
	z.core.ApplyAnswer(dispatch.OrderAnswer{
		Host: o.Host, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Run: o.Run, Result: runs.ResultOK, Listing: uint64(z.now),
	})
}

// submit adds a job of one task that fills a worker, and returns the task and its first host.
func (z *zone) submit(n int, longRunning bool) (carobkeel.TaskName, string) {
	job := &carobkeel.JobSpec{
		ID: carobkeel.JobID(fmt.Sprintf("%016x", n)), Queue: testQueue(0, 3), Payload: "payload",
		Steps: []carobkeel.Step{{
			Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1}, Estimate: time.Minute, LongRunning: longRunning,
		}},
	}
	task := carobkeel.TaskName{Job: job.ID}
	z.core.AddJob(job, false)
	z.run(2 * time.Second)
	if hosts := z.started[task]; len(hosts) > 0 {
		return task, hosts[0]
	}
	return task, ""
}

// waitAfterLoss loses the host of a task and returns how long the task then waits for a start.
func (z *zone) waitAfterLoss(task carobkeel.TaskName, host string) time.Duration {
	z.lose(host)
	lost, before := z.now, len(z.started[task])
	z.run(2 * testMaxLease)
	if len(z.started[task]) == before {
		return 2 * testMaxLease
	}
	return z.startedAt - lost
}

// Guards against TWICE: a listing call to the earlier incarnation of a worker lengthened the lease
// of the next one, and its tasks were started again while they ran on.
func TestTasksWaitForALeaseThatALateCallMayHaveLengthened(t *testing.T) {
	g := NewWithT(t)
	z := newZone(1)
	z.restart("h0", unansweredLate)
	reached := z.now
	task, host := z.submit(1, false)
	g.Expect(host).To(Equal("h0"))
	z.join("h1")
	lost := z.now
	wait := z.waitAfterLoss(task, host)
	g.Expect(lost + wait).To(BeNumerically(">", reached+testMaxLease))
	g.Expect(wait).To(BeNumerically("<", lateLeaseBound))
}

// Guards against LOST: a worker that has just begun anew is no reason to wait if all calls to the
// earlier incarnation were answered, also where all workers have begun anew at once.
func TestLongRunningTasksAreBackInTimeAfterARestartAndTheLossOfTheirHost(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 5 * time.Second, 9 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			g := NewWithT(t)
			z := newZone(3)
			for _, host := range []string{"h0", "h1", "h2"} {
				z.restart(host, runs.LateLease{})
			}
			z.run(after - time.Second)
			task, host := z.submit(1, true)
			g.Expect(host).NotTo(BeEmpty())
			g.Expect(z.waitAfterLoss(task, host)).To(BeNumerically("<", testLease+time.Second))
		})
	}
}

// Guards against LOST: a long-running task began where it would have to wait for the longest lease
// once the host is lost.
func TestLongRunningTasksAvoidWorkersWhoseLeaseMayBeLonger(t *testing.T) {
	g := NewWithT(t)
	z := newZone(2)
	z.restart("h0", unansweredLate)
	first, host := z.submit(1, true)
	g.Expect(host).To(Equal("h1"))
	_, host = z.submit(2, true)
	g.Expect(host).To(Equal("h0"), "no other worker has room")
	z.join("h2")
	g.Expect(z.waitAfterLoss(first, "h1")).To(BeNumerically("<", testLease+time.Second))

	z = newZone(1)
	z.restart("h0", unansweredLate)
	z.run(lateLeaseBound)
	task, host := z.submit(1, true)
	g.Expect(host).To(Equal("h0"))
	z.join("h1")
	g.Expect(z.waitAfterLoss(task, host)).To(BeNumerically("<", testLease+time.Second), "the longer lease is over")
}

func TestBatchTasksStartOnWorkersWhoseLeaseMayBeLonger(t *testing.T) {
	g := NewWithT(t)
	z := newZone(1)
	z.restart("h0", unansweredLate)
	_, host := z.submit(1, false)
	g.Expect(host).To(Equal("h0"))
}

// Guards against TWICE: a process of the sidecar that has begun since knows nothing of the calls
// of the one before.
func TestLateCallsOfAnEarlierProcessOfTheSidecarAreCounted(t *testing.T) {
	ofOthers := runs.LateLease{Remaining: unansweredLate.Remaining}
	for name, otherProcess := range map[string]bool{"first process": false, "second process": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			z := newZone(1)
			if otherProcess {
				z.core.HostLost("h0")
				z.process["h0"] = 2
				z.link("h0")
			}
			z.restart("h0", ofOthers)
			task, host := z.submit(1, false)
			g.Expect(host).To(Equal("h0"))
			z.join("h1")
			if wait := z.waitAfterLoss(task, host); otherProcess {
				g.Expect(wait).To(BeNumerically(">", testLease+time.Second))
			} else {
				g.Expect(wait).To(BeNumerically("<", testLease+time.Second))
			}
		})
	}
}

// takeOver replaces the holder by one that knows the records and has the task's job.
func (z *zone) takeOver(task carobkeel.TaskName, records ...dispatch.WorkerRecord) {
	config := dispatch.Config{Epoch: 2, WorkerLease: testLease, MaxLease: testMaxLease, InheritedLease: testLease}
	z.core = dispatch.New(config, z.instant(), records)
	z.core.AddJob(&carobkeel.JobSpec{
		ID: task.Job, Queue: testQueue(0, 3), Payload: "payload",
		Steps: []carobkeel.Step{{Count: 1, Demand: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1}, Estimate: time.Minute}},
	}, true)
}

// Guards against TWICE: what the earlier holder counted was gone with it.
func TestLaterHolderWaitsForALeaseThatALateCallMayHaveLengthened(t *testing.T) {
	for name, listing := range map[string]bool{"unlisted": false, "listed": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			z := newZone(1)
			z.born["h0"]++
			z.describe("h0")
			z.list("h0", unansweredLate)
			batch := z.core.NextBatch(dispatch.BatchLimit{Entries: 100, Bytes: 1 << 20})
			g.Expect(batch.Workers).To(HaveLen(1))
			g.Expect(batch.Workers[0].LateLease).To(BeTrue())
			z.core.BatchStored(batch)
			task, host := z.submit(1, false)
			g.Expect(host).To(Equal("h0"))
			z.takeOver(task, batch.Workers...)
			taken := z.now
			z.link("h0")
			z.describe("h0")
			if listing {
				z.list("h0", runs.LateLease{Remaining: unansweredLate.Remaining}) // by a new process
			} else {
				z.core.WorkerUnreachable("h0", 0)
			}
			z.lose("h0")
			z.join("h1")
			z.started = make(map[carobkeel.TaskName][]string)
			z.run(testMaxLease - 500*time.Millisecond)
			g.Expect(z.started[task]).To(BeEmpty())
			z.run(time.Second + 500*time.Millisecond)
			g.Expect(z.started[task]).To(Equal([]string{"h1"}))
			g.Expect(z.startedAt - taken).To(BeNumerically(">", testMaxLease))
		})
	}
}

func TestRecordOfAWorkerIsRewrittenOnceTheLongerLeaseIsOver(t *testing.T) {
	g := NewWithT(t)
	record := dispatch.WorkerRecord{Incarnation: runs.Incarnation{ID: "w-h0", StartedAtMs: 1000}, Host: "h0", LateLease: true}
	z := newZone(0)
	z.takeOver(carobkeel.TaskName{Job: "0000000000000001"}, record)
	z.join("h0")
	g.Expect(z.core.NextBatch(dispatch.BatchLimit{Entries: 100, Bytes: 1 << 20}).Workers).To(BeEmpty())
	z.core.Advance(z.instant())
	record.LateLease = false
	g.Expect(z.core.NextBatch(dispatch.BatchLimit{Entries: 100, Bytes: 1 << 20}).Workers).To(Equal([]dispatch.WorkerRecord{record}))
	g.Expect(z.core.HasBatch()).To(BeFalse())
}
