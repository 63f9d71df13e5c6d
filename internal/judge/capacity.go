package judge

import "github.com/carobkeel/carobkeel"

// judgeCapacity looks for starts that bring a worker over its capacity, where it doesn't
// reject them itself. What is being stopped counts.
func judgeCapacity(h *history) []Finding {
	var findings []Finding
	for _, r := range h.runs {
		l, step := h.byWorker[r.Worker], h.step(r.Task)
		if l.EnforcesCapacity || step == nil {
			continue
		}
		used := h.used(l.runningAt(r.start.Number))
		if exceeds(reserved(step), used, l.Capacity) {
			findings = append(findings, findTask(RuleCapacity, r.Task, r.start.At, []Event{l.start, r.start},
				"%v brought its worker to %+v of %+v", r, used, l.Capacity))
		}
	}
	return findings
}

// used returns what the runs reserve.
func (h *history) used(runs []*run) carobkeel.Resources {
	var used carobkeel.Resources
	for _, r := range runs {
		if step := h.step(r.Task); step != nil {
			used = used.Add(reserved(step))
		}
	}
	return used
}

// reserved returns what a task reserves: no processor time for a best-effort one.
func reserved(step *carobkeel.Step) carobkeel.Resources {
	demand := step.Demand
	if step.BestEffort {
		demand.MilliCPU = 0
	}
	return demand
}

// exceeds reports whether used is over the capacity in a resource that demand has a part
// of.
func exceeds(demand, used, capacity carobkeel.Resources) bool {
	return (demand.MilliCPU > 0 && used.MilliCPU > capacity.MilliCPU) ||
		(demand.MemoryBytes > 0 && used.MemoryBytes > capacity.MemoryBytes) ||
		(demand.Accelerators > 0 && used.Accelerators > capacity.Accelerators)
}
