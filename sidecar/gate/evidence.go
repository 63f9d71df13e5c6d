package gate

import "github.com/carobkeel/carobkeel/worker/runs"

// Evidence is what the worker's address has answered about an incarnation that sent a
// heartbeat.
type Evidence uint8

const (
	// NotAnswered means that nothing is known: there was no answer, or one without a listing.
	NotAnswered Evidence = iota
	// AnsweredAsIt means that the incarnation lives at the worker's address.
	AnsweredAsIt
	// AnsweredAsAnother means that another incarnation does.
	AnsweredAsAnother
)

var evidenceNames = [...]string{"no answer", "answered as it", "answered as another"}

// String returns the evidence's name.
func (e Evidence) String() string {
	if int(e) >= len(evidenceNames) {
		return "unknown"
	}
	return evidenceNames[e]
}

// Examine returns the evidence of an answer to a request for a listing that was addressed to
// an incarnation. Its listing stated the given start, zero if it stated none. A worker
// compares only its ID, so without a start an incarnation can't be told from another one under
// that ID.
func Examine(incarnation runs.Incarnation, known *Worker, result runs.Result, startedAtMs int64) Evidence {
	switch {
	case result == runs.ResultOtherIncarnation:
		return AnsweredAsAnother
	case result != runs.ResultOK:
		return NotAnswered
	case startedAtMs == incarnation.StartedAtMs:
		return AnsweredAsIt
	case startedAtMs != 0:
		return AnsweredAsAnother
	case known.Description != nil && known.Description.ID == incarnation.ID:
		return NotAnswered
	}
	return AnsweredAsIt
}
