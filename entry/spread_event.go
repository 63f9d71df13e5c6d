package entry

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// PeerID names a process at the other end of an event link.
type PeerID string

// SpreadEvent is what a Spread is told. The types of this file that end in
// Event are all of them.
type SpreadEvent interface{ spreadEvent() }

// LinkUpEvent says that a link to a peer came up.
type LinkUpEvent struct {
	Peer PeerID
	// Dialled says that the peer is one of those that this process is set to
	// be linked to, not one that came to it.
	Dialled bool
}

// LinkDownEvent says that the link to a peer was lost.
type LinkDownEvent struct{ Peer PeerID }

// HaveEvent is a peer's word on what it holds.
type HaveEvent struct {
	Peer  PeerID
	Stamp Stamp
}

// WantEvent is a peer's request for what follows the state that it holds.
type WantEvent struct {
	Peer  PeerID
	Stamp Stamp
	// Whole asks for a snapshot, as the peer could not apply changes.
	Whole bool
}

// ChangesEvent brings changes from a peer, in the order of their revisions.
type ChangesEvent struct {
	Peer    PeerID
	Changes []StampedChange
}

// SnapshotEvent brings a whole catalogue from a peer.
type SnapshotEvent struct {
	Peer      PeerID
	Catalogue *carobkeel.Catalogue
	Stamp     Stamp
}

// SnapshotPieceEvent says that a piece of a snapshot came from a peer, so that
// the rest is worth waiting for.
type SnapshotPieceEvent struct{ Peer PeerID }

// StoreChangesEvent brings changes that the table service accepted. An empty
// list says that it has nothing new.
type StoreChangesEvent struct{ Changes []operator.Change }

// StoreCatalogueEvent brings the whole catalogue from the table service.
type StoreCatalogueEvent struct{ Catalogue *carobkeel.Catalogue }

// AcceptedEvent brings the newest catalogue that this process itself saw
// accepted, while the table service does not answer.
type AcceptedEvent struct{ Catalogue *carobkeel.Catalogue }

// StoreBehindEvent says that the table service is at an older revision than one
// that was seen.
type StoreBehindEvent struct{ Revision carobkeel.Revision }

// TickEvent says only that time has passed.
type TickEvent struct{}

func (LinkUpEvent) spreadEvent()         {}
func (LinkDownEvent) spreadEvent()       {}
func (HaveEvent) spreadEvent()           {}
func (WantEvent) spreadEvent()           {}
func (ChangesEvent) spreadEvent()        {}
func (SnapshotEvent) spreadEvent()       {}
func (SnapshotPieceEvent) spreadEvent()  {}
func (StoreChangesEvent) spreadEvent()   {}
func (StoreCatalogueEvent) spreadEvent() {}
func (AcceptedEvent) spreadEvent()       {}
func (StoreBehindEvent) spreadEvent()    {}
func (TickEvent) spreadEvent()           {}

// SpreadAction is what a Spread wants done. The types of this file that end in
// Action are all of them.
type SpreadAction interface{ spreadAction() }

// HaveAction tells peers what this process holds.
type HaveAction struct {
	To    []PeerID
	Stamp Stamp
}

// WantAction asks a peer for what follows the state that this process holds.
type WantAction struct {
	To    PeerID
	Stamp Stamp
	Whole bool
}

// ChangesAction sends changes to a peer.
type ChangesAction struct {
	To      PeerID
	Changes []StampedChange
}

// SnapshotAction sends the whole catalogue to a peer.
type SnapshotAction struct {
	To        PeerID
	Catalogue *carobkeel.Catalogue
	Stamp     Stamp
}

// InstallAction puts a catalogue in force.
type InstallAction struct {
	Catalogue *carobkeel.Catalogue
	Stamp     Stamp
}

// ServeAction says that the process may serve. Confirmed is false where the
// time to join ran out before the table service and all peers had answered, or
// where a newer revision is known of than the one held.
type ServeAction struct{ Confirmed bool }

// ConflictAction reports that a peer has another state under a revision that
// this process holds or was about to take.
type ConflictAction struct {
	Peer         PeerID
	Held, Theirs Stamp
}

// StoreBehindAction reports that the table service is older than this process.
type StoreBehindAction struct{ Held, Store carobkeel.Revision }

func (HaveAction) spreadAction()        {}
func (WantAction) spreadAction()        {}
func (ChangesAction) spreadAction()     {}
func (SnapshotAction) spreadAction()    {}
func (InstallAction) spreadAction()     {}
func (ServeAction) spreadAction()       {}
func (ConflictAction) spreadAction()    {}
func (StoreBehindAction) spreadAction() {}
