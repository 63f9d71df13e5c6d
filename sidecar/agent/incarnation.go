package agent

import (
	"context"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// examine asks at the worker's address for an incarnation that has sent a heartbeat.
func (a *Agent) examine(known *gate.Worker, d *runs.Description) gate.Evidence {
	state := known
	if known.Description != nil && known.Description.ID == d.ID {
		// If the worker has restarted, this call is the first one to reach it, and keeps those to
		// the earlier incarnation off.
		state = a.doubt(known.Description.Incarnation, doubtHeartbeat, gate.Worker.Suspect)
	}
	return a.ask(d.Incarnation, state)
}

// ask requests a listing of an incarnation, in a state of the worker that may describe another.
func (a *Agent) ask(incarnation runs.Incarnation, state *gate.Worker) gate.Evidence {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	envelope := runs.Envelope{Incarnation: incarnation, Fence: state.Fence(a.holder.Load().Term)}
	listing, answer, err := a.list(ctx, envelope, 0, 0)
	if err != nil {
		return gate.NotAnswered
	}
	if answer.Result == runs.ResultOK && state.Describes(runs.Incarnation{ID: incarnation.ID, StartedAtMs: listing.StartedAtMs}) {
		a.confirmState(state, envelope.Fence)
	}
	return gate.Examine(incarnation, state, answer.Result, listing.StartedAtMs)
}

// isDenied reports whether the worker's address denies the known incarnation. An answer of
// another one under the same ID has done so. Otherwise both may live there for a while, as at a
// release, and the known one keeps its runs until it is gone.
func (a *Agent) isDenied(known *gate.Worker, other *runs.Description) bool {
	if known.Description == nil || known.Denied || known.Description.ID == other.ID {
		return true
	}
	return a.ask(known.Description.Incarnation, known) == gate.AnsweredAsAnother
}

// replaceWorker replaces the known incarnation, if there is one, by another. It returns false
// if the known one has changed meanwhile.
func (a *Agent) replaceWorker(known *gate.Worker, d *runs.Description, evidence gate.Evidence) bool {
	for {
		state := a.state.Load()
		if state.Description != nil && (known.Description == nil || !state.Describes(known.Description.Incarnation)) {
			return false
		}
		if state.Description != nil {
			a.replacedAt.Store(int64(clock.Boottime())) // its lease is not known any more
		}
		next := state.Describe(d)
		next.Verified = evidence == gate.AnsweredAsIt
		if a.state.CompareAndSwap(state, &next) {
			a.recordReplacement(state.Description, &next, evidence)
			return true
		}
	}
}

// recordReplacement acts on the replacement of the known incarnation, which is nil for the
// first one that this process hears of.
func (a *Agent) recordReplacement(old *runs.Description, state *gate.Worker, evidence gate.Evidence) {
	d := state.Description
	a.withdrawn.Clear()
	a.clock.Store(&workerClock{})
	a.deadline.Store(0)
	a.extendedFor.Store(0)
	if old == nil {
		a.log.Info().Stringer("evidence", evidence).Str("worker", d.ID).Int64("born", d.StartedAtMs).
			Uint32("generation", a.generation(state)).Msg("first heartbeat of a worker incarnation")
	} else {
		a.metrics.IncarnationsReplaced.Inc(1)
		a.log.Warn().Stringer("evidence", evidence).Str("worker", d.ID).Int64("born", d.StartedAtMs).
			Str("known", old.ID).Int64("known_born", old.StartedAtMs).
			Uint32("generation", a.generation(state)).Msg("worker incarnation replaced")
	}
	if state.Verified {
		a.sendDescription(a.holderLink.Load())
	}
	if old != nil {
		a.reportShutdown(old.Incarnation)
		// The lister may still wait for the earlier incarnation, and until this one has been
		// reached, it carries out what was sent to that one.
		go a.requestListing(state, envelopeWithoutLease(state, a.holder.Load().Term))
	}
	a.wakeLister()
}

// workerIsGone reports whether the described incarnation of the worker does not answer
// and has no lease any more. Another one may then follow it, even one with an earlier
// start by a clock that was set back.
func (a *Agent) workerIsGone() bool {
	return a.unresponsive.Load() && max(a.leaseRemaining(), a.earlierLeaseRemaining()) <= 0
}

// fenceUnknownWorker has whatever worker answers at the address refuse calls with lower fences.
// It may have begun together with this process, and until its first heartbeat it carries out
// what was sent to its earlier incarnation. Without a number for this process, only calls of
// earlier epochs have a lower fence. The error says whether the call was sent.
func (a *Agent) fenceUnknownWorker(ctx context.Context, state *gate.Worker) error {
	fence := state.Fence(a.holder.Load().Term)
	if fence.Epoch == 0 {
		return nil // the fence would be below those of earlier calls
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	// What it lists is not used: its ID is not known, and whose heartbeat comes first neither.
	_, _, err := a.list(ctx, runs.Envelope{Fence: fence}, 0, 0)
	return err
}
