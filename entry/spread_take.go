package entry

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// takeChanges applies the changes that follow on what is held. Those that are
// older or leave a gap are refused. A digest that differs after a change says
// that the peer came from another state: its whole state is asked for, and
// taken only where it has a higher revision.
func (s *Spread) takeChanges(e ChangesEvent) {
	before := s.stamp
	for _, stamped := range e.Changes {
		if stamped.Change.Revision <= s.stamp.Revision {
			continue
		}
		if !s.takeChange(e.Peer, stamped) {
			break
		}
	}
	s.answered(e.Peer, s.stamp != before)
	s.installed(before)
}

// takeChange applies one change. It returns false where it can't be taken.
func (s *Spread) takeChange(peer PeerID, stamped StampedChange) bool {
	next, err := operator.Apply(s.catalogue, stamped.Change)
	if err != nil {
		return false
	}
	after := stampAfter(s.stamp, s.catalogue, stamped.Change)
	theirs := Stamp{Revision: after.Revision, Digest: stamped.Digest}
	if after.Conflicts(theirs) {
		s.reportConflict(peer, theirs)
		s.wantWhole = true
		return false
	}
	s.catalogue, s.stamp = next, after
	s.append(StampedChange{Change: stamped.Change, Digest: after.Digest})
	return true
}

// append adds a change to the log and drops the oldest beyond its bound.
func (s *Spread) append(change StampedChange) {
	s.log = append(s.log, change)
	if excess := len(s.log) - s.config.LoggedChanges; excess > 0 {
		last := s.log[excess-1]
		s.logBase = Stamp{Revision: last.Change.Revision, Digest: last.Digest}
		s.log = s.log[excess:]
	}
}

// takeSnapshot takes a whole catalogue from a peer. One that is no newer, or
// that is not what its stamp says, is refused.
func (s *Spread) takeSnapshot(e SnapshotEvent) {
	before := s.stamp
	computed := StampOf(e.Catalogue)
	if computed.Conflicts(e.Stamp) {
		s.reportConflict(e.Peer, e.Stamp)
	} else if s.replace(e.Catalogue, computed) {
		s.installed(before)
	}
	s.answered(e.Peer, s.stamp != before)
}

// replace takes a whole catalogue in place of the one held. The log can't lead
// to it and begins anew.
func (s *Spread) replace(c *carobkeel.Catalogue, stamp Stamp) bool {
	if c == nil || stamp.Revision <= s.stamp.Revision {
		return false
	}
	s.catalogue, s.stamp = c, stamp
	s.log, s.logBase = nil, stamp
	return true
}

// answered notes that a peer has answered. Where that brought something, it or
// another may be asked for the rest at once, else only after the timeout.
func (s *Spread) answered(peer PeerID, progress bool) {
	if s.want.peer == peer && progress {
		s.want = want{}
	}
}

// takeStoreChanges applies what the table service accepted.
func (s *Spread) takeStoreChanges(e StoreChangesEvent) {
	s.storeAnswered = true
	s.takeOwnChanges(e.Changes)
}

func (s *Spread) takeOwnChanges(changes []operator.Change) {
	before := s.stamp
	for _, change := range changes {
		s.heard = max(s.heard, change.Revision)
		if change.Revision <= s.stamp.Revision {
			continue
		}
		if !s.takeChange("", StampedChange{Change: change}) {
			break
		}
	}
	s.installed(before)
}

// takeStoreCatalogue takes the catalogue as the table service has it.
func (s *Spread) takeStoreCatalogue(e StoreCatalogueEvent) {
	s.storeAnswered = true
	s.takeAccepted(e.Catalogue)
}

// takeAccepted takes a catalogue that the table service accepted. Where it is
// the next revision, the change that led to it is derived, so that the peers can
// be sent that alone.
func (s *Spread) takeAccepted(c *carobkeel.Catalogue) {
	if c == nil {
		return
	}
	s.heard = max(s.heard, c.Revision)
	switch {
	case s.catalogue == nil && c.Revision == 0:
		// The first state of an empty catalogue has revision zero.
		s.catalogue = c
		s.do(InstallAction{Catalogue: c})
	case c.Revision <= s.stamp.Revision:
		// The read was under way while a peer brought something newer.
	case c.Revision == s.stamp.Revision+1 && s.catalogue != nil:
		s.takeOwnChanges([]operator.Change{changeBetween(s.catalogue, c)})
	default:
		before := s.stamp
		s.replace(c, StampOf(c))
		s.installed(before)
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

// installed puts a new state in force and tells the peers of it.
func (s *Spread) installed(before Stamp) {
	if s.stamp == before {
		return
	}
	s.heard = max(s.heard, s.stamp.Revision)
	s.wantWhole = false
	s.do(InstallAction{Catalogue: s.catalogue, Stamp: s.stamp})
	if !s.config.Leaf {
		s.tell(true)
	}
}
