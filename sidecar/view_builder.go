package sidecar

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// viewBuilder collects changes to a view, so that a batch of changes needs only
// one copy of the view.
type viewBuilder struct {
	// base is the view that the changes apply to.
	base *View
	// next is the changed copy of base, nil while there are no changes.
	next *View
	// changed holds the services whose serving members must be recomputed.
	changed map[carobkeel.Service]bool
}

func newViewBuilder(base *View) *viewBuilder { return &viewBuilder{base: base} }

// member returns the member at the address, with the changes so far applied.
func (b *viewBuilder) member(address string) (*Member, bool) {
	if b.next != nil {
		return b.next.Member(address)
	}
	return b.base.Member(address)
}

// apply adds or updates the announced member. It returns whether the view
// changes, and whether the announcement is newer than the recorded one.
func (b *viewBuilder) apply(a Announcement, now time.Time) (changed, newer bool) {
	current, ok := b.member(a.Address)
	if ok && !supersedes(a, current) {
		return false, false
	}
	live := newStats(now)
	if ok && current.Incarnation == a.Incarnation {
		live = current.Stats
	}
	live.recordAnnouncement(a, now)
	if ok && sameButLoad(a, current.Announcement) {
		return false, true
	}
	b.ensureCopy()
	b.next.members[a.Address] = &Member{Announcement: a, Stats: live}
	b.changed[a.Service] = true
	if ok {
		b.changed[current.Service] = true
	}
	return true, true
}

// remove deletes the member at the address, if there is one.
func (b *viewBuilder) remove(address string) {
	current, ok := b.member(address)
	if !ok {
		return
	}
	b.ensureCopy()
	delete(b.next.members, address)
	b.changed[current.Service] = true
}

// setStops replaces the targets of planned stops.
func (b *viewBuilder) setStops(targets []operator.StopTarget) {
	b.ensureCopy()
	b.next.stops = targets
	for _, member := range b.next.members {
		b.changed[member.Service] = true
	}
}

// ensureCopy clones the base view before the first change.
func (b *viewBuilder) ensureCopy() {
	if b.next == nil {
		b.next = b.base.clone()
		b.changed = make(map[carobkeel.Service]bool)
	}
}

// build returns the view with the changes, or base if there are none. Further
// changes apply to the returned view.
func (b *viewBuilder) build() *View {
	if b.next == nil {
		return b.base
	}
	b.next.rebuild(b.changed)
	b.base, b.next, b.changed = b.next, nil, nil
	return b.base
}
