package judge

import "time"

// judgeAttempts looks for starts of tasks whose failed runs have reached the limit, where
// the ends were taken note of.
func judgeAttempts(h *history) []Finding {
	var findings []Finding
	for _, r := range h.runs {
		step := h.step(r.Task)
		if step == nil || step.LongRunning {
			continue
		}
		_, limit := h.attemptLimits(h.jobs[r.Task.Job])
		failed, notedAt := h.notedFailures(r)
		if limit == 0 || len(failed) < limit {
			continue
		}
		if step.AllowsDuplicates && (r.start.At <= notedAt+noteGrace || !h.onTime(r)) {
			continue
		}
		findings = append(findings, findTask(RuleAttempts, r.Task, r.start.At, append(failed, r.start),
			"%v began after %d failed runs, the limit is %d", r, len(failed), limit))
	}
	return findings
}

// notedFailures returns the noted failures of a run's task before the run, and when the
// last of them was noted.
func (h *history) notedFailures(r *run) (ends []Event, notedAt time.Duration) {
	for _, earlier := range h.byTask[r.Task] {
		if earlier.endedBy(r.start.Number) && earlier.outcome == OutcomeFailed && earlier.noted {
			ends = append(ends, *earlier.end)
			notedAt = max(notedAt, earlier.notedAt)
		}
	}
	return ends, notedAt
}
