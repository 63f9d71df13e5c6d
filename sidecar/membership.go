package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// Hop says how an announcement came.
type Hop uint8

// Hops of an announcement.
const (
	// HopDirect is from the sidecar itself.
	HopDirect Hop = iota
	// HopRelayed is from an entry that heard it from the sidecar. It goes no
	// further, so that nothing circulates.
	HopRelayed
)

const (
	// DirectExpiry is how long a sidecar counts as there without a word of its
	// own.
	DirectExpiry = 6 * time.Second
	// RelayedExpiry is how long it counts as there without a word of an entry
	// that hears it. It is longer than a relayed word can be old, so that a
	// sidecar that has stopped is not taken for a new one by a late word.
	RelayedExpiry = 15 * time.Second
)

// Presence is an entry's word, to other entries, that it hears a sidecar.
type Presence struct {
	Incarnation carobkeel.Incarnation
	// Sequence is that of the last announcement, Changed that of the last one
	// that changed more than the load.
	Sequence uint64
	Changed  uint64
	// Running, Queued and UrgentQueued are as in an Announcement.
	Running      int
	Queued       int
	UrgentQueued int
}

// Membership decides which sidecars are there, from what they announce and what
// other entries tell of them. It belongs to one goroutine; the views that it
// makes are immutable. What is not heard of for RelayedExpiry is forgotten, so
// that its size follows the fleet's.
type Membership struct {
	draft         *draft
	stops         []operator.StopTarget
	contacts      map[string]*contact
	byIncarnation map[carobkeel.Incarnation]*contact
}

// contact is what is known of one sidecar and from whom.
type contact struct {
	// last is the newest announcement, changed the sequence of the newest that
	// changed more than the load.
	last    Announcement
	changed uint64
	// direct and relayed are when a word came from the sidecar itself and from
	// another entry. Zero stands for never.
	direct  time.Time
	relayed time.Time
}

// NewMembership returns a membership without sidecars.
func NewMembership() *Membership {
	return &Membership{
		draft:         newDraft(NewView()),
		contacts:      make(map[string]*contact),
		byIncarnation: make(map[carobkeel.Incarnation]*contact),
	}
}

// View returns the present view. All that came since the last call takes one
// copy.
func (m *Membership) View() *View { return m.draft.view() }

// Announce takes an announcement. It returns whether it was newer than what was
// known, and whether it is to be relayed to other entries at once.
func (m *Membership) Announce(a Announcement, hop Hop, now time.Time) (fresh, relay bool) {
	held, ok := m.contacts[a.Address]
	if ok && held.last.Incarnation == a.Incarnation {
		held.hear(hop, now)
	}
	changed, fresh := m.draft.announce(a, now)
	if !fresh {
		return false, false
	}
	if !ok || held.last.Incarnation != a.Incarnation {
		held = m.replace(held, a)
		held.hear(hop, now)
	}
	held.last = a
	if changed {
		held.changed = a.Sequence
	}
	return true, changed && hop == HopDirect
}

// replace enters a new incarnation at an address.
func (m *Membership) replace(old *contact, a Announcement) *contact {
	if old != nil {
		delete(m.byIncarnation, old.last.Incarnation)
	}
	next := &contact{}
	m.contacts[a.Address] = next
	m.byIncarnation[a.Incarnation] = next
	return next
}

func (c *contact) hear(hop Hop, now time.Time) {
	if hop == HopDirect {
		c.direct = now
		return
	}
	c.relayed = now
}

func (c *contact) isDirect(now time.Time) bool {
	return !c.direct.IsZero() && now.Sub(c.direct) < DirectExpiry
}

func (c *contact) isKnown(now time.Time) bool {
	return c.isDirect(now) || (!c.relayed.IsZero() && now.Sub(c.relayed) < RelayedExpiry)
}

// isForgotten reports whether the contact is gone. One that announced its stop
// is kept for as long as a late word may come from elsewhere.
func (c *contact) isForgotten(now time.Time) bool {
	if c.last.State == StateStopped && now.Sub(c.direct) < RelayedExpiry {
		return false
	}
	return !c.isKnown(now)
}

// Stop sets the targets of the planned stops that drain. Their sidecars get no
// new work, and are known of as before.
func (m *Membership) Stop(targets []operator.StopTarget) {
	if slices.Equal(targets, m.stops) {
		return
	}
	m.stops = targets
	m.draft.stop(targets)
}

// Presences returns the sidecars that this entry itself hears, for other
// entries.
func (m *Membership) Presences(now time.Time) []Presence {
	var present []Presence
	for _, held := range m.contacts {
		if !held.isDirect(now) {
			continue
		}
		present = append(present, Presence{
			Incarnation:  held.last.Incarnation,
			Sequence:     held.last.Sequence,
			Changed:      held.changed,
			Running:      held.last.Running,
			Queued:       held.last.Queued,
			UrgentQueued: held.last.UrgentQueued,
		})
	}
	slices.SortFunc(present, func(a, b Presence) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return present
}

// Hear takes another entry's presences and returns the incarnations whose
// announcements are missing here.
func (m *Membership) Hear(present []Presence, now time.Time) []carobkeel.Incarnation {
	var missing []carobkeel.Incarnation
	for _, p := range present {
		held, ok := m.byIncarnation[p.Incarnation]
		if !ok || held.changed < p.Changed {
			missing = append(missing, p.Incarnation)
			continue
		}
		held.relayed = now
		if p.Sequence > held.last.Sequence {
			a := held.last
			a.Sequence, a.Running, a.Queued, a.UrgentQueued = p.Sequence, p.Running, p.Queued, p.UrgentQueued
			m.draft.announce(a, now)
			held.last = a
		}
	}
	return missing
}

// Lookup returns the announcements of those incarnations that this entry itself
// hears.
func (m *Membership) Lookup(wanted []carobkeel.Incarnation, now time.Time) []Announcement {
	var found []Announcement
	for _, incarnation := range wanted {
		if held, ok := m.byIncarnation[incarnation]; ok && held.isDirect(now) {
			found = append(found, held.last)
		}
	}
	return found
}

// Expire forgets the sidecars that nobody hears any more and returns how many
// that were.
func (m *Membership) Expire(now time.Time) int {
	gone := 0
	for address, held := range m.contacts {
		if held.isForgotten(now) {
			gone++
			m.draft.remove(address)
			delete(m.byIncarnation, held.last.Incarnation)
			delete(m.contacts, address)
		}
	}
	return gone
}

// Len returns the number of sidecars that are known of.
func (m *Membership) Len() int { return len(m.contacts) }
