package judge

// judgeRefused looks for starts of jobs that all callers were refused.
func judgeRefused(h *history) []Finding {
	var findings []Finding
	reported := make(map[*job]bool)
	for _, r := range h.runs {
		j := h.jobs[r.Task.Job]
		if j == nil || reported[j] || !j.refused() {
			continue
		}
		reported[j] = true
		events := []Event{r.start}
		for _, a := range j.attempts {
			events = append(events, a.sent, *a.answered)
		}
		findings = append(findings, findTask(RuleRefused, r.Task, r.start.At, events,
			"%v began, and all %d attempts to hand its job in were refused", r, len(j.attempts)))
	}
	return findings
}

// refused reports whether each attempt to hand the job in was refused.
func (j *job) refused() bool {
	for _, a := range j.attempts {
		if a.answer != AnswerRejected && a.answer != AnswerNoQueue {
			return false
		}
	}
	return len(j.attempts) > 0
}
