package judge

// judgeDrain looks for starts on a worker after it was acknowledged that it drains.
func judgeDrain(h *history) []Finding {
	var findings []Finding
	for _, r := range h.runs {
		drain := h.byWorker[r.Worker].drainAcknowledged
		if drain == nil || r.start.At <= drain.At+h.bounds.Drain || !h.onTime(r) {
			continue
		}
		findings = append(findings, findTask(RuleDrain, r.Task, r.start.At, []Event{*drain, r.start},
			"%v began %v after the worker's draining was acknowledged", r, r.start.At-drain.At))
	}
	return findings
}
