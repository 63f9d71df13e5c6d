package entry

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// PeerID names a process at the other end of an event link.
type PeerID string

// PropagationEvent is an event that Propagation.Step handles: one of the types of
// this file whose names end in Event.
type PropagationEvent interface{ propagationEvent() }

// LinkUpEvent reports that a link to a peer came up.
type LinkUpEvent struct {
	Peer PeerID
	// Dialled reports that this process opened the link, to one of its
	// configured peers. Otherwise the peer opened it.
	Dialled bool
}

// LinkDownEvent reports that the link to a peer was lost.
type LinkDownEvent struct{ Peer PeerID }

// PeerStampEvent is a peer's report of the state that it holds.
type PeerStampEvent struct {
	Peer  PeerID
	Stamp Stamp
}

// PeerRequestEvent is a peer's request for what follows the state that it holds.
type PeerRequestEvent struct {
	Peer  PeerID
	Stamp Stamp
	// Snapshot requests a snapshot, as changes led the peer to another state.
	Snapshot bool
}

// ChangesEvent contains changes from a peer, in the order of their revisions.
type ChangesEvent struct {
	Peer    PeerID
	Changes []StampedChange
}

// SnapshotEvent contains a full snapshot of the catalogue from a peer.
type SnapshotEvent struct {
	Peer      PeerID
	Catalogue *carobkeel.Catalogue
	Stamp     Stamp
}

// SnapshotPieceEvent reports that a piece of a snapshot arrived from a peer. It
// extends the wait for the rest.
type SnapshotPieceEvent struct{ Peer PeerID }

// StoreChangesEvent contains changes that the table service accepted. An empty
// list means that there are no new changes.
type StoreChangesEvent struct{ Changes []operator.Change }

// StoreCatalogueEvent contains the complete catalogue from the table service.
type StoreCatalogueEvent struct{ Catalogue *carobkeel.Catalogue }

// AcceptedEvent contains the newest catalogue that this process itself saw
// accepted. It is not an answer of the table service, which may be unavailable.
type AcceptedEvent struct{ Catalogue *carobkeel.Catalogue }

// StoreBehindEvent reports that the table service has an older revision than one
// that was seen before.
type StoreBehindEvent struct{ Revision carobkeel.Revision }

// TickEvent reports only that time has passed.
type TickEvent struct{}

func (LinkUpEvent) propagationEvent()         {}
func (LinkDownEvent) propagationEvent()       {}
func (PeerStampEvent) propagationEvent()      {}
func (PeerRequestEvent) propagationEvent()    {}
func (ChangesEvent) propagationEvent()        {}
func (SnapshotEvent) propagationEvent()       {}
func (SnapshotPieceEvent) propagationEvent()  {}
func (StoreChangesEvent) propagationEvent()   {}
func (StoreCatalogueEvent) propagationEvent() {}
func (AcceptedEvent) propagationEvent()       {}
func (StoreBehindEvent) propagationEvent()    {}
func (TickEvent) propagationEvent()           {}

// PropagationAction is an action that Propagation.Step returns: one of the types of
// this file whose names end in Action.
type PropagationAction interface{ propagationAction() }

// SendStampAction sends the stamp of this process's state to peers.
type SendStampAction struct {
	To    []PeerID
	Stamp Stamp
}

// RequestAction requests from a peer what follows this process's state. Snapshot
// requests a snapshot.
type RequestAction struct {
	To       PeerID
	Stamp    Stamp
	Snapshot bool
}

// ChangesAction sends changes to a peer.
type ChangesAction struct {
	To      PeerID
	Changes []StampedChange
}

// SnapshotAction sends a full snapshot of the catalogue to a peer.
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

// ServeAction allows the process to serve. Confirmed is false if ServeTimeout ran
// out before the table service and all peers had answered, or if a newer revision
// than the installed one is known.
type ServeAction struct{ Confirmed bool }

// ConflictAction reports that a peer has a different state for a revision that
// this process holds or was about to install.
type ConflictAction struct {
	Peer         PeerID
	Held, Theirs Stamp
}

// StoreBehindAction reports that the table service has an older revision than
// this process.
type StoreBehindAction struct{ Held, Store carobkeel.Revision }

func (SendStampAction) propagationAction()   {}
func (RequestAction) propagationAction()     {}
func (ChangesAction) propagationAction()     {}
func (SnapshotAction) propagationAction()    {}
func (InstallAction) propagationAction()     {}
func (ServeAction) propagationAction()       {}
func (ConflictAction) propagationAction()    {}
func (StoreBehindAction) propagationAction() {}
