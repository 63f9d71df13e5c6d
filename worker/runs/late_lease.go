package runs

import "time"

// LongestCallDelay bounds how long after it was sent a call without an answer is carried out.
const LongestCallDelay = 30 * time.Second

// LateLease bounds the lease that calls to an earlier incarnation of a worker may have given the
// present one under its ID, before its sidecar reached it. A call that gets no answer may be
// carried out seconds later, and its deadline is on the clock of the earlier incarnation, far
// ahead of the present one's. No listing shows such a lease.
type LateLease struct {
	// Remaining is the longest time for which the lease may still be valid, zero if there is none.
	Remaining time.Duration
	// Unanswered reports that the present process of the sidecar has sent such a call and got no
	// answer. Otherwise only an earlier process may have.
	Unanswered bool
}
