package holder

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table/memory"
)

// newSidecarPeer returns a peer of a host's sidecar whose link does not run.
func newSidecarPeer(n *Node, host string) *peer {
	conn, _ := net.Pipe()
	p := n.newPeer(conn)
	p.role, p.host = wire.RoleSidecar, host
	return p
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
	n := New(Config{Host: "entry", Shard: "shard"}, memory.NewRows(), NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	hello := func(process, number uint64) (*peer, error) {
		frame, err := wire.Encode(wire.TypeHello, &wire.Hello{Role: wire.RoleSidecar, Host: "host", Incarnation: process, Link: number})
		g.Expect(err).NotTo(HaveOccurred())
		p := newSidecarPeer(n, "")
		p.role = 0
		return p, p.handle(frame)
	}
	live, err := hello(7, 3)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = hello(7, 2)
	g.Expect(err).To(HaveOccurred())
	g.Expect(live.isCurrent()).To(BeTrue())
	next, err := hello(7, 4)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(next.isCurrent()).To(BeTrue())
	restarted, err := hello(8, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(restarted.isCurrent()).To(BeTrue(), "another process of the sidecar numbers anew")
}
