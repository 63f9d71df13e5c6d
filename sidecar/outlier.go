package sidecar

import "time"

const (
	// failuresToEject is the number of failures in a row that makes a member a
	// candidate for ejection.
	failuresToEject = 5
	// ejectedShare is the largest share of a pool that is ejected at a time.
	ejectedShare = 0.5
	// outlierFactor is how many times the failure share of the other members an
	// outlier's own is at least.
	outlierFactor = 2
	// ejectionBase is the length of a first ejection. It doubles each time.
	ejectionBase = 5 * time.Second
	// ejectionMax is the longest ejection.
	ejectionMax = time.Minute
)

// Fail notes that a request to the member failed at now. A member that fails
// much more than the others is ejected for a while, unless half of the pool is
// ejected already: where all fail alike, none is an outlier.
func (p *Pool) Fail(m *Member, now time.Time) {
	if m.Live.fail() < failuresToEject || m.Live.IsEjected(now) {
		return
	}
	if p.isOutlier(m, now) {
		m.Live.eject(now)
	}
}

// isOutlier compares the member with the others of the pool.
func (p *Pool) isOutlier(m *Member, now time.Time) bool {
	var ejected int
	var share float64
	for _, other := range p.members {
		if other.Live == m.Live {
			continue
		}
		if other.Live.IsEjected(now) {
			ejected++
			continue
		}
		share += other.Live.FailureShare()
	}
	if float64(ejected+1) > ejectedShare*float64(len(p.members)) {
		return false
	}
	mean := share / float64(len(p.members)-1-ejected)
	return m.Live.FailureShare() >= outlierFactor*mean
}

// eject passes the member over until a time that doubles with each ejection in
// a row. Its slow start begins then.
func (l *Live) eject(now time.Time) {
	length := ejectionMax
	if round := l.ejections.Add(1); round <= ejectionDoublings {
		length = min(ejectionBase<<(round-1), ejectionMax)
	}
	until := now.Add(length).UnixNano()
	l.ejectedUntil.Store(until)
	l.rampFrom.Store(until)
	l.failuresInARow.Store(failuresToEject - 1)
}

// ejectionDoublings keeps the shift of the ejection's length in range.
const ejectionDoublings = 8
