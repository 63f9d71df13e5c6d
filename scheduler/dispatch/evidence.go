package dispatch

import (
	"fmt"

	"github.com/carobkeel/carobkeel"
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
	return fmt.Sprintf("listing %d of link %d, after listing %d", listing, w.link.ID, m.number)
}
