package agent

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// handleFailure records a listing that was refused or not answered, and waits before
// the next one.
func (l *lister) handleFailure(ctx context.Context, d *runs.Description, term gate.Term, answer runs.Answer, err error) {
	a := l.agent
	l.failures++
	a.metrics.ListingsFailed.Inc(1)
	l.lastFullLink = nil
	if err == nil && answer.Result != runs.ResultUnhealthy {
		a.logRefused(d, answer.Result)
	}
	if hasEnded(answer, err) {
		a.reportShutdown(d.Incarnation)
	}
	a.examineCandidate()
	if !a.state.Load().Describes(d.Incarnation) {
		l.failures = 0 // they say nothing about the incarnation that is known now
		return
	}
	if l.failures >= unresponsiveAfter {
		l.reportUnresponsive(d, err)
	}
	if l.suspectRestart(d, term, answer, err) {
		return // nothing starts on the worker before it has answered
	}
	// The listing's context may have ended, which must not cut the pause short.
	a.waitForChange(context.WithoutCancel(ctx), retryPause)
}

func (a *Agent) logRefused(d *runs.Description, result runs.Result) {
	if skipped, ok := a.listingsRefused.Allow(time.Now()); ok {
		a.log.Warn().Stringer("result", result).Str("worker", d.ID).Int64("skipped", skipped).Msg("listing refused")
	}
}

// mayRetryAtOnce reports whether the next listing follows one without an answer without a
// pause.
func (l *lister) mayRetryAtOnce() bool {
	now := time.Now()
	if l.failures > 1 || now.Sub(l.retriedAt) < immediateRetryInterval {
		return false
	}
	l.retriedAt = now
	return true
}

// suspectRestart raises the generation of the calls to the worker after a listing without a
// usable answer, and reports whether the next one is due at once. A refusal in no term, or in
// one that is over, says nothing about the generation, nor does a worker that answers that it
// is unhealthy.
func (l *lister) suspectRestart(d *runs.Description, term gate.Term, answer runs.Answer, err error) bool {
	a := l.agent
	holder := a.holder.Load()
	isCurrent := holder.Known && term == holder.Term
	switch {
	case err != nil:
		a.doubt(d.Incarnation, doubtNoAnswer, gate.Worker.Suspect)
		return l.mayRetryAtOnce()
	case answer.Result == runs.ResultOtherIncarnation:
		a.doubt(d.Incarnation, doubtOtherIncarnation, gate.Worker.Deny)
		return l.mayRetryAtOnce()
	case answer.Result == runs.ResultStaleEpoch && isCurrent:
		a.doubt(d.Incarnation, doubtOvertaken, gate.Worker.Suspect)
		return l.mayRetryAtOnce()
	}
	return false
}

// Reasons for which the generation of the calls to a worker rises.
const (
	doubtNoAnswer         = "a listing got no answer"
	doubtOtherIncarnation = "another incarnation answered"
	doubtOvertaken        = "the worker knows a later generation"
	doubtHeartbeat        = "a heartbeat under its ID states another start"
)

// doubt changes the state of an incarnation that may have ended, and returns the state. The
// first doubt about a confirmed incarnation is logged.
func (a *Agent) doubt(incarnation runs.Incarnation, reason string, change func(gate.Worker) gate.Worker) *gate.Worker {
	wasConfirmed := false
	a.updateState(func(w gate.Worker) gate.Worker {
		if wasConfirmed = w.Describes(incarnation) && w.Confirmed != (runs.Fence{}); !w.Describes(incarnation) {
			return w
		}
		return change(w)
	})
	state := a.state.Load()
	if wasConfirmed {
		a.extendedFor.Store(0) // that may have been for another incarnation
		a.log.Warn().Str("reason", reason).Str("worker", incarnation.ID).Int64("born", incarnation.StartedAtMs).
			Uint32("generation", a.generation(state)).Msg("generation raised")
	}
	return state
}

// generation returns the generation of calls to the worker in the present term, for the log.
func (a *Agent) generation(state *gate.Worker) uint32 {
	return uint32(state.Fence(a.holder.Load().Term).Generation)
}
