package holder

import (
	"time"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/frame"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
)

const (
	// viewInterval is the least time between two views of the shard's load that a holder makes.
	viewInterval = 250 * time.Millisecond
	// pingsPerView is the number of an entry's pings for which it gets one view.
	pingsPerView = 2
)

// admissionView is a view of the shard's load with the time at which it was made.
type admissionView struct {
	view *dispatch.AdmissionView
	at   time.Duration
}

// publishView publishes a new view of the shard's load when one is due.
func (l *loop) publishView() {
	now := clock.Boottime()
	if !l.node.config.Policy.Admission || now-l.viewMade < viewInterval {
		return
	}
	l.viewMade = now
	view, known := l.core.AdmissionView()
	if !known {
		l.node.ownView.Store(nil)
		return
	}
	l.node.ownView.Store(&admissionView{view: &view, at: now})
}

// sendView sends the newest view of the shard's load to an entry.
func (p *peer) sendView() {
	message := wire.FromAdmissionView(nil, 0)
	if own := p.node.ownView.Load(); own != nil {
		message = wire.FromAdmissionView(own.view, clock.Boottime()-own.at)
	}
	p.send(wire.TypeAdmissionView, message)
}

// handleView keeps a view that the holder has sent.
func (h *holderLink) handleView(f frame.Frame) error {
	var message wire.AdmissionView
	if err := wire.Decode(f, &message); err != nil {
		return err
	}
	view, age := message.Decoded()
	if view == nil {
		h.view.Store(nil)
		return nil
	}
	h.view.Store(&admissionView{view: view, at: clock.Boottime() - age})
	return nil
}

// LoadView returns the newest view of the shard's load that this node has, and its age. It is
// nil if there is none.
func (n *Node) LoadView() (view *dispatch.AdmissionView, age time.Duration) {
	newest := n.newestView()
	if newest == nil {
		return nil, 0
	}
	return newest.view, clock.Boottime() - newest.at
}

// newestView returns the view of this node's own core while it holds the shard, and otherwise the last one
// that the holder has sent.
func (n *Node) newestView() *admissionView {
	if n.Leading() {
		return n.ownView.Load()
	}
	if toHolder := n.linkToHolder.Load(); toHolder != nil {
		return toHolder.view.Load()
	}
	return nil
}
