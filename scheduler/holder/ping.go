package holder

import (
	"time"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/scheduler/wire"
)

// handlePing records a ping and answers it.
func (p *peer) handlePing(f frame.Frame) error {
	var ping wire.Ping
	if err := wire.Decode(f, &ping); err != nil {
		return err
	}
	p.holderAge.Store(ping.HolderAge)
	p.pingedAt.Store(int64(clock.Boottime()))
	first := p.pinged.Swap(ping.Sequence) == 0
	n := p.node
	if p.role == wire.RoleEntry && first {
		n.events.Push(func(l *loop) { l.entrySeen(p.host, p.incarnation, ping.Epoch) })
	}
	if s := n.holderState.Load(); s != nil && s.Leading && ping.Epoch > s.Row.Epoch {
		n.events.Push(func(l *loop) {
			if s := l.node.holderState.Load(); l.core != nil && s.Row.Epoch < ping.Epoch {
				l.stepDown("a sidecar reported a later epoch")
			}
		})
	}
	p.answerPing(ping)
	return nil
}

// answerPing tells the peer whether this node holds the shard, and in which epoch. A sidecar
// may extend the worker's lease after that, so the core is told of the ping before.
func (p *peer) answerPing(ping wire.Ping) {
	pong := p.pongTo(ping.Sequence)
	if p.role == wire.RoleSidecar && pong.IsHolder {
		p.pushPinged(ping)
	}
	if p.node.takingOver.Load() {
		p.send(wire.TypeTakingOver, &wire.TakingOver{Sequence: pong.Sequence})
	}
	p.send(wire.TypePong, pong)
	if p.role == wire.RoleEntry && pong.IsHolder && p.node.config.Policy.Admission && ping.Sequence%pingsPerView == 0 {
		p.sendView()
	}
}

// pushPinged tells the core of a ping of a sidecar, also if the link is replaced by then.
func (p *peer) pushPinged(ping wire.Ping) {
	p.node.events.Push(func(l *loop) {
		switch {
		case l.core == nil:
		case !p.isCurrent():
			l.core.LeaseExtended(p.host)
		default:
			l.core.HostPinged(p.host, ping.Sequence)
			if l.node.holderState.Load().Row.Epoch == ping.Epoch {
				l.core.HostFollows(p.host)
			}
		}
	})
}

// pongTo returns the answer to the peer's ping with the given number.
func (p *peer) pongTo(ping uint64) *wire.Pong {
	pong := p.node.pongTo(ping)
	if pong.IsHolder {
		pong.Process = p.process.Load()
	}
	return pong
}

// pongTo returns the answer to a ping with the given number, from any peer.
func (n *Node) pongTo(ping uint64) *wire.Pong {
	pong := &wire.Pong{
		Sequence:    ping,
		StoreAge:    n.StoreAge().Milliseconds(),
		Incarnation: uint64(n.config.Incarnation),
	}
	if s := n.holderState.Load(); s != nil {
		pong.IsHolder, pong.Epoch = s.Leading, s.Row.Epoch
		pong.ExtendsLease = s.Leading && n.mayExtendLeases(clock.Boottime())
		if s.Leading {
			pong.JobBytes, pong.MaxJobBytes = n.jobBytes.Load(), n.config.maxJobBytes()
			pong.DecisionAge = (clock.Boottime() - time.Duration(n.decidedAt.Load())).Milliseconds()
		}
	}
	return pong
}

// recordHoldRead records that this node held the shard at a time, by a read or write of the
// holder row. It doesn't wait for the event loop, which may be busy.
func (n *Node) recordHoldRead(at time.Duration) {
	for {
		old := n.holdRead.Load()
		if int64(at) <= old || n.holdRead.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// mayExtendLeases reports whether this node, which leads as far as it knows, may let
// sidecars extend leases. It may have been paused since it last checked that, or since it promised
// to later holders until when it does.
func (n *Node) mayExtendLeases(now time.Duration) bool {
	if promised := time.Duration(n.promisedUntil.Load()); promised > 0 && now >= promised {
		return false
	}
	return now-time.Duration(n.holdRead.Load()) <= leaseAuthority
}

// notifySidecars answers the last ping of all sidecars again, immediately after the holder
// has changed.
func (n *Node) notifySidecars() {
	n.sidecars.Range(func(_, value any) bool {
		p := value.(*peer)
		p.answerPing(wire.Ping{Sequence: p.pinged.Load()})
		return true
	})
}

// reachesHolder reports whether the peer has reached the holder within the timeout.
func (p *peer) reachesHolder(now, timeout time.Duration) bool {
	age := p.holderAge.Load()
	if age < 0 || age > timeout.Milliseconds() {
		return false
	}
	return now-time.Duration(p.pingedAt.Load())+time.Duration(age)*time.Millisecond < timeout
}
