package sidecar

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Choice is what a request asks of a pool.
type Choice struct {
	// From is the data centre that the request is in.
	From carobkeel.DataCentre
	// Class is the request's class.
	Class carobkeel.Class
	// Random is 64 random bits.
	Random uint64
	// Now is the time of the choice.
	Now time.Time
	// Tried holds members that this request was already sent to; they are
	// passed over.
	Tried []*Member
}

// spillMargin is the share of the local member's expected time that a member of
// another data centre may take at most. The margin keeps small differences
// between two moving averages from sending requests far.
const spillMargin = 0.8

// Pick returns the member that the request goes to, nil where there is none.
//
// Of two members of the own data centre drawn at random it takes the cheaper.
// Where that one has no free slot, the cheaper of two from all data centres
// takes the request if it is expected to end sooner, the way there included.
// Members that are ejected are taken only where there are no others.
func (p *Pool) Pick(c Choice) *Member {
	now := c.Now.UnixNano()
	local := cheaperOfTwo(p.in(c.From), c, now)
	if local != nil && !local.IsBusy(c.Class) {
		return local
	}
	c.Random = c.Random*spillMultiplier + 1
	other := cheaperOfTwo(p.members, c, now)
	if local == nil && other == nil {
		return anyUntried(p.members, c)
	}
	if local == nil || (other != nil && paysToLeave(local, other, c.Class, now)) {
		return other
	}
	return local
}

// spillMultiplier derives further random bits from those of the first draw.
const spillMultiplier = 6364136223846793005

// paysToLeave reports whether a request ends sooner at a member of another data
// centre. One that has not answered yet counts as fast as the local one: a
// single answer tells.
func paysToLeave(local, other *Member, class carobkeel.Class, now int64) bool {
	known := local.serviceMicros()
	if known == unknownLatency {
		return false
	}
	there := other.serviceMicros()
	if there == unknownLatency {
		there = known
	}
	return other.expected(there, class, now) < spillMargin*local.expected(known, class, now)
}

// cheaperOfTwo draws two members that are in service and returns the cheaper.
func cheaperOfTwo(members []*Member, c Choice, now int64) *Member {
	count := uint64(len(members))
	if count == 0 {
		return nil
	}
	first := nextInService(members, (c.Random>>32)%count, c.Tried, now)
	if first == nil {
		return nil
	}
	second := nextInService(members, (c.Random&0xffffffff)%count, c.Tried, now)
	if isCheaper(second, first, c.Class, now) {
		return second
	}
	return first
}

// nextInService returns the first member from start on, around the end, that
// takes new requests.
func nextInService(members []*Member, start uint64, tried []*Member, now int64) *Member {
	at := int(start)
	for range members {
		member := members[at]
		if !member.Live.draining.Load() && !member.Live.isEjectedAt(now) && !contains(tried, member) {
			return member
		}
		if at++; at == len(members) {
			at = 0
		}
	}
	return nil
}

// anyUntried returns a member though it is ejected, since a request has a better
// chance there than nowhere.
func anyUntried(members []*Member, c Choice) *Member {
	if len(members) == 0 {
		return nil
	}
	start := c.Random % uint64(len(members))
	for i := range members {
		member := members[(start+uint64(i))%uint64(len(members))]
		if !member.Live.draining.Load() && !contains(c.Tried, member) {
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
