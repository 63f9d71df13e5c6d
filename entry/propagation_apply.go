package entry

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// applyChanges applies the changes that follow the installed state. Older changes
// and changes after a gap are rejected. A different digest after a change shows
// that the peer started from another state: a full snapshot is requested then,
// and installed only if it has a higher revision.
func (s *Propagation) applyChanges(e ChangesEvent) {
	before := s.stamp
	for _, stamped := range e.Changes {
		if stamped.Change.Revision <= s.stamp.Revision {
			continue
		}
		if !s.applyChange(e.Peer, stamped) {
			break
		}
	}
	s.handleAnswered(e.Peer, s.stamp != before)
	s.emitInstall(before)
}

// applyChange applies one change. It returns false if the change can't be applied.
func (s *Propagation) applyChange(peer PeerID, stamped StampedChange) bool {
	next, err := operator.Apply(s.catalogue, stamped.Change)
	if err != nil {
		return false
	}
	after := stampAfter(s.stamp, s.catalogue, stamped.Change)
	expected := Stamp{Revision: after.Revision, Digest: stamped.Digest}
	if after.Conflicts(expected) {
		s.reportConflict(peer, expected)
		s.wantSnapshot = true
		return false
	}
	s.catalogue, s.stamp = next, after
	s.appendToLog(StampedChange{Change: stamped.Change, Digest: after.Digest})
	return true
}

// appendToLog adds a change to the log and drops the oldest changes beyond
// LoggedChanges.
func (s *Propagation) appendToLog(change StampedChange) {
	s.log = append(s.log, change)
	if excess := len(s.log) - s.config.LoggedChanges; excess > 0 {
		last := s.log[excess-1]
		s.logBase = Stamp{Revision: last.Change.Revision, Digest: last.Digest}
		s.log = s.log[excess:]
	}
}

// applySnapshot installs a full snapshot from a peer. A snapshot that is not newer
// or does not match its stamp is rejected.
func (s *Propagation) applySnapshot(e SnapshotEvent) {
	before := s.stamp
	computed := StampOf(e.Catalogue)
	if computed.Conflicts(e.Stamp) {
		s.reportConflict(e.Peer, e.Stamp)
	} else if s.replace(e.Catalogue, computed) {
		s.emitInstall(before)
	}
	s.handleAnswered(e.Peer, s.stamp != before)
}

// replace replaces the catalogue by a newer one. The log is cleared, as it does
// not lead to the new state.
func (s *Propagation) replace(c *carobkeel.Catalogue, stamp Stamp) bool {
	if c == nil || stamp.Revision <= s.stamp.Revision {
		return false
	}
	s.catalogue, s.stamp = c, stamp
	s.log, s.logBase = nil, stamp
	return true
}

// handleAnswered handles a peer's answer. If the answer made progress, the next
// request may be sent at once, otherwise only after the timeout.
func (s *Propagation) handleAnswered(peer PeerID, progress bool) {
	if s.pending.peer == peer && progress {
		s.pending = pendingRequest{}
	}
}

// applyStoreChanges applies changes that were read from the table service.
func (s *Propagation) applyStoreChanges(e StoreChangesEvent) {
	s.storeAnswered = true
	s.applyAcceptedChanges(e.Changes)
}

func (s *Propagation) applyAcceptedChanges(changes []operator.Change) {
	before := s.stamp
	for _, change := range changes {
		s.highestRevision = max(s.highestRevision, change.Revision)
		if change.Revision <= s.stamp.Revision {
			continue
		}
		if !s.applyChange("", StampedChange{Change: change}) {
			break
		}
	}
	s.emitInstall(before)
}

// applyStoreCatalogue installs a catalogue that was read from the table service.
func (s *Propagation) applyStoreCatalogue(e StoreCatalogueEvent) {
	s.storeAnswered = true
	s.applyAccepted(e.Catalogue)
}

// applyAccepted installs a catalogue that the table service accepted. If it is the
// next revision, the change that led to it is derived, so that only the change
// needs to be sent to the peers.
func (s *Propagation) applyAccepted(c *carobkeel.Catalogue) {
	if c == nil {
		return
	}
	s.highestRevision = max(s.highestRevision, c.Revision)
	switch {
	case s.catalogue == nil && c.Revision == 0:
		// The first state of an empty catalogue has revision zero.
		s.catalogue = c
		s.emit(InstallAction{Catalogue: c})
	case c.Revision <= s.stamp.Revision:
		// A peer sent a newer state while the read was in progress.
	case c.Revision == s.stamp.Revision+1 && s.catalogue != nil:
		s.applyAcceptedChanges([]operator.Change{changeBetween(s.catalogue, c)})
	default:
		before := s.stamp
		s.replace(c, StampOf(c))
		s.emitInstall(before)
	}
}

// changeBetween returns the change that leads from one catalogue to another.
// Entries and quotas are compared by the revision that last changed them.
func changeBetween(from, to *carobkeel.Catalogue) operator.Change {
	change := operator.Change{Revision: to.Revision}
	for name, entry := range to.Entries {
		if old, ok := from.Entries[name]; !ok || old.Revision != entry.Revision {
			change.Items = append(change.Items, operator.ChangeItem{Kind: operator.KindEntry, Name: name, EntryAfter: entry})
		}
	}
	for name := range from.Entries {
		if _, ok := to.Entries[name]; !ok {
			change.Items = append(change.Items, operator.ChangeItem{Kind: operator.KindEntry, Name: name})
		}
	}
	for owner, quota := range to.Quotas {
		if old, ok := from.Quotas[owner]; !ok || old.Revision != quota.Revision {
			change.Items = append(change.Items, operator.ChangeItem{Kind: operator.KindOwner, Name: string(owner), QuotaAfter: &quota})
		}
	}
	for owner := range from.Quotas {
		if _, ok := to.Quotas[owner]; !ok {
			change.Items = append(change.Items, operator.ChangeItem{Kind: operator.KindOwner, Name: string(owner)})
		}
	}
	return change
}

// emitInstall emits the actions that put a new state in force and, unless this
// process is a leaf, notify the peers that are behind.
func (s *Propagation) emitInstall(before Stamp) {
	if s.stamp == before {
		return
	}
	s.highestRevision = max(s.highestRevision, s.stamp.Revision)
	s.wantSnapshot = false
	s.emit(InstallAction{Catalogue: s.catalogue, Stamp: s.stamp})
	if !s.config.Leaf {
		s.sendStamp(true)
	}
}
