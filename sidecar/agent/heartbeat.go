package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// RecordHeartbeat records a worker's description of itself and reports whether it is
// acknowledged. After it was for a draining worker, no start is sent to that worker.
//
// A heartbeat is only a hint: it may be late, or that of another worker. Another incarnation
// replaces the known one once it has answered at the worker's address, which denies the known
// one, or once the known one is gone.
func (a *Agent) RecordHeartbeat(d runs.Description) bool {
	for {
		state := a.state.Load()
		if !state.Describes(d.Incarnation) {
			if acknowledged, decided := a.recordOther(&d); decided {
				return acknowledged
			}
			continue
		}
		old := state.Description
		if d.Sequence <= old.Sequence {
			return true
		}
		if next := state.Describe(&d, time.Now()); a.state.CompareAndSwap(state, &next) {
			a.recordUpdate(old, &d, state.Verified)
			return true
		}
	}
}

// recordUpdate acts on a further heartbeat of the known incarnation.
func (a *Agent) recordUpdate(old, d *runs.Description, verified bool) {
	if d.Draining && !old.Draining {
		a.log.Info().Str("worker", d.ID).Dur("remaining", d.Remaining).Msg("worker draining")
	}
	if d.Draining != old.Draining && verified {
		a.sendDescription(a.holderLink.Load())
	}
	if !d.Draining { // what announced the shutdown of this incarnation was mistaken
		a.leaving.Store(nil)
		a.leftIncarnation.Store(nil)
	}
	a.wakeLister()
}

// recordOther decides on a heartbeat of another incarnation than the known one, if there is
// one. The second result is false if the known one has changed meanwhile.
func (a *Agent) recordOther(d *runs.Description) (acknowledged, decided bool) {
	known := a.state.Load()
	if a.wasRefuted(known, d) {
		a.refuseHeartbeat(known.Description, d, gate.AnsweredAsAnother)
		return false, true
	}
	evidence := a.examine(known, d)
	switch {
	case evidence == gate.AnsweredAsIt && a.isDenied(known, d):
		return true, a.replaceWorker(known, d, evidence)
	case evidence == gate.AnsweredAsAnother || (evidence == gate.NotAnswered && a.isElsewhere(d)):
		a.recordRefutation(known, d, evidence)
		a.refuseHeartbeat(known.Description, d, evidence)
		return false, true
	case known.Description == nil || a.workerIsGone():
		return true, a.replaceWorker(known, d, evidence)
	}
	a.setCandidate(d)
	return true, true
}

// refutedTime is how long a refuted incarnation under the known ID is not asked for again. Each
// such question raises the generation, which must not run ahead of that of a later process.
const refutedTime = 200 * time.Millisecond

// refutation is the last answer that the known incarnation, and not the asked one under its ID,
// lives at the worker's address.
type refutation struct {
	known, refuted runs.Incarnation
	at             time.Time
}

func (a *Agent) recordRefutation(known *gate.Worker, d *runs.Description, evidence gate.Evidence) {
	if evidence == gate.AnsweredAsAnother && known.Description != nil && known.Description.ID == d.ID {
		a.refutation.Store(&refutation{known: known.Description.Incarnation, refuted: d.Incarnation, at: time.Now()})
	}
}

// wasRefuted reports whether the incarnation was refuted a moment ago beside the same known one.
func (a *Agent) wasRefuted(known *gate.Worker, d *runs.Description) bool {
	r := a.refutation.Load()
	return r != nil && r.refuted == d.Incarnation && known.Is(r.known) && time.Since(r.at) < refutedTime
}

// isElsewhere reports whether a worker says that it answers at another address.
func (a *Agent) isElsewhere(d *runs.Description) bool {
	return d.Address != "" && a.config.WorkerAddress != "" && d.Address != a.config.WorkerAddress
}

// setCandidate records the last heartbeat of an incarnation that has not answered.
func (a *Agent) setCandidate(d *runs.Description) {
	for {
		old := a.candidate.Load()
		if old != nil && old.Incarnation == d.Incarnation && old.Sequence >= d.Sequence {
			return
		}
		if a.candidate.CompareAndSwap(old, d) {
			return
		}
	}
}

// examineCandidate asks once more for an incarnation that did not answer after its heartbeat.
func (a *Agent) examineCandidate() {
	if d := a.candidate.Swap(nil); d != nil {
		a.RecordHeartbeat(*d)
	}
}

// examine asks at the worker's address for an incarnation that has sent a heartbeat.
func (a *Agent) examine(known *gate.Worker, d *runs.Description) gate.Evidence {
	state := known
	if known.Description != nil && known.Description.ID == d.ID {
		// If the worker has restarted, this call is the first one to reach it, and keeps those to
		// the earlier incarnation off.
		suspect := func(w gate.Worker) gate.Worker { return w.Suspect(time.Now()) }
		state = a.doubt(known.Description.Incarnation, doubtHeartbeat, suspect)
	}
	return a.ask(d.Incarnation, state)
}

