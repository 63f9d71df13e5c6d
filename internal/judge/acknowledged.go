package judge

import (
	"fmt"
	"time"
)

const (
	// missingCancels is the smallest number of cancellations without an answer that
	// counts.
	missingCancels = 3
	// allowedCancels, allowedEnds and allowedDrains are the parts of all, as one in so
	// many, that may have no answer.
	allowedCancels = 10
	allowedEnds    = 5
	allowedDrains  = 5
)

// judgeAcknowledged looks for cancellations, ends and drains that too often have no answer
// in time, though nothing was disturbed.
func judgeAcknowledged(h *history) []Finding {
	var findings []Finding
	cancels := h.cancelTally()
	if len(cancels.missing) >= missingCancels && cancels.over(allowedCancels) {
		findings = append(findings, cancels.finding("cancellations"))
	}
	if ends := h.endTally(); ends.over(allowedEnds) {
		findings = append(findings, ends.finding("listed ends"))
	}
	if drains := h.drainTally(); drains.over(allowedDrains) {
		findings = append(findings, drains.finding("workers that drain"))
	}
	return findings
}

// tally counts what is owed an answer, and holds what has none.
type tally struct {
	owed    int
	missing []Event
	// at is when the last one was due.
	at time.Duration
}

func (t *tally) miss(event Event, due time.Duration) {
	t.missing = append(t.missing, event)
	t.at = max(t.at, due)
}

// over reports whether more than one in so many have no answer.
func (t *tally) over(oneIn int) bool { return oneIn*len(t.missing) > t.owed }

func (t *tally) finding(what string) Finding {
	return findJob(RuleAcknowledged, "", t.at, t.missing, "%s", fmt.Sprintf("%d of %d %s have no answer in time", len(t.missing), t.owed, what))
}

// cancelTally counts the cancellations of accepted jobs.
func (h *history) cancelTally() tally {
	var t tally
	for _, j := range h.jobOrder {
		if j.accepted == nil || j.cancelSent == nil {
			continue
		}
		t.owed++
		last := h.End
		if j.cancelled != nil {
			last = j.cancelled.At
		}
		if due, calm := h.contact.calmStretch(j.cancelSent.At, h.bounds.Acknowledge, last); calm && due < last {
			t.miss(*j.cancelSent, due)
		}
	}
	return t
}

// endTally counts the ends that workers have listed.
func (h *history) endTally() tally {
	var t tally
	for _, r := range h.runs {
		if r.listed == nil {
			continue
		}
		t.owed++
		last := h.End
		l := h.byWorker[r.Worker]
		if l.end != nil {
			last = l.end.At
		}
		if event, ok := l.acknowledged(r); ok {
			last = event.At
		}
		if due, calm := h.contact.calmStretch(r.listed.At, h.bounds.Acknowledge, last); calm && due < last {
			t.miss(*r.listed, due)
		}
	}
	return t
}

// drainTally counts the workers that said in calm that they drain.
func (h *history) drainTally() tally {
	var t tally
	for _, l := range h.lives {
		if l.drainReported == nil {
			continue
		}
		due := l.drainReported.At + h.bounds.Acknowledge
		if l.end != nil {
			due = min(due, l.end.At)
		}
		if due > h.End || !h.contact.calm(span{l.drainReported.At, due}) {
			continue
		}
		t.owed++
		if l.anyDrainAcknowledged == nil || l.anyDrainAcknowledged.At > due {
			t.miss(*l.drainReported, due)
		}
	}
	return t
}
