package sidecar

// Pick returns the less loaded of two members drawn by random, nil where there
// is none. tried holds members that this request was already sent to; they are
// passed over.
func Pick(members []*Member, random uint64, tried []*Member) *Member {
	count := uint64(len(members))
	if count == 0 {
		return nil
	}
	first := nextUntried(members, (random>>32)%count, tried)
	second := nextUntried(members, (random&0xffffffff)%count, tried)
	if first == nil || second == nil {
		return first
	}
	if cost(second) < cost(first) {
		return second
	}
	return first
}

// nextUntried returns the first member from start on, around the end, that is
// not in tried.
func nextUntried(members []*Member, start uint64, tried []*Member) *Member {
	for i := range members {
		member := members[(start+uint64(i))%uint64(len(members))]
		if !contains(tried, member) {
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

// cost is the time that a new request would take at the member, in
// microseconds: the requests there, its own among them, by the latency of one
// and over the slots that serve them.
func cost(m *Member) int64 {
	waiting := m.Live.InFlight.Load() + 1
	latency := max(m.Live.LatencyMicros.Load(), 1)
	return waiting * latency / int64(max(m.Slots, 1))
}
