package sidecar

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// PickOptions holds the parameters of a choice of a member for a request.
type PickOptions struct {
	// From is the data centre of the entry that handles the request.
	From carobkeel.DataCentre
	// Class is the request's class.
	Class carobkeel.Class
	// Random holds 64 random bits.
	Random uint64
	// Now is the time of the choice.
	Now time.Time
	// Tried holds the members that this request was already sent to; they are
	// skipped.
	Tried []*Member
}

// spillMargin is the largest ratio of the expected time at a member of another
// data centre to that at the local member. The margin keeps small differences
// between two moving averages from sending requests to another data centre.
const spillMargin = 0.8

// Pick returns the member to send the request to, or nil if there is none.
//
// It draws two members of the local data centre at random and picks the cheaper.
// If that one has no free slot, Pick also draws two members from all data centres,
// and the cheaper of these gets the request if its expected time, including the
// round trip, is shorter. Ejected members are picked only if there are no others.
func (p *Pool) Pick(c PickOptions) *Member {
	now := c.Now.UnixNano()
	local := cheaperOfTwo(p.inDataCentre(c.From), c, now)
	if local != nil && !local.IsBusy(c.Class) {
		return local
	}
	c.Random = c.Random*lcgMultiplier + 1
	other := cheaperOfTwo(p.members, c, now)
	if local == nil && other == nil {
		return anyUntried(p.members, c)
	}
	if local == nil || (other != nil && isWorthSpilling(local, other, c.Class, now)) {
		return other
	}
	return local
}

// lcgMultiplier is the multiplier of the linear congruential generator that derives
// the random bits of the second draw from those of the first.
const lcgMultiplier = 6364136223846793005

// isWorthSpilling reports whether the request is expected to end sooner at other, a
// member that may be in another data centre. If other has not answered yet, it
// counts as fast as the local member: its first answer gives its real latency.
func isWorthSpilling(local, other *Member, class carobkeel.Class, now int64) bool {
	localService := local.serviceMicros()
	if localService == unknownLatency {
		return false
	}
	otherService := other.serviceMicros()
	if otherService == unknownLatency {
		otherService = localService
	}
	return other.expectedMicros(otherService, class, now) < spillMargin*local.expectedMicros(localService, class, now)
}

// cheaperOfTwo draws two available members at random and returns the cheaper one,
// nil if no member is available.
func cheaperOfTwo(members []*Member, c PickOptions, now int64) *Member {
	count := uint64(len(members))
	if count == 0 {
		return nil
	}
	first := nextAvailable(members, (c.Random>>32)%count, c.Tried, now)
	if first == nil {
		return nil
	}
	second := nextAvailable(members, (c.Random&0xffffffff)%count, c.Tried, now)
	// The first one may have become unavailable since.
	if second != nil && isCheaper(second, first, c.Class, now) {
		return second
	}
	return first
}

// nextAvailable returns the first member that accepts new requests, searching from
// index start and wrapping around at the end.
func nextAvailable(members []*Member, start uint64, tried []*Member, now int64) *Member {
	index := int(start)
	for range members {
		member := members[index]
		if !member.Stats.draining.Load() && !member.Stats.isEjectedAt(now) && !contains(tried, member) {
			return member
		}
		if index++; index == len(members) {
			index = 0
		}
	}
	return nil
}

// anyUntried returns an untried member that is not draining, even if it is ejected:
// the request may succeed there, and would otherwise fail for certain.
func anyUntried(members []*Member, c PickOptions) *Member {
	if len(members) == 0 {
		return nil
	}
	start := c.Random % uint64(len(members))
	for i := range members {
		member := members[(start+uint64(i))%uint64(len(members))]
		if !member.Stats.draining.Load() && !contains(c.Tried, member) {
			return member
		}
	}
	return nil
}

func contains(members []*Member, wanted *Member) bool {
	for _, member := range members {
		if member.Incarnation == wanted.Incarnation {
			return true
		}
	}
	return false
}
