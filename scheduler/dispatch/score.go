package dispatch

import "slices"

// Weights of the terms of a worker's score. A weight of 1 corresponds to all
// processors of a worker.
const (
	// sameStepPenalty spreads the tasks of a long-running step over workers, so
	// that the loss of one worker affects few of them.
	sameStepPenalty = 0.05
	// remoteDataPenalty keeps tasks near their data: they take longer
	// elsewhere.
	remoteDataPenalty = 1.0
	// failedHostPenalty keeps a task away from the hosts on which it has
	// failed.
	failedHostPenalty = 2.0
	// lateLeasePenalty keeps long-running tasks away from workers whose lease may be longer
	// than their holder's pings say: if such a host is lost, its tasks wait that long. It outweighs
	// all other terms.
	lateLeasePenalty = 10.0
	// latencyCriticalPenalty keeps best-effort tasks away from latency-critical
	// ones. It outweighs a full pace together with a full budget.
	latencyCriticalPenalty = 2.0
	// sameImageWeight groups latency-critical tasks of the same image on a
	// worker. Images differ in the best-effort tasks that they tolerate, and a
	// worker can run only those that all of its latency-critical tasks
	// tolerate. The weight is less than half of a free worker, since a worker
	// without latency-critical tasks tolerates all.
	sameImageWeight = 0.2
	// freeCPUWeight weighs the free processors for a best-effort task against
	// the utilization budget left to latency-critical ones.
	freeCPUWeight = 0.3
	// referenceMilliCPU is the size of the worker to which free processors are
	// compared, in thousandths of a core.
	referenceMilliCPU = 32000
)

// score rates how well a worker suits a task; higher is better.
func (c *Core) score(t *task, w *workerState) float64 {
	s := t.step.spec
	capacity := float64(max(1, w.description.Capacity.MilliCPU))
	// Tasks with a reservation fill one worker after the other, first those
	// with the fewest free processors, so that some workers stay free of
	// latency-critical tasks for best-effort ones.
	score := -float64(w.free().MilliCPU) / referenceMilliCPU
	if s.BestEffort {
		load := c.sharing(w).load
		score = freeCPUWeight * (capacity - float64(load.used+load.bestEffort)) / capacity
		if load.latencyCritical > 0 {
			pace, left := c.expectedPace(t, w)
			score += left + float64(pace)/fullPace - latencyCriticalPenalty
		}
	}
	if s.LatencyTarget > 0 {
		score += sameImageWeight * w.imageAffinity(s.Image)
	}
	if s.LongRunning {
		score -= sameStepPenalty * float64(w.countRuns(t.step))
		if c.hasLateLease(w) {
			score -= lateLeasePenalty
		}
	}
	if s.DataRack != "" && !w.description.HasLabel(s.DataRack) {
		score -= remoteDataPenalty
	}
	if t.hasFailedOn(w) {
		score -= failedHostPenalty
	}
	return score
}

// hasFailedOn reports whether a run of the task has failed on the worker's host.
func (t *task) hasFailedOn(w *workerState) bool { return slices.Contains(t.failedHosts, w.host) }

// imageAffinity compares an image to the images of a worker's latency-critical
// tasks: 1 if all of them run it, -1 if none does, 0 if there are none.
func (w *workerState) imageAffinity(image string) float64 {
	same, all := 0.0, 0.0
	for _, r := range w.runs {
		if r.task == nil || r.task.step.spec.LatencyTarget <= 0 {
			continue
		}
		all++
		if r.task.step.spec.Image == image {
			same++
		}
	}
	if all == 0 {
		return 0
	}
	return 2*same/all - 1
}

// load is the load of a worker.
type load struct {
	// used is the expected usage of the tasks with a reservation, as learned where they
	// are latency-critical, and bestEffort that of the best-effort tasks, in thousandths
	// of a core.
	used, bestEffort int64
	// latencyCritical counts the tasks with a latency target.
	latencyCritical int
}

// hasProcessorsFor reports whether the processors that other tasks leave free
// suffice for one more best-effort task.
func (l load) hasProcessorsFor(demand, capacity int64) bool {
	return float64(l.bestEffort+demand) <= bestEffortOvercommit*float64(capacity-l.used)
}

func (c *Core) loadOf(w *workerState) load {
	var l load
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		spec := r.task.step.spec
		switch {
		case spec.BestEffort:
			l.bestEffort += spec.Demand.MilliCPU * int64(r.pace) / fullPace
		case spec.LatencyTarget > 0:
			l.latencyCritical++
			l.used += int64(float64(spec.Demand.MilliCPU) * c.interference.Load(spec.Image, r.task.step.name))
		default:
			l.used += spec.Demand.MilliCPU
		}
	}
	return l
}

// bestEffortOvercommit is the ratio by which the demand of best-effort tasks may exceed
// the processors that others leave free. They share these, so that none is idle.
const bestEffortOvercommit = 1.25
