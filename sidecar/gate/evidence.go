package gate

import "github.com/carobkeel/carobkeel/worker/runs"

// Evidence is what the worker's address has answered about an incarnation that sent a
// heartbeat.
type Evidence uint8

const (
	// NotAnswered means that nothing is known: there was no answer, or one without a listing.
	NotAnswered Evidence = iota
	// AnsweredUnderItsID means that a worker with its ID lives at the address, by an answer that
	// does not tell which incarnation it is.
	AnsweredUnderItsID
	// AnsweredAsIt means that the incarnation lives at the worker's address.
	AnsweredAsIt
	// AnsweredAsAnother means that another incarnation does.
	AnsweredAsAnother
)

var evidenceNames = [...]string{"no answer", "answered under its ID", "answered as it", "answered as another"}

// String returns the evidence's name.
func (e Evidence) String() string {
	if int(e) >= len(evidenceNames) {
		return "unknown"
	}
	return evidenceNames[e]
}

// Examine returns the evidence of an answer to a request for a listing that was addressed to
// an incarnation. Its listing stated the given start, zero if it stated none. A worker
// compares only its ID, so without a start the incarnation that began last under that ID counts:
// the ends of a worker that has restarted must not be taken for those of the one before.
func Examine(incarnation runs.Incarnation, known *Worker, result runs.Result, startedAtMs int64) Evidence {
	switch {
	case result == runs.ResultOtherIncarnation:
		return AnsweredAsAnother
	case result == runs.ResultStaleEpoch: // a worker compares its ID before the fence
		return AnsweredUnderItsID
	case result != runs.ResultOK:
		return NotAnswered
	case startedAtMs == incarnation.StartedAtMs:
		return AnsweredAsIt
	case startedAtMs != 0:
		return AnsweredAsAnother
	case known.mayBeFollowedBy(incarnation):
		return AnsweredAsIt
	}
	return AnsweredUnderItsID
}

// mayBeFollowedBy reports whether an incarnation has another ID than the described one, or
// began later.
func (w *Worker) mayBeFollowedBy(incarnation runs.Incarnation) bool {
	d := w.Description
	return d == nil || d.ID != incarnation.ID || d.StartedAtMs < incarnation.StartedAtMs
}
