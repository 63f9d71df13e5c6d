// Package gate makes the sidecar's decisions about the worker on its host: which
// orders it executes, and how far it extends the worker's lease.
//
// The package does no I/O. Its types are values that are copied and replaced as a
// unit, so a reader never sees a partial update.
package gate

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Term is an epoch with the number that its holder has given this process of the sidecar. Both
// are part of the fence of calls to the worker, so they are read and replaced together.
type Term struct {
	Epoch carobkeel.Epoch
	// Process is zero until the holder of the epoch has answered.
	Process runs.ProcessNumber
}

// Less reports whether t is earlier than other.
func (t Term) Less(other Term) bool {
	if t.Epoch != other.Epoch {
		return t.Epoch < other.Epoch
	}
	return t.Process < other.Process
}

// Holder is the sidecar's record of the holder of its shard.
type Holder struct {
	// Term is the holder's or, until one has answered, the last epoch that an entry knew.
	Term
	// Confirmed is the sending time of the last ping that the holder answered.
	// The worker's lease is counted from it.
	Confirmed time.Duration
	// Known reports whether a holder has ever answered.
	Known bool
}

// Confirm returns h updated by an answer in the term to a ping sent at pinged.
// An answer in an earlier term changes nothing.
func (h Holder) Confirm(term Term, pinged time.Duration) Holder {
	if term.Less(h.Term) {
		return h
	}
	if term.Epoch > h.Epoch || pinged > h.Confirmed {
		h.Confirmed = pinged
	}
	h.Term = term
	h.Known = true
	return h
}

// Observe returns h after an entry that does not hold the shard has stated an epoch. Calls to
// the worker from before the sidecar's process began may have had it.
func (h Holder) Observe(epoch carobkeel.Epoch) Holder {
	if !h.Known {
		h.Epoch = max(h.Epoch, epoch)
	}
	return h
}

// TermOf returns the term of calls under an epoch, for which this process may have no number.
func (h Holder) TermOf(epoch carobkeel.Epoch) Term {
	if epoch == h.Epoch {
		return h.Term
	}
	return Term{Epoch: epoch}
}

// Clock maps the sidecar's time to the worker's clock.
type Clock struct {
	// Reading is the worker's clock as stated in an answer that arrived at
	// Received.
	Reading, Received time.Duration
	// Known reports whether there is a reading.
	Known bool
}

// workerClockDrift is the largest share by which a worker's clock may run slow: 2%.
const workerClockDrift = 0.02

// clockResolution is the unit in which a worker states its clock, rounded down.
const clockResolution = time.Millisecond

// at returns the worker's clock at time t, assuming that it runs at the true rate.
// The reading was taken at Received or earlier, so a lease counted from it ends no
// later than it should.
func (c Clock) at(t time.Duration) time.Duration { return c.Reading + t - c.Received }

// lowerBound returns a lower bound of the worker's clock at a time t after Received.
func (c Clock) lowerBound(t time.Duration) time.Duration {
	elapsed := t - c.Received
	return c.Reading + elapsed - time.Duration(float64(elapsed)*workerClockDrift)
}

// LeaseDeadline returns the end of the lease to request at a time now, on the worker's clock: the
// given duration after the last confirmed ping. It is zero, which extends nothing,
// if no holder has answered yet, the worker's clock is unknown or the lease has run out by now: the
// next incarnation, whose clock is behind, could only be given a lease by it that nobody counts.
func LeaseDeadline(h Holder, c Clock, duration, now time.Duration) time.Duration {
	if !h.Known || !c.Known || now >= h.Confirmed+duration {
		return 0
	}
	return max(0, c.at(h.Confirmed)+duration)
}

// UnknownRemaining stands for the remaining time of a lease that is unknown.
const UnknownRemaining = -time.Millisecond

// LeaseRemaining returns the longest time from now for which a lease with the
// deadline may still be valid on the worker's clock. It is UnknownRemaining if that
// clock is unknown, or if the deadline is zero: the sidecar has requested no lease,
// but its process may have been restarted.
func LeaseRemaining(c Clock, deadline, now time.Duration) time.Duration {
	if !c.Known || deadline == 0 {
		return UnknownRemaining
	}
	return max(0, deadline-c.lowerBound(now))
}

// LongestLease returns the longest time that a lease of the given duration may take on
// the sidecar's clock.
func LongestLease(duration time.Duration) time.Duration {
	return duration + time.Duration(float64(duration)*workerClockDrift)
}

// StartExpired reports whether a start may not be sent any more at a time now. It was
// decided when the holder had received the sidecar's ping of the time pinged, so the
// holder counts on it being sent within one lease of that ping. A worker that was
// reported as unresponsive answers again from extendsFrom on: the holder has given up
// what it ordered before it knew that.
func StartExpired(pinged, extendsFrom, now, lease time.Duration) bool {
	return pinged < extendsFrom || now-pinged >= lease
}

// AdmitOrder decides whether to send the worker a start that was ordered under the
// epoch for the given incarnation of the worker. It returns ResultOK if so, and
// otherwise the reason for the refusal.
func AdmitOrder(h Holder, epoch carobkeel.Epoch, worker Worker, incarnation runs.Incarnation) runs.Result {
	switch {
	case epoch < h.Epoch:
		return runs.ResultStaleEpoch
	case !worker.Is(incarnation):
		return runs.ResultOtherIncarnation
	case worker.Description.Draining:
		return runs.ResultDraining
	}
	return runs.ResultOK
}
