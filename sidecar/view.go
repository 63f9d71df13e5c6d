package sidecar

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// View is an immutable state of all announced sidecars.
type View struct {
	// members holds every known member by address.
	members map[string]*Member
	// serving holds the members that take new work, by service.
	serving map[carobkeel.Service]*Pool
	// stops are the targets of planned stops, whose members get no new work.
	stops []operator.StopTarget
}

// NewView returns a view without members.
func NewView() *View {
	return &View{members: map[string]*Member{}, serving: map[carobkeel.Service]*Pool{}}
}

// Serving returns the members of the service that take new work. The slice must
// not be changed.
func (v *View) Serving(service carobkeel.Service) []*Member { return v.Pool(service).members }

// Pool returns the members of the service that take new work, to choose from.
func (v *View) Pool(service carobkeel.Service) *Pool {
	if pool, ok := v.serving[service]; ok {
		return pool
	}
	return emptyPool
}

// Member returns the member at the address.
func (v *View) Member(address string) (*Member, bool) {
	member, ok := v.members[address]
	return member, ok
}

// Members returns all members in the order of their addresses.
func (v *View) Members() []*Member {
	return slices.SortedFunc(maps.Values(v.members), func(a, b *Member) int {
		return strings.Compare(a.Address, b.Address)
	})
}

// Announce returns the view after an announcement that arrived at now. The
// second result is false where the announcement is older than what is known;
// the view is then the same. An announcement that changes nothing but the load
// is noted in the member and makes no new view. Only one goroutine may announce
// and expire.
func (v *View) Announce(a Announcement, now time.Time) (*View, bool) {
	d := newDraft(v)
	_, fresh := d.announce(a, now)
	return d.view(), fresh
}

// supersedes reports whether a is later than what is known. Within one
// incarnation the sequence decides, between two the time of their start.
func supersedes(a Announcement, known *Member) bool {
	if a.Incarnation == known.Incarnation {
		return a.Sequence > known.Live.sequence.Load()
	}
	return a.Started.After(known.Started)
}

// sameButLoad reports whether two announcements differ in load alone.
func sameButLoad(a, b Announcement) bool {
	a.Sequence, a.Running, a.Queued, a.UrgentQueued = b.Sequence, b.Running, b.Queued, b.UrgentQueued
	return a == b
}

// Expire returns the view without the members not heard of since the time.
func (v *View) Expire(since time.Time) *View {
	var gone []*Member
	for _, member := range v.members {
		if member.Live.Heard().Before(since) {
			gone = append(gone, member)
		}
	}
	if len(gone) == 0 {
		return v
	}
	d := newDraft(v)
	for _, member := range gone {
		d.remove(member.Address)
	}
	return d.view()
}

func (v *View) clone() *View {
	return &View{members: maps.Clone(v.members), serving: maps.Clone(v.serving), stops: v.stops}
}

// rebuild computes the serving members of services anew, in one pass.
func (v *View) rebuild(services map[carobkeel.Service]bool) {
	serving := make(map[carobkeel.Service][]*Member)
	for _, member := range v.members {
		if services[member.Service] && v.IsServing(member) {
			serving[member.Service] = append(serving[member.Service], member)
		}
	}
	for service := range services {
		delete(v.serving, service)
		if list := serving[service]; len(list) > 0 {
			v.serving[service] = NewPool(list)
		}
	}
}

// IsServing reports whether the member takes new work: its upstream serves and no
// planned stop takes it out of use.
func (v *View) IsServing(member *Member) bool {
	return member.State == StateServing && !v.isStopped(member.Location)
}

// isStopped reports whether a planned stop takes the location out of use.
func (v *View) isStopped(at carobkeel.Location) bool {
	for _, target := range v.stops {
		if target.Covers(at) {
			return true
		}
	}
	return false
}
