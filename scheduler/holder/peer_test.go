package holder

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// newSidecarPeer returns a peer of a host's sidecar whose link does not run.
func newSidecarPeer(n *Node, host string) *peer {
	conn, _ := net.Pipe()
	p := n.newPeer(conn)
	p.role, p.host = wire.RoleSidecar, host
	return p
}

func newTestNode() *Node {
	return New(Config{Host: "entry", Shard: "shard"}, memory.NewRows(), NewMetrics(tally.NoopScope), logging.Discard().For("test"))
}

func receive(g Gomega, p *peer, kind frame.Type, message msgp.Marshaler) error {
	f, err := wire.Encode(kind, message)
	g.Expect(err).NotTo(HaveOccurred())
	return p.handle(f)
}

// openLink returns a peer after the hello of a process of the host's sidecar, on its link with
// a number.
func openLink(g Gomega, n *Node, process, number uint64) (*peer, error) {
	p := newSidecarPeer(n, "")
	p.role = 0
	return p, receive(g, p, wire.TypeHello, &wire.Hello{Role: wire.RoleSidecar, Host: "host", Incarnation: process, Link: number})
}

// The loss of the old link is handled after the new link has opened.
func TestEndOfAnOldLinkDoesNotLoseARelinkedHost(t *testing.T) {
	g := NewWithT(t)
	n := New(Config{Host: "entry", Shard: "shard"}, memory.NewRows(), NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	l := newLoop(n)
	l.core = dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: time.Second}, l.now(), nil)
	old, newer := newSidecarPeer(n, "host"), newSidecarPeer(n, "host")
	n.sidecars.Store("host", newer)
	newer.push(func(l *loop) { l.core.HostLinked("host", newer.coreLink()) })
	old.pushLost()
	for _, handle := range n.events.TryTake(nil) {
		handle(l)
	}
	for _, d := range l.core.Finish().Decisions {
		g.Expect(d.Kind).NotTo(Equal(dispatch.DecidedLinkLost))
	}
}

// Guards against TWICE: a woken holder sent what it had decided on an old link over the new
// one, whose first listing then lacked the runs.
func TestOrdersDecidedOnAnOldLinkAreNotSentOverTheNewOne(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	n := New(Config{Host: "entry", Shard: "shard"}, memory.NewRows(), NewMetrics(scope), logging.Discard().For("test"))
	n.holderState.Store(&HolderState{})
	old, newer := newSidecarPeer(n, "host"), newSidecarPeer(n, "host")
	n.sidecars.Store("host", newer)
	dropped := func() int64 { return scope.Snapshot().Counters()["scheduler.orders_dropped+"].Value() }
	l := newLoop(n)
	l.sendOrders([]dispatch.Order{{Host: "host", Link: old.id, Kind: dispatch.OrderStop}})
	g.Expect(dropped()).To(Equal(int64(1)))
	l.sendOrders([]dispatch.Order{{Host: "host", Link: newer.id, Kind: dispatch.OrderStop}})
	g.Expect(dropped()).To(Equal(int64(1)), "the order for the new link is sent")
}

// Guards against a host without a link: a woken holder accepted a dead link of a sidecar after
// its live one, and closed the live one.
func TestLinkThatWasOpenedEarlierDoesNotReplaceALaterOne(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	hello := func(process, number uint64) (*peer, error) { return openLink(g, n, process, number) }
	live, err := hello(7, 3)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = hello(7, 2)
	g.Expect(err).To(HaveOccurred())
	g.Expect(live.isCurrent()).To(BeTrue())
	next, err := hello(7, 4)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.isCurrent()).To(BeTrue())
	next.link.Close()
	restarted, err := hello(8, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(restarted.isCurrent()).To(BeTrue(), "another process of the sidecar numbers anew")
}

// Guards against TWICE: two processes under one host's name closed each other's links, and what
// the one knew of the worker's lease released what the other had started.
func TestAnotherProcessDoesNotReplaceALinkThatGoesOn(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	live, err := openLink(g, n, 7, 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = openLink(g, n, 8, 2)
	g.Expect(err).To(HaveOccurred())
	g.Expect(live.isCurrent()).To(BeTrue())
	g.Expect(live.link.Done()).NotTo(BeClosed())
}

// Guards against a host that stays linked after its link has ended, as a second hello gave the
// link to another host.
func TestSecondHelloOnALinkIsRefused(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	p, err := openLink(g, n, 7, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(receive(g, p, wire.TypeHello, &wire.Hello{Role: wire.RoleSidecar, Host: "other", Incarnation: 7, Link: 2})).NotTo(Succeed())
	_, linked := n.sidecars.Load("other")
	g.Expect(linked).To(BeFalse())
	g.Expect(p.isCurrent()).To(BeTrue())
}

// Guards against TWICE: a listing of an earlier process, requested before a run was started by
// the present one, released that run.
func TestListingOfAnEarlierProcessDoesNotReleaseALaterRun(t *testing.T) {
	g := NewWithT(t)
	l, present := newLeaseLoop()
	n := l.node
	n.recordProcess("host", present.incarnation)
	present.link.Close()
	task := carobkeel.TaskName{Job: "0000000000000001"}
	l.core.AddJob(&carobkeel.JobSpec{ID: task.Job, Queue: carobkeel.Queue{Name: "quotes", MaxAttempts: 3}, Steps: []carobkeel.Step{{Count: 1}}}, true)
	l.core.ApplyListing(dispatch.WorkerListing{
		Host: "host", Incarnation: runs.Incarnation{ID: "w", StartedAtMs: 1}, Number: 2, Requested: 2, Full: true,
		Running: []runs.Running{{Task: task, Run: 1}},
	})
	l.core.Finish()
	earlier, err := openLink(g, n, 7, 4)
	g.Expect(err).NotTo(HaveOccurred())
	released := func(number uint64) (runs int) {
		g.Expect(receive(g, earlier, wire.TypeListing, &wire.Listing{
			Incarnation: wire.WorkerIncarnation{ID: "w", StartedAtMs: 1}, Epoch: 1, Number: number, Requested: 41, Full: true,
		})).To(Succeed())
		for _, handle := range n.events.TryTake(nil) {
			handle(l)
		}
		for _, d := range l.core.Finish().Decisions {
			if d.Kind == dispatch.DecidedRunEnded || d.Kind == dispatch.DecidedRunGivenUp {
				runs++
			}
		}
		return runs
	}
	g.Expect(released(40)).To(BeZero())
	g.Expect(released(41)).To(BeZero(), "it was requested before the first one arrived")
	g.Expect(released(42)).To(Equal(1))
}
