package dispatch

import (
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// LinkID names a link among those that the process of the holder has accepted.
type LinkID uint64

// Link is the link of a host's sidecar to the holder.
type Link struct {
	ID LinkID
	// Process is the incarnation of the sidecar's process, which numbers its requests
	// for listings from one.
	Process carobkeel.Incarnation
}

// listingMark is a point in the sequence of a sidecar's requests for listings. What was
// known at the mark is refuted only by a listing that was requested after it.
type listingMark struct {
	process carobkeel.Incarnation
	// number is that of the last listing requested before the mark.
	number uint64
}

// markAt returns the mark at which a worker's sidecar had requested the given number of
// listings.
func markAt(w *workerState, number uint64) listingMark {
	return listingMark{process: w.link.Process, number: number}
}

// precedes reports whether a listing of a worker's sidecar was requested after the mark. A
// process that replaced the one of the mark has requested all its listings later.
func (m listingMark) precedes(w *workerState, listing uint64) bool {
	return w.link.Process != m.process || listing > m.number
}

// describe returns the evidence for a release, for the log.
func (m listingMark) describe(w *workerState, listing uint64) string {
	return fmt.Sprintf("listing %d of link %d, after %d", listing, w.link.ID, m.number)
}

// describeReplacement names a worker's known incarnation and the one that replaces it, for the
// log.
func describeReplacement(w *workerState, next runs.Incarnation) string {
	return w.description.ID + " then " + next.ID
}

// describeStarts names a worker's known incarnation and the one that is described next, with
// their starts in Unix milliseconds, for the log.
func describeStarts(w *workerState, next runs.Incarnation) string {
	return fmt.Sprintf("%s, started %d, %d", describeReplacement(w, next), w.description.StartedAtMs, next.StartedAtMs)
}

// describeMissing names the listing of a worker's incarnation that lacks a run, for the log.
func describeMissing(w *workerState, listing uint64) string {
	return fmt.Sprintf("not in listing %d of %s", listing, w.description.ID)
}

// describeExpiry returns how long before held a worker's lease expired, and why nothing has
// extended it, for the log.
func describeExpiry(w *workerState, held time.Duration) string {
	return fmt.Sprintf("%d ms ago, %s", (held - w.expiry()).Milliseconds(), describeSilence(w))
}

// describeSilence returns why nothing has extended a worker's lease.
func describeSilence(w *workerState) string {
	switch {
	case !w.linked:
		return "link lost"
	case w.unresponsive:
		return "worker does not answer"
	case w.candidate != nil:
		return "another incarnation described"
	}
	return "nothing listed"
}

// describeInherited names an incarnation of an earlier holder that is dropped without a listing,
// and what this holder then knows of its host, for the log.
func (c *Core) describeInherited(incarnation runs.Incarnation, host string) string {
	w := c.workers[host]
	if w == nil {
		w = &workerState{}
	}
	linked := "host not linked"
	if w.linked {
		linked = "host linked"
	}
	late := ""
	if c.unreportedWorkers[incarnation].lateExpiry > 0 {
		late = ", late lease counted by an earlier holder"
	}
	return fmt.Sprintf("%s, %s, %s%s", incarnation.ID, linked, describeOwnLease(w, c.now.Held), late)
}

// describeOwnLease returns how long after held a lease counts that was extended for this holder.
func describeOwnLease(w *workerState, held time.Duration) string {
	switch {
	case w.expiry() == 0:
		return "no own lease"
	case w.expiry() <= held:
		return fmt.Sprintf("own lease expired %d ms ago", (held - w.expiry()).Milliseconds())
	}
	return fmt.Sprintf("own lease for %d ms", (w.expiry() - held).Milliseconds())
}

// lateLeaseEvidence says why a late call may have extended the lease of a worker's incarnation, or
// why none has, for the log.
type lateLeaseEvidence string

const (
	lateStartMayHaveBegun    lateLeaseEvidence = "first listing has runs or ends"
	lateCallUnanswered       lateLeaseEvidence = "call without an answer"
	lateLeaseRecorded        lateLeaseEvidence = "counted by an earlier holder"
	lateCallOfEarlierProcess lateLeaseEvidence = "calls of an earlier sidecar process unknown"
	lateCallBeforeEnd        lateLeaseEvidence = "calls of an earlier sidecar process unknown, earlier incarnation ended"
	noEarlierIncarnation     lateLeaseEvidence = "no earlier incarnation known"
	noEarlierProcess         lateLeaseEvidence = "no earlier sidecar process known"
)

// isNone reports whether no late call has extended the lease, as far as this holder knows.
func (e lateLeaseEvidence) isNone() bool { return e == noEarlierIncarnation || e == noEarlierProcess }

// describeLateLease returns how long a late lease of a worker counts beyond the ordinary one, for
// the log. It is empty if the ordinary one is the longer one.
func (c *Core) describeLateLease(w *workerState) string {
	if !c.hasLateLease(w) || w.lateExpiry <= w.leaseExpiry {
		return ""
	}
	return fmt.Sprintf("late lease for %d ms", (w.lateExpiry - c.now.Monotonic).Milliseconds())
}
