package sidecar

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

// View is an immutable snapshot of all announced sidecars.
type View struct {
	// members holds every known member by address.
	members map[string]*Member
	// serving holds the members that accept new work, by service.
	serving map[carobkeel.Service]*Pool
	// stops holds the targets of planned stops, whose members get no new work.
	stops []operator.StopTarget
}

// NewView returns a view without members.
func NewView() *View {
	return &View{members: map[string]*Member{}, serving: map[carobkeel.Service]*Pool{}}
}

// Serving returns the members of the service that accept new work. The slice must
// not be changed.
func (v *View) Serving(service carobkeel.Service) []*Member { return v.Pool(service).members }

// Pool returns the pool of the service's members that accept new work.
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

// Members returns all members, sorted by address.
func (v *View) Members() []*Member {
	return slices.SortedFunc(maps.Values(v.members), func(a, b *Member) int {
		return strings.Compare(a.Address, b.Address)
	})
}

// ApplyAnnouncement returns the view after an announcement that arrived at now. The
// second result is false, and the view unchanged, if the announcement is not newer
// than the recorded one. An announcement that changes only the load updates the
// member's Stats and makes no new view. ApplyAnnouncement and Expire must be
// called by one goroutine only.
func (v *View) ApplyAnnouncement(a Announcement, now time.Time) (*View, bool) {
	b := newViewBuilder(v)
	_, newer := b.apply(a, now)
	return b.build(), newer
}

// supersedes reports whether a is newer than the member's announcement. Within one
// incarnation the sequence number decides, between two their start times.
func supersedes(a Announcement, current *Member) bool {
	if a.Incarnation == current.Incarnation {
		return a.Sequence > current.Stats.sequence.Load()
	}
	return a.Started.After(current.Started)
}

// sameButLoad reports whether two announcements differ in their sequence number and
// load only.
func sameButLoad(a, b Announcement) bool {
	a.Sequence, a.Running, a.Queued, a.UrgentQueued = b.Sequence, b.Running, b.Queued, b.UrgentQueued
	return a == b
}

// Expire returns the view without the members whose last announcement arrived
// before since.
func (v *View) Expire(since time.Time) *View {
	var expired []*Member
	for _, member := range v.members {
		if member.Stats.LastAnnounced().Before(since) {
			expired = append(expired, member)
		}
	}
	if len(expired) == 0 {
		return v
	}
	d := newViewBuilder(v)
	for _, member := range expired {
		d.remove(member.Address)
	}
	return d.build()
}

func (v *View) clone() *View {
	return &View{members: maps.Clone(v.members), serving: maps.Clone(v.serving), stops: v.stops}
}

// rebuild recomputes the serving members of the services, in one pass.
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

// IsServing reports whether the member accepts new work: its upstream is serving and
// no planned stop covers it.
func (v *View) IsServing(member *Member) bool {
	return member.State == StateServing && !v.hasPlannedStop(member.Location)
}

// hasPlannedStop reports whether a planned stop covers the location.
func (v *View) hasPlannedStop(at carobkeel.Location) bool {
	for _, target := range v.stops {
		if target.Covers(at) {
			return true
		}
	}
	return false
}
