package sidecar

import "time"

const (
	// failuresToEject is the number of consecutive failures that makes a member a
	// candidate for ejection.
	failuresToEject = 5
	// maxEjectedShare is the largest share of a pool that may be ejected at once.
	maxEjectedShare = 0.5
	// outlierFactor is the least ratio of an outlier's failure share to the mean
	// of the other members.
	outlierFactor = 2
	// ejectionBase is the duration of the first ejection. The duration doubles with
	// each further one.
	ejectionBase = 5 * time.Second
	// ejectionMax is the maximum duration of an ejection.
	ejectionMax = time.Minute
)

// RecordFailure records that a request to the member failed at now. A member that fails
// much more often than the others is ejected for a while, unless more than half of
// the pool would then be ejected. If all members fail equally often, none is an
// outlier.
func (p *Pool) RecordFailure(m *Member, now time.Time) {
	if m.Stats.recordFailure() < failuresToEject || m.Stats.IsEjected(now) {
		return
	}
	if p.isOutlier(m, now) {
		m.Stats.eject(now)
	}
}

// RecordFailureOf records that a request that was sent to the member at sent failed at now. If it
// was sent before the member's last ejection ended, it shows nothing that the ejection does not
// rest on already, however late it fails.
func (p *Pool) RecordFailureOf(m *Member, sent, now time.Time) {
	if !m.Stats.IsEjected(sent) {
		p.RecordFailure(m, now)
	}
}

// isOutlier reports whether the member's failure share is outlierFactor times the
// mean of the other members that are not ejected, and another ejection is allowed.
func (p *Pool) isOutlier(m *Member, now time.Time) bool {
	var ejected int
	var share float64
	for _, other := range p.members {
		if other.Stats == m.Stats {
			continue
		}
		if other.Stats.IsEjected(now) {
			ejected++
			continue
		}
		share += other.Stats.FailureShare()
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(p.members)) {
		return false
	}
	mean := share / float64(len(p.members)-1-ejected)
	return m.Stats.FailureShare() >= outlierFactor*mean
}

// eject takes the member out of use for a time that doubles with each consecutive
// ejection. Its slow start begins when the ejection ends, and a single failure
// then makes it a candidate again.
func (l *Stats) eject(now time.Time) {
	duration := ejectionMax
	if round := l.consecutiveEjections.Add(1); round <= ejectionDoublings {
		duration = min(ejectionBase<<(round-1), ejectionMax)
	}
	until := now.Add(duration).UnixNano()
	l.ejectedUntil.Store(until)
	l.slowStartFrom.Store(until)
	l.consecutiveFailures.Store(failuresToEject - 1)
}

// ejectionDoublings bounds the shift that computes an ejection's duration, so that
// it can't overflow.
const ejectionDoublings = 8
