package agent

import (
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// acknowledgement is the number up to which the ended runs of a worker's incarnation
// are stored by the holder. It says too that the incarnation is recorded, so that a later holder
// would know of it.
type acknowledgement struct {
	incarnation runs.Incarnation
	upTo        uint64
}

// recordedIncarnation is the incarnation that a holder has last said to be recorded, over a link.
type recordedIncarnation struct {
	incarnation runs.Incarnation
	link        *entryLink
}

// answeredAcknowledgement is an acknowledgement that the worker has answered under a fence.
type answeredAcknowledgement struct {
	acknowledgement
	fence runs.Fence
}

func (a *Agent) acknowledge(o receivedOrder) {
	a.acknowledged.Store(&acknowledgement{incarnation: o.order.Incarnation, upTo: o.order.Acknowledged})
	a.recorded.Store(&recordedIncarnation{incarnation: o.order.Incarnation, link: o.link})
	a.wakeLister()
}

// isRecorded reports whether the present holder has said that an incarnation is recorded.
func (a *Agent) isRecorded(incarnation runs.Incarnation) bool {
	r := a.recorded.Load()
	return r != nil && r.incarnation == incarnation && r.link == a.holderLink.Load()
}

// acknowledgedUpTo returns the number up to which a request with the fence acknowledges the
// incarnation's ended runs. It is zero while another incarnation, whose ends are numbered anew,
// may have followed.
func (a *Agent) acknowledgedUpTo(state *gate.Worker, fence runs.Fence) uint64 {
	if acknowledged := a.acknowledged.Load(); state.IsConfirmed(fence) && acknowledged.incarnation == state.Description.Incarnation {
		return acknowledged.upTo
	}
	return 0
}

// pendingAcknowledgement returns the number that the next listing has to acknowledge, zero if the
// worker has answered such a request under the same fence.
func (l *lister) pendingAcknowledgement(state *gate.Worker, term gate.Term) uint64 {
	fence := state.Fence(term)
	upTo, answered := l.agent.acknowledgedUpTo(state, fence), l.acknowledged
	if answered.fence == fence && answered.incarnation == state.Description.Incarnation && upTo <= answered.upTo {
		return 0
	}
	return upTo
}

// recordAcknowledged records the acknowledgement of a request that the worker has answered with
// the ends. It returns false if the worker has listed ends that it should have forgotten, which
// are acknowledged again.
func (l *lister) recordAcknowledged(r listingRequest, ends []runs.End) bool {
	if r.acknowledged != 0 {
		l.acknowledged = answeredAcknowledgement{acknowledgement{r.envelope.Incarnation, r.acknowledged}, r.envelope.Fence}
	}
	if len(ends) > 0 && ends[0].Number <= l.acknowledged.upTo && l.acknowledged.incarnation == r.envelope.Incarnation {
		l.acknowledged = answeredAcknowledgement{}
		return false
	}
	return true
}
