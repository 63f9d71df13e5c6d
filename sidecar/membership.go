package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// Hop is the way by which an announcement arrived.
type Hop uint8

// Hops of an announcement.
const (
	// HopDirect is an announcement received from the sidecar itself.
	HopDirect Hop = iota
	// HopRelayed is an announcement received from an entry that got it from the
	// sidecar directly. It is not relayed again, so announcements can't loop.
	HopRelayed
)

const (
	// DirectExpiry is how long a sidecar stays a member after the last
	// announcement received from it directly.
	DirectExpiry = 6 * time.Second
	// RelayedExpiry is how long a sidecar stays a member after the last update
	// from an entry that receives its announcements directly. It exceeds the
	// greatest age of a relayed update, so a late update can't add a stopped
	// sidecar again.
	RelayedExpiry = 15 * time.Second
)

// Presence tells other entries that the sender receives the announcements of a
// sidecar directly.
type Presence struct {
	Incarnation carobkeel.Incarnation
	// Sequence is the sequence number of the last announcement.
	Sequence uint64
	// ChangeSequence is the sequence number of the last announcement that changed more
	// than the load.
	ChangeSequence uint64
	// Running, Queued and UrgentQueued are as in an Announcement.
	Running      int
	Queued       int
	UrgentQueued int
}

// Membership tracks the live sidecars from their announcements and from the
// presences that other entries send. It must be used by one goroutine only; the
// views that it returns are immutable. Sidecars without an update for
// RelayedExpiry are removed, so its size is bounded by that of the fleet.
type Membership struct {
	views         *viewBuilder
	stops         []operator.StopTarget
	byAddress     map[string]*knownSidecar
	byIncarnation map[carobkeel.Incarnation]*knownSidecar
}

// knownSidecar is the record of one sidecar.
type knownSidecar struct {
	// latest is the newest announcement.
	latest Announcement
	// changeSequence is the sequence number of the newest announcement that
	// changed more than the load.
	changeSequence uint64
	// lastDirect and lastRelayed are the arrival times of the last update from
	// the sidecar itself and from another entry, zero if there was none.
	lastDirect  time.Time
	lastRelayed time.Time
}

// NewMembership returns a membership without sidecars.
func NewMembership() *Membership {
	return &Membership{
		views:         newViewBuilder(NewView()),
		byAddress:     make(map[string]*knownSidecar),
		byIncarnation: make(map[carobkeel.Incarnation]*knownSidecar),
	}
}

// View returns the current view. All changes since the last call are applied to
// one copy.
func (m *Membership) View() *View { return m.views.build() }

// ApplyAnnouncement applies an announcement. It returns whether the announcement is
// newer than the recorded one, and whether it must be relayed to other entries at
// once.
func (m *Membership) ApplyAnnouncement(a Announcement, hop Hop, now time.Time) (newer, relay bool) {
	known, ok := m.byAddress[a.Address]
	if ok && known.latest.Incarnation == a.Incarnation {
		known.recordReceipt(hop, now)
	}
	changed, newer := m.views.apply(a, now)
	if !newer {
		return false, false
	}
	if !ok || known.latest.Incarnation != a.Incarnation {
		known = m.replace(known, a)
		known.recordReceipt(hop, now)
	}
	known.latest = a
	if changed {
		known.changeSequence = a.Sequence
	}
	return true, changed && hop == HopDirect
}

// replace records a new incarnation at the address in place of old, which may be
// nil.
func (m *Membership) replace(old *knownSidecar, a Announcement) *knownSidecar {
	if old != nil {
		delete(m.byIncarnation, old.latest.Incarnation)
	}
	next := &knownSidecar{}
	m.byAddress[a.Address] = next
	m.byIncarnation[a.Incarnation] = next
	return next
}

// recordReceipt sets the arrival time of the last update by the hop.
func (k *knownSidecar) recordReceipt(hop Hop, now time.Time) {
	if hop == HopDirect {
		k.lastDirect = now
		return
	}
	k.lastRelayed = now
}

// isReceivedDirectly reports whether this entry receives the sidecar's own
// announcements.
func (k *knownSidecar) isReceivedDirectly(now time.Time) bool {
	return !k.lastDirect.IsZero() && now.Sub(k.lastDirect) < DirectExpiry
}

// isAlive reports whether a direct or a relayed update has arrived within its
// expiry.
func (k *knownSidecar) isAlive(now time.Time) bool {
	return k.isReceivedDirectly(now) || (!k.lastRelayed.IsZero() && now.Sub(k.lastRelayed) < RelayedExpiry)
}

// isExpired reports whether the record is to be removed. A sidecar that announced
// its stop is kept for as long as a late relayed update may still arrive, which
// would otherwise add it again.
func (k *knownSidecar) isExpired(now time.Time) bool {
	if k.latest.State == StateStopped && now.Sub(k.lastDirect) < RelayedExpiry {
		return false
	}
	return !k.isAlive(now)
}

// SetStops replaces the targets of the planned stops that are draining. Sidecars
// under them stay members but get no new work.
func (m *Membership) SetStops(targets []operator.StopTarget) {
	if slices.Equal(targets, m.stops) {
		return
	}
	m.stops = targets
	m.views.setStops(targets)
}

// Presences returns the presences to send to other entries: those of the sidecars
// that this entry receives directly, ordered by incarnation.
func (m *Membership) Presences(now time.Time) []Presence {
	var presences []Presence
	for _, known := range m.byAddress {
		if !known.isReceivedDirectly(now) {
			continue
		}
		presences = append(presences, Presence{
			Incarnation:    known.latest.Incarnation,
			Sequence:       known.latest.Sequence,
			ChangeSequence: known.changeSequence,
			Running:        known.latest.Running,
			Queued:         known.latest.Queued,
			UrgentQueued:   known.latest.UrgentQueued,
		})
	}
	slices.SortFunc(presences, func(a, b Presence) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return presences
}

// MergePresences applies another entry's presences and returns the incarnations whose
// announcements are missing or out of date here.
func (m *Membership) MergePresences(presences []Presence, now time.Time) []carobkeel.Incarnation {
	var missing []carobkeel.Incarnation
	for _, p := range presences {
		known, ok := m.byIncarnation[p.Incarnation]
		if !ok || known.changeSequence < p.ChangeSequence {
			missing = append(missing, p.Incarnation)
			continue
		}
		known.lastRelayed = now
		if p.Sequence > known.latest.Sequence {
			a := known.latest
			a.Sequence, a.Running, a.Queued, a.UrgentQueued = p.Sequence, p.Running, p.Queued, p.UrgentQueued
			m.views.apply(a, now)
			known.latest = a
		}
	}
	return missing
}

// Lookup returns the latest announcements of the wanted incarnations, without
// those that this entry doesn't receive directly.
func (m *Membership) Lookup(wanted []carobkeel.Incarnation, now time.Time) []Announcement {
	var found []Announcement
	for _, incarnation := range wanted {
		if known, ok := m.byIncarnation[incarnation]; ok && known.isReceivedDirectly(now) {
			found = append(found, known.latest)
		}
	}
	return found
}

// Expire removes the expired sidecars and returns their number.
func (m *Membership) Expire(now time.Time) int {
	expired := 0
	for address, known := range m.byAddress {
		if known.isExpired(now) {
			expired++
			m.views.remove(address)
			delete(m.byIncarnation, known.latest.Incarnation)
			delete(m.byAddress, address)
		}
	}
	return expired
}

// Len returns the number of known sidecars.
func (m *Membership) Len() int { return len(m.byAddress) }
