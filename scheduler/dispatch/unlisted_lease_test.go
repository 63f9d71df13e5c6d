package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// takenOver is the core of a holder that has just taken a shard over. An earlier holder used
// the worker of host "lost", which may run the task of an inherited job. The worker of host
// "free" has room for it.
type takenOver struct {
	core *dispatch.Core
	now  time.Duration
	ping uint64
	// startedAt is when the task was started on "free", zero while it was not.
	startedAt time.Duration
}

func incarnationOn(host string) runs.Incarnation {
	return runs.Incarnation{ID: "w-" + host, StartedAtMs: 1}
}

func newTakenOver() *takenOver {
	h := &takenOver{now: time.Hour}
	config := dispatch.Config{Epoch: 2, WorkerLease: testLease, MaxLease: testMaxLease, InheritedLease: testLease}
	lost := dispatch.WorkerRecord{Incarnation: incarnationOn("lost"), Host: "lost"}
	h.core = dispatch.New(config, h.instant(), []dispatch.WorkerRecord{lost})
	spec := longRunningJob()
	h.core.SetQueues(&carobkeel.QueueConfig{Version: 1, Queues: []carobkeel.Queue{spec.Queue}})
	h.core.AddJob(spec, true)
	h.link("free", 1)
	h.list(dispatch.WorkerListing{Host: "free"})
	h.core.BatchStored(h.core.NextBatch(dispatch.BatchLimit{Entries: 100, Bytes: 1 << 20}))
	return h
}

func (h *takenOver) instant() dispatch.Now {
	return dispatch.Now{Monotonic: h.now, Held: h.now, Wall: time.Unix(0, 0).Add(h.now)}
}

// link opens the link of a host, whose sidecar follows this holder and describes its worker.
func (h *takenOver) link(host string, id dispatch.LinkID) {
	h.core.HostLinked(host, dispatch.Link{ID: id, Process: carobkeel.Incarnation(id)})
	h.core.HostPinged(host, 1)
	h.core.HostFollows(host)
	h.core.DescribeWorker(host, runs.Description{
		Incarnation: incarnationOn(host), Service: testService, Sequence: 1,
		Capacity: carobkeel.Resources{MilliCPU: 8000, MemoryBytes: 8 << 30},
	})
}

// list applies a full listing of a host's worker.
func (h *takenOver) list(l dispatch.WorkerListing) {
	l.Incarnation, l.Number, l.Requested, l.Full = incarnationOn(l.Host), 1, 1, true
	h.core.ApplyListing(l)
}

// run advances the time. The sidecar of "free" pings meanwhile.
func (h *takenOver) run(d time.Duration) {
	for end := h.now + d; h.now < end; h.now += tick {
		h.core.Advance(h.instant())
		h.ping++
		h.core.HostPinged("free", h.ping)
		for _, order := range h.core.Finish().Orders {
			if order.Kind == dispatch.OrderStart && h.startedAt == 0 {
				h.startedAt = h.now
			}
		}
	}
}

func TestTaskDoesNotRestartUnderALeaseThatWasExtendedBeforeTheFirstListing(t *testing.T) {
	losses := map[string]func(*takenOver){
		"link lost":           func(h *takenOver) { h.core.HostLost("lost") },
		"worker unresponsive": func(h *takenOver) { h.core.WorkerUnreachable("lost", testLease) },
		"listing delayed":     func(*takenOver) {},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newTakenOver()
			h.run(testLease)
			extended := h.now
			h.link("lost", 2)
			lose(h)
			h.run(2 * testLease)
			g.Expect(h.startedAt).To(BeNumerically(">", extended+testLease))
			g.Expect(h.startedAt).To(BeNumerically("<", extended+testLease+time.Second))
		})
	}
}

func TestTaskThatMayBeUnlistedDoesNotRestartUnderALeaseThatThisHolderExtended(t *testing.T) {
	g := NewWithT(t)
	h := newTakenOver()
	h.run(testLease)
	extended := h.now
	h.link("lost", 2)
	h.list(dispatch.WorkerListing{Host: "lost", Partial: true})
	h.core.HostLost("lost")
	h.run(2 * testLease)
	g.Expect(h.startedAt).To(BeNumerically(">", extended+testLease))
	g.Expect(h.startedAt).To(BeNumerically("<", extended+testLease+time.Second))
}

func TestTaskDoesNotWaitForAnIncarnationBesideOneThatLists(t *testing.T) {
	g := NewWithT(t)
	h := newTakenOver()
	h.link("lost", 2)
	h.core.DescribeWorker("lost", runs.Description{Incarnation: runs.Incarnation{ID: "w-lost", StartedAtMs: 0}, Service: testService, Sequence: 1})
	for n := uint64(1); h.now < time.Hour+2*testLease; n++ {
		h.core.HostPinged("lost", n+1)
		h.core.ApplyListing(dispatch.WorkerListing{
			Host: "lost", Incarnation: runs.Incarnation{ID: "w-lost", StartedAtMs: 0}, Number: n, Requested: n, Full: true,
		})
		h.run(tick)
	}
	g.Expect(h.startedAt).To(BeNumerically("~", time.Hour+testLease, time.Second))
}
