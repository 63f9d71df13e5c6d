package judge

import "github.com/carobkeel/carobkeel"

// judgeShown looks for jobs that are shown as completed while a task isn't done, and for
// jobs that are shown and that nobody sent.
func judgeShown(h *history) []Finding {
	var findings []Finding
	for _, j := range h.jobOrder {
		for _, event := range j.states {
			seen := event.Observation.(StateAnswered)
			if seen.Answer != AnswerAccepted {
				continue
			}
			if j.spec() == nil || j.attempts[0].sent.Number > event.Number {
				findings = append(findings, findJob(RuleShown, j.id, event.At, []Event{event},
					"shown as %v, and no caller has sent it", seen.State))
				break
			}
			if seen.State != carobkeel.JobCompleted {
				continue
			}
			if missing, found := h.undoneOfJob(j, event.Number); found {
				findings = append(findings, findTask(RuleShown, missing, event.At, []Event{event},
					"the job is shown as completed, and the task isn't done"))
				break
			}
		}
	}
	return findings
}

// undoneOfJob returns a task of the job that wasn't done by the event with the number.
func (h *history) undoneOfJob(j *job, number int) (carobkeel.TaskName, bool) {
	spec := j.spec()
	for occurrence := range max(1, spec.Repeats) {
		for step := range spec.Steps {
			first := carobkeel.TaskName{Job: j.id, Occurrence: occurrence, Step: step}
			if missing, found := h.undoneOf(first, number); found {
				return missing, true
			}
		}
	}
	return carobkeel.TaskName{}, false
}