// ask requests a listing of an incarnation, in a state of the worker that may describe another.
func (a *Agent) ask(incarnation runs.Incarnation, state *gate.Worker) gate.Evidence {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	envelope := runs.Envelope{
		Incarnation: incarnation, Fence: runs.Fence{Epoch: a.holder.Load().Epoch, Generation: state.Generation},
	}
	listing, answer, err := a.worker.List(ctx, envelope, 0, 0)
	if err != nil {
		return gate.NotAnswered
	}
	if answer.Result == runs.ResultOK && state.Describes(runs.Incarnation{ID: incarnation.ID, StartedAtMs: listing.StartedAtMs}) {
		a.confirmState(state)
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

// refuseHeartbeat records a heartbeat of another worker than the one on this host.
func (a *Agent) refuseHeartbeat(known, d *runs.Description, evidence gate.Evidence) {
	a.metrics.HeartbeatsRefused.Inc(1)
	skipped, ok := a.refused.Allow(time.Now())
	if !ok {
		return
	}
	line := a.log.Warn().Stringer("evidence", evidence).Str("worker", d.ID).Int64("born", d.StartedAtMs).
		Str("address", d.Address).Str("own_address", a.config.WorkerAddress)
	if known != nil {
		line = line.Str("known", known.ID).Int64("known_born", known.StartedAtMs)
	}
	line.Int64("skipped", skipped).Msg("heartbeat of another worker refused")
}

// replaceWorker replaces the known incarnation, if there is one, by another. It returns false
// if the known one has changed meanwhile.
func (a *Agent) replaceWorker(known *gate.Worker, d *runs.Description, evidence gate.Evidence) bool {
	for {
		state := a.state.Load()
		if state.Description != nil && (known.Description == nil || !state.Describes(known.Description.Incarnation)) {
			return false
		}
		next := state.Describe(d, time.Now())
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
	if old == nil {
		a.log.Info().Stringer("evidence", evidence).Str("worker", d.ID).Int64("born", d.StartedAtMs).
			Uint32("generation", uint32(state.Generation)).Msg("first heartbeat of a worker incarnation")
	} else {
		a.metrics.IncarnationsReplaced.Inc(1)
		a.log.Warn().Stringer("evidence", evidence).Str("worker", d.ID).Int64("born", d.StartedAtMs).
			Str("known", old.ID).Int64("known_born", old.StartedAtMs).
			Uint32("generation", uint32(state.Generation)).Msg("worker incarnation replaced")
	}
	if state.Verified {
		a.sendDescription(a.holderLink.Load())
	}
	if old != nil {
		a.reportShutdown(old.Incarnation)
		// The lister may still wait for the earlier incarnation, and until this one has been
		// reached, it carries out what was sent to that one.
		go a.requestListing(state, envelopeWithoutLease(state, a.holder.Load().Epoch))
	}
	a.wakeLister()
}

// workerIsGone reports whether the described incarnation of the worker does not answer
// and has no lease any more. Another one may then follow it, even one with an earlier
// start by a clock that was set back.
func (a *Agent) workerIsGone() bool {
	return a.unresponsive.Load() && max(a.leaseRemaining(), a.earlierLeaseRemaining()) <= 0
}

// Deregister records that a worker announces its shutdown. It exits once Deregister has
// returned, so the last ends are listed before. The announcement may be late, or that of
// another worker, so the holder is told once nothing answers any more.
func (a *Agent) Deregister(id string) {
	state := a.state.Load()
	d := state.Description
	if d == nil || d.ID != id {
		a.log.Info().Str("worker", id).Msg("shutdown of another worker ignored")
		return
	}
	if holderLink := a.holderLink.Load(); holderLink != nil {
		a.sendListing(holderLink, state, envelopeWithoutLease(state, holderLink.epoch()))
	}
	verified := state.Verified
	a.updateState(func(w gate.Worker) gate.Worker {
		if !w.Describes(d.Incarnation) {
			return w
		}
		verified = w.Verified
		drained := *w.Description // a heartbeat may have come since
		drained.Draining = true
		w.Description = &drained
		return w
	})
	if !verified {
		a.log.Info().Str("worker", id).Msg("shutdown ignored of a worker that has never answered here")
		return // that it does not answer here shows nothing
	}
	a.leaving.Store(&d.Incarnation)
	a.log.Info().Str("worker", id).Msg("worker shutting down")
	a.sendDescription(a.holderLink.Load())
	a.wakeLister()
}

// hasEnded reports whether a failed listing shows that the incarnation has ended.
func hasEnded(answer runs.Answer, err error) bool {
	if err != nil {
		return errors.Is(err, runs.ErrNotListening)
	}
	return answer.Result == runs.ResultOtherIncarnation
}

// reportShutdown tells the holder that an incarnation has shut down, if it has announced that.
func (a *Agent) reportShutdown(incarnation runs.Incarnation) {
	leaving := a.leaving.Load()
	if leaving == nil || *leaving != incarnation || !a.leaving.CompareAndSwap(leaving, nil) {
		return
	}
	a.leftIncarnation.Store(leaving)
	a.log.Info().Str("worker", incarnation.ID).Int64("born", incarnation.StartedAtMs).Msg("worker shut down")
	a.sendLeft(a.holderLink.Load(), incarnation)
}
