package agent

import (
	"time"

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
		if next := state.Describe(&d); a.state.CompareAndSwap(state, &next) {
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
// such question raises the generation, and interrupts the starts on the known incarnation.
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
