package agent

import (
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// workerClock is the clock of an incarnation of the worker. Each incarnation's begins anew.
type workerClock struct {
	gate.Clock
	incarnation runs.Incarnation
}

// envelopeWithoutLease returns the envelope of a request to the described worker that
// leaves its lease as it is.
func envelopeWithoutLease(state *gate.Worker, term gate.Term) runs.Envelope {
	return runs.Envelope{Incarnation: state.Description.Incarnation, Fence: state.Fence(term)}
}

// envelope returns the envelope of a request to the worker. It extends the lease only
// while the worker answers and the holder knows that.
func (a *Agent) envelope(state *gate.Worker, term gate.Term) runs.Envelope {
	e := envelopeWithoutLease(state, term)
	holder := a.holder.Load()
	if !state.IsConfirmed(e.Fence) || a.unresponsive.Load() || int64(holder.Confirmed) < a.extendsFrom.Load() {
		return e
	}
	deadline := gate.LeaseDeadline(*holder, a.clockOf(state.Description), a.config.WorkerLease, clock.Boottime())
	a.raiseDeadline(deadline)
	if !a.unresponsive.Load() { // otherwise the report may not include this deadline
		e.Deadline = deadline
	}
	return e
}

// listingEnvelope returns the envelope of a request for a listing. It extends the lease only if a
// later holder would know of the incarnation, since the request may be carried out by the next
// one: the holder has said so, or there are runs, and none is started before.
func (a *Agent) listingEnvelope(state *gate.Worker, term gate.Term) runs.Envelope {
	if !a.needsLease.Load() && !a.isRecorded(state.Description.Incarnation) {
		return envelopeWithoutLease(state, term)
	}
	return a.envelope(state, term)
}

// recordAnswering records that the worker answers and that its listing was sent to the
// holder. Version is that of the unresponsive flag as the listing was requested. A report since
// then that the worker does not answer, or one that was being sent then, may follow the listing, and
// stands.
func (a *Agent) recordAnswering(d *runs.Description, version uint64) {
	if !a.unresponsive.Load() {
		return
	}
	raise(&a.extendsFrom, clock.Boottime())
	if !a.unresponsive.ClearUnchanged(version) {
		return
	}
	a.log.Info().Str("worker", d.ID).Msg("worker answers")
	if holderLink := a.holderLink.Load(); holderLink != nil {
		holderLink.ping()
	}
}

// raiseDeadline sets the latest requested deadline unless a later one is recorded.
func (a *Agent) raiseDeadline(deadline time.Duration) { raise(&a.deadline, deadline) }

// raise sets a time unless a later one is recorded.
func raise(recorded *atomic.Int64, t time.Duration) {
	for {
		old := recorded.Load()
		if int64(t) <= old || recorded.CompareAndSwap(old, int64(t)) {
			return
		}
	}
}

// observeClock records the worker's clock from an answer. Answers of an earlier
// incarnation are ignored.
func (a *Agent) observeClock(incarnation runs.Incarnation, answer runs.Answer) {
	if answer.Clock == 0 || !a.state.Load().Is(incarnation) {
		return
	}
	reading := gate.Clock{Reading: answer.Clock, Received: clock.Boottime(), Known: true}
	a.clock.Store(&workerClock{Clock: reading, incarnation: incarnation})
}

// clockOf returns the clock of the described incarnation, which may be nil. It is unknown while
// the last reading is that of another incarnation.
func (a *Agent) clockOf(d *runs.Description) gate.Clock {
	c := a.clock.Load()
	if d == nil || c.incarnation != d.Incarnation {
		return gate.Clock{}
	}
	return c.Clock
}

// reportUnresponsive tells the holder that the worker does not answer, and how long
// its lease may still be valid.
func (l *lister) reportUnresponsive(d *runs.Description, err error) {
	a := l.agent
	first := !a.unresponsive.BeginReport()
	defer a.unresponsive.EndReport()
	remaining := a.leaseRemaining()
	if first {
		a.log.Warn().Err(err).Str("worker", d.ID).Dur("lease_left", remaining).Msg("worker does not answer")
	}
	sendUnreachable(a.holderLink.Load(), remaining, a.lateStarts(err))
}

// reportUnknownWorker tells the holder that this process knows no worker yet. It has extended no
// lease, so only one that an earlier process extended may still be valid, unless another goroutine
// has heard of the worker meanwhile.
func (a *Agent) reportUnknownWorker(holderLink *entryLink) {
	a.unresponsive.BeginReport()
	defer a.unresponsive.EndReport()
	sendUnreachable(holderLink, a.leaseRemaining(), nil)
}

// sendUnreachable tells the holder that the worker is not reached, how long its lease may still be
// valid, and which tasks it may run by late starts.
func sendUnreachable(holderLink *entryLink, remaining time.Duration, lateStarts []carobkeel.TaskName) {
	if holderLink == nil {
		return
	}
	holderLink.send(wire.TypeWorkerUnreachable, wire.FromUnreachable(remaining, lateStarts))
}

// leaseRemaining returns how long the worker's lease may still be valid, or
// gate.UnknownRemaining. This process has extended none of an incarnation that has never answered
// it, and that of the one before had ended when it was replaced.
func (a *Agent) leaseRemaining() time.Duration {
	state, earlier := a.state.Load(), a.earlierLeaseRemaining()
	if !state.Verified {
		return max(0, earlier)
	}
	remaining := gate.LeaseRemaining(a.clockOf(state.Description), time.Duration(a.deadline.Load()), clock.Boottime())
	if earlier > 0 {
		return max(earlier, remaining)
	}
	return remaining
}

// earlierLeaseRemaining returns how long a lease that an earlier process of this sidecar
// extended may still be valid, or one that this process extended before it took the present
// incarnation in: the worker may have been taken for another one meanwhile.
func (a *Agent) earlierLeaseRemaining() time.Duration {
	extendedUntil := max(a.started, time.Duration(a.replacedAt.Load()))
	return extendedUntil + gate.LongestLease(a.config.WorkerLease) - clock.Boottime()
}
