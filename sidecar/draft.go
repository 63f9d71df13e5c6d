package sidecar

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// draft gathers changes of a view, so that many of them take one copy.
type draft struct {
	// base is the view that the changes are of, next the copy with them, nil
	// while there are none.
	base *View
	next *View
	// changed holds the services whose serving members are to be computed anew.
	changed map[carobkeel.Service]bool
}

func newDraft(base *View) *draft { return &draft{base: base} }

// member returns the member at the address with the changes so far.
func (d *draft) member(address string) (*Member, bool) {
	if d.next != nil {
		return d.next.Member(address)
	}
	return d.base.Member(address)
}

// announce takes an announcement. It returns whether it changes the view, and
// whether it is newer than what is known.
func (d *draft) announce(a Announcement, now time.Time) (changed, fresh bool) {
	known, ok := d.member(a.Address)
	if ok && !supersedes(a, known) {
		return false, false
	}
	live := newLive(now)
	if ok && known.Incarnation == a.Incarnation {
		live = known.Live
	}
	live.take(a, now)
	if ok && sameButLoad(a, known.Announcement) {
		return false, true
	}
	d.copy()
	d.next.members[a.Address] = &Member{Announcement: a, Live: live}
	d.changed[a.Service] = true
	if ok {
		d.changed[known.Service] = true
	}
	return true, true
}

// remove drops the member at the address.
func (d *draft) remove(address string) {
	known, ok := d.member(address)
	if !ok {
		return
	}
	d.copy()
	delete(d.next.members, address)
	d.changed[known.Service] = true
}

// stop sets the targets of planned stops.
func (d *draft) stop(targets []operator.StopTarget) {
	d.copy()
	d.next.stops = targets
	for _, member := range d.next.members {
		d.changed[member.Service] = true
	}
}

func (d *draft) copy() {
	if d.next == nil {
		d.next = d.base.clone()
		d.changed = make(map[carobkeel.Service]bool)
	}
}

// view returns the view with the changes, the base where there are none. The
// draft goes on from it.
func (d *draft) view() *View {
	if d.next == nil {
		return d.base
	}
	d.next.rebuild(d.changed)
	d.base, d.next, d.changed = d.next, nil, nil
	return d.base
}
