package holder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	leaseTestHost  = "host"
	leaseTestLease = time.Minute
	// leaseTestExpiry is a time after which the holder certainly takes a lease of
	// leaseTestLease as expired: it adds 2% and 150 ms.
	leaseTestExpiry = leaseTestLease + 2*time.Second
)

// newLeaseLoop returns a loop of a node that holds the shard, and the link of a host whose
// worker runs a task. The worker's lease has expired by now, if no later ping extends it.
func newLeaseLoop() (*loop, *peer) {
	n := New(Config{Host: "entry", Shard: "shard"}, memory.NewRows(), NewMetrics(tally.NoopScope), logging.Discard().For("test"))
	n.holderState.Store(&HolderState{Leading: true, Row: wire.HolderRow{Epoch: 1}})
	l := newLoop(n)
	pinged := clock.Boottime() - leaseTestExpiry
	l.core = dispatch.New(dispatch.Config{Epoch: 1, WorkerLease: leaseTestLease}, dispatch.Now{Monotonic: pinged}, nil)
	p := newSidecarPeer(n, leaseTestHost)
	n.sidecars.Store(leaseTestHost, p)
	incarnation := runs.Incarnation{ID: "w", StartedAtMs: 1}
	l.core.HostLinked(leaseTestHost, p.coreLink())
	l.core.HostPinged(leaseTestHost, 1)
	l.core.DescribeWorker(leaseTestHost, runs.Description{Incarnation: incarnation, Sequence: 1})
	l.core.ApplyListing(dispatch.WorkerListing{
		Host: leaseTestHost, Incarnation: incarnation, Number: 1, Full: true,
		Running: []runs.Running{{Task: carobkeel.TaskName{Job: "j"}, Run: 1}},
	})
	l.core.Finish()
	return l, p
}

// confirmHeld has the loop take the shard as held until now.
func (l *loop) confirmHeld() { l.node.recordHoldRead(clock.Boottime()) }

// handleQueued handles the events that are queued now, and reports whether a lease was
// taken as expired.
func (l *loop) handleQueued() bool {
	taken := clock.Boottime()
	batch := l.node.events.TryTake(nil)
	l.core.Advance(l.now())
	for _, handle := range batch {
		handle(l)
	}
	l.handledUpTo = taken
	l.core.Advance(l.now())
	return l.leaseExpired()
}

// expiresLater reports whether a lease is taken as expired after leaseTestExpiry.
func (l *loop) expiresLater() bool {
	later := clock.Boottime() + leaseTestExpiry
	l.core.Advance(dispatch.Now{Monotonic: later, Held: later})
	return l.leaseExpired()
}

// leaseExpired reports whether the core has just taken a lease as expired.
func (l *loop) leaseExpired() bool {
	for _, d := range l.core.Finish().Decisions {
		if d.Kind == dispatch.DecidedLeaseExpired {
			return true
		}
	}
	return false
}

func (p *peer) receivePing(g Gomega, number uint64) {
	ping, err := wire.Encode(wire.TypePing, &wire.Ping{Sequence: number, Epoch: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.handle(ping)).To(Succeed())
}

// Guards against TWICE: a woken holder answered a ping on a link that another one replaced
// before the ping was handled, and forgot that the lease may be extended.
func TestPingAnsweredOnAReplacedLinkExtendsTheLease(t *testing.T) {
	g := NewWithT(t)
	l, _ := newLeaseLoop()
	answered := newSidecarPeer(l.node, leaseTestHost)
	l.node.sidecars.Store(leaseTestHost, answered)
	answered.receivePing(g, 1)
	l.node.sidecars.Store(leaseTestHost, newSidecarPeer(l.node, leaseTestHost))
	l.core.HostLost(leaseTestHost)
	l.confirmHeld()
	g.Expect(l.handleQueued()).To(BeFalse())
	g.Expect(l.expiresLater()).To(BeTrue())
}

// Guards against TWICE: a holder that was delayed took a lease as expired while the ping
// that extended it waited among its events.
func TestLeaseDoesNotExpireWhileAnAnsweredPingIsNotHandled(t *testing.T) {
	g := NewWithT(t)
	l, p := newLeaseLoop()
	l.core.HostLost(leaseTestHost)
	p.receivePing(g, 2)
	l.confirmHeld()
	g.Expect(l.handleQueued()).To(BeFalse(), "the ping was answered")
	g.Expect(l.expiresLater()).To(BeTrue())
}

// Guards against TWICE: a holder that was paused while another one took over answered a ping as
// the holder, and a sidecar that did not reach the other one extended the lease.
func TestPausedHolderLetsNoLeaseBeExtended(t *testing.T) {
	g := NewWithT(t)
	l, _ := newLeaseLoop()
	now := clock.Boottime() + leaseTestLease // the test may take long
	l.node.recordHoldRead(now)
	g.Expect(l.node.pongTo(1).ExtendsLease).To(BeTrue())
	g.Expect(l.node.mayExtendLeases(now + leaseAuthority)).To(BeTrue())
	g.Expect(l.node.mayExtendLeases(now + leaseAuthority + 1)).To(BeFalse())
	l.node.holdRead.Store(int64(clock.Boottime() - leaseAuthority - 1))
	pong := l.node.pongTo(1)
	g.Expect(pong.IsHolder).To(BeTrue(), "it has not stepped down")
	g.Expect(pong.ExtendsLease).To(BeFalse())
}

// Guards against TWICE: a new holder answered pings that arrived while it started its core, and the
// core counted the lease from before.
func TestCoreKnowsThePingsThatANewHolderAnswers(t *testing.T) {
	g := NewWithT(t)
	l, p := newLeaseLoop()
	p.pinged.Store(7)
	l.node.notifySidecars()
	g.Expect(l.node.events.TryTake(nil)).To(HaveLen(1))
	l.node.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 2}})
	l.node.notifySidecars()
	g.Expect(l.node.events.TryTake(nil)).To(BeEmpty(), "the pong extends no lease")
}
