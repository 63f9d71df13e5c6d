package agent

import (
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Deregister records that a worker announces its shutdown. The worker exits once Deregister has
// returned, so its last ends are listed before. The announcement may be late, or that of another
// worker: it ends the starts at once, and the holder hears of the departure once the worker
// does not answer any more.
func (a *Agent) Deregister(id string) {
	state := a.state.Load()
	d := state.Description
	if d == nil || d.ID != id {
		a.log.Info().Str("worker", id).Msg("shutdown of another worker ignored")
		return
	}
	if holderLink := a.holderLink.Load(); holderLink != nil {
		a.sendListing(holderLink, state, envelopeWithoutLease(state, holderLink.term()))
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
