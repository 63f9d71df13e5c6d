package agent

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// failedListing is a request for a listing that was refused or not answered.
type failedListing struct {
	// state and term are those in which it was requested.
	state  *gate.Worker
	term   gate.Term
	began  time.Time
	answer runs.Answer
	err    error
}

// handleFailure records a listing that was refused or not answered, and waits before
// the next one.
func (l *lister) handleFailure(ctx context.Context, f failedListing) {
	a, d := l.agent, f.state.Description
	l.failures++
	a.metrics.ListingsFailed.Inc(1)
	l.lastFullLink = nil
	if f.err != nil {
		a.updateState(func(w gate.Worker) gate.Worker { return w.Unanswered(f.err) })
	}
	if f.err == nil && f.answer.Result != runs.ResultUnhealthy {
		a.logRefused(d, f.answer.Result)
	}
	if hasEnded(f.answer, f.err) {
		a.reportShutdown(d.Incarnation)
	}
	l.examineCandidate(f)
	if !a.state.Load().Describes(d.Incarnation) {
		l.failures = 0 // they say nothing about the incarnation that is known now
		return
	}
	if l.failures >= unresponsiveAfter && (!a.unresponsive.Load() || mayRepeat(&l.reportedAt)) {
		l.reportUnresponsive(d, f.err)
	}
	// Nothing starts on the worker before it has answered. The listing's context may have ended,
	// which must not cut the pause short.
	if pause := l.suspectRestart(f) - time.Since(f.began); pause > 0 {
		a.waitForChange(context.WithoutCancel(ctx), pause)
	}
}

// mayRepeat reports whether something was last done a retryPause ago, and records that it is done
// now.
func mayRepeat(last *time.Time) bool {
	if time.Since(*last) < retryPause {
		return false
	}
	*last = time.Now()
	return true
}

// examineCandidate asks once more for an incarnation that did not answer after its heartbeat. It
// does so at once if the known one is denied.
func (l *lister) examineCandidate(f failedListing) {
	if isDenied := f.err == nil && f.answer.Result == runs.ResultOtherIncarnation; isDenied || mayRepeat(&l.examinedAt) {
		l.agent.examineCandidate()
	}
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
// usable answer, and returns the least time from that one to the next. A refusal in no term, or in
// one that is over, says nothing about the generation, nor does a worker that answers that it
// is unhealthy.
func (l *lister) suspectRestart(f failedListing) time.Duration {
	a, incarnation := l.agent, f.state.Description.Incarnation
	holder := a.holder.Load()
	isCurrent := holder.Known && f.term == holder.Term
	switch {
	case f.err != nil:
		if state := a.doubt(incarnation, doubtNoAnswer, gate.Worker.Miss); state.Doubts == f.state.Doubts {
			return l.absencePause()
		}
	case f.answer.Result == runs.ResultOtherIncarnation:
		a.doubt(incarnation, doubtOtherIncarnation, gate.Worker.Deny)
	case f.answer.Result == runs.ResultStaleEpoch && isCurrent:
		a.doubt(incarnation, doubtOvertaken, gate.Worker.Suspect)
	default:
		return retryPause
	}
	if l.mayRetryAtOnce() {
		return 0
	}
	return retryPause
}

// absencePause returns the pause after a listing without an answer that took no generation.
func (l *lister) absencePause() time.Duration {
	now := time.Now()
	if l.missedSince.IsZero() {
		l.missedSince = now
	}
	return min(max(now.Sub(l.missedSince)/absenceShare, shortestAbsencePause), retryPause)
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
