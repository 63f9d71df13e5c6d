package judge

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// disturbedRollback is by how much a process that isn't in touch may take longer to answer
// by one version only.
const disturbedRollback = 8

// judgeConfiguration looks for answers by an earlier version than the one that must be in
// force, and than one that the same incarnation has already answered by.
func judgeConfiguration(h *history) []Finding {
	var findings []Finding
	shown := make(map[Process][]routed)
	for _, answer := range h.routedAnswers() {
		f, broken := h.outdated(answer)
		if !broken {
			f, broken = h.wentBack(answer, shown[answer.entry])
		}
		if broken {
			findings = append(findings, f)
		}
		if answer.known {
			shown[answer.entry] = append(shown[answer.entry], answer)
		}
	}
	return findings
}

// routed is an answer that shows whether an entry knew a queue.
type routed struct {
	event  Event
	entry  Process
	target Target
	job    carobkeel.JobID
	sent   time.Duration
	found  bool
	// oldest and newest are the indexes of the first and the last version that allow the
	// answer, if known is true.
	oldest, newest int
	known          bool
}

// routedAnswers returns such answers in order of time.
func (h *history) routedAnswers() []routed {
	sent := make(map[carobkeel.JobID]map[int]Event)
	var answers []routed
	for _, event := range h.Events {
		switch seen := event.Observation.(type) {
		case SubmissionSent:
			if sent[seen.Job] == nil {
				sent[seen.Job] = make(map[int]Event)
			}
			sent[seen.Job][seen.Attempt] = event
		case SubmissionAnswered:
			if before, known := sent[seen.Job][seen.Attempt]; known && tellsQueue(seen.Answer) {
				s := before.Observation.(SubmissionSent)
				answers = append(answers, routed{
					event: event, entry: s.Entry, target: s.Target, job: s.Job, sent: before.At, found: seen.Answer == AnswerAccepted,
				})
			}
		case WaitingAnswered:
			if tellsQueue(seen.Answer) {
				answers = append(answers, routed{
					event: event, entry: seen.Entry, target: seen.Target, sent: seen.AskedAt, found: seen.Answer == AnswerAccepted,
				})
			}
		}
	}
	for i := range answers {
		h.allowing(&answers[i])
	}
	return answers
}

func tellsQueue(a Answer) bool { return a == AnswerAccepted || a == AnswerNoQueue }

// allowing finds the versions that allow the answer, of those that may have been in force.
func (h *history) allowing(a *routed) {
	a.newest = -1
	for i, v := range h.versions {
		if v.sent.Number > a.event.Number || (v.queue(a.target) != nil) != a.found {
			continue
		}
		if !a.known {
			a.oldest, a.known = i, true
		}
		a.newest = i
	}
}

// outdated judges an answer by the newest version that had to be in force.
func (h *history) outdated(a routed) (Finding, bool) {
	inForce := -1
	for i, v := range h.versions {
		if v.acknowledged != nil && v.acknowledged.At+h.bounds.ConfigApply < a.sent {
			inForce = i
		}
	}
	if a.newest >= inForce || !h.contact.inTouch(a.entry.Name, a.event.At) {
		return Finding{}, false
	}
	v := h.versions[inForce]
	return findJob(RuleConfiguration, a.job, a.event.At, []Event{v.sent, *v.acknowledged, a.event},
		"%s answered for %s%s as only a version before %d allows", a.entry.Name, a.target.Host, a.target.Path, v.Version), true
}

// wentBack judges an answer by what the same incarnation has answered before.
func (h *history) wentBack(a routed, before []routed) (Finding, bool) {
	slack := h.bounds.ConfigRollback
	if !h.contact.inTouch(a.entry.Name, a.event.At) {
		slack *= disturbedRollback
	}
	for _, b := range before {
		if b.event.At+slack >= a.sent || a.newest >= b.oldest {
			continue
		}
		return findJob(RuleConfiguration, a.job, a.event.At, []Event{b.event, a.event},
			"%s answered for %s%s as only a version before %d allows, which it had answered by",
			a.entry.Name, a.target.Host, a.target.Path, h.versions[b.oldest].Version), true
	}
	return Finding{}, false
}
