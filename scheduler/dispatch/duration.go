package dispatch

import (
	"math"
	"time"
)

const (
	// estimateSpread is the standard deviation that the durations of tasks are assumed to have, as
	// a part of their estimates, while none has ended: estimates are up to 90% off.
	estimateSpread = 0.9
	// maxDurationWeight bounds the number of runs that what is known of a queue weighs, so that it
	// follows a change.
	maxDurationWeight = 100
)

// durationRatios is the distribution of the durations of runs near their data, each divided by its
// estimate. Steps and queues have one each; the decisions about locality use them to tell how long
// a task will take, and how certain that is.
type durationRatios struct {
	// weight is the number of runs, mean the mean of their ratios, and square the mean of the
	// squares of their ratios.
	weight, mean, square float64
}

// priorRatios is the distribution before any run has ended.
func priorRatios() durationRatios {
	return durationRatios{weight: 1, mean: 1, square: 1 + estimateSpread*estimateSpread}
}

// add returns the distribution of the runs of both.
func (d durationRatios) add(o durationRatios) durationRatios {
	weight := d.weight + o.weight
	if weight == 0 {
		return d
	}
	return durationRatios{
		weight: weight,
		mean:   (d.weight*d.mean + o.weight*o.mean) / weight,
		square: (d.weight*d.square + o.weight*o.square) / weight,
	}
}

// withWeight returns the same distribution with its weight bounded to that of a number of runs.
func (d durationRatios) withWeight(most float64) durationRatios {
	d.weight = min(d.weight, most)
	return d
}

// deviation returns the standard deviation of the ratios.
func (d durationRatios) deviation() float64 {
	return math.Sqrt(max(0, d.square-d.mean*d.mean))
}

// learnDuration adds the duration of a completed run to what is known of its step and of its queue.
// The duration of a run that was away from its data is converted to what it would have been near it.
func (c *Core) learnDuration(r *runState) {
	if r.task == nil || r.hasEarlierProgress() || !c.weighsLocality(r.task.step) || r.task.step.spec.Estimate <= 0 {
		return
	}
	s := r.task.step
	took := float64(c.now.Monotonic - r.started)
	if s.spec.DataRack != "" && !r.worker.isNear(s.spec.DataRack) {
		took /= c.config.Policy.RemoteFactor
	}
	ratio := took / float64(s.spec.Estimate)
	one := durationRatios{weight: 1, mean: ratio, square: ratio * ratio}
	s.durations = s.durations.add(one)
	name := c.queueOf(s.occurrence.job).Name
	c.durations[name] = c.durations[name].withWeight(maxDurationWeight - 1).add(one)
}

// expectedDuration returns how long a task of a step is expected to take near its data, and the
// standard deviation. It combines the completed runs of the step with those of its queue, which
// together with the estimate weigh as much as one run of the step.
func (c *Core) expectedDuration(s *stepState) (mean, spread time.Duration) {
	ofQueue := priorRatios().add(c.durations[c.queueOf(s.occurrence.job).Name])
	ratios := ofQueue.withWeight(1).add(s.durations)
	estimate := float64(s.spec.Estimate)
	return time.Duration(ratios.mean * estimate), time.Duration(ratios.deviation() * estimate)
}

const (
	// minLearnedRuns is the number of runs from which on an estimateRatio counts.
	minLearnedRuns = 50
	// learnedRuns is the number of runs at which an estimateRatio halves what it has counted, so
	// that it follows a change.
	learnedRuns = 1000
)

// estimateRatio learns the total duration of the completed runs of the whole shard as a multiple of
// the total of their estimates. The view for admission scales the backlog by it.
//
// It is not the same as the mean of durationRatios. There each run has the same weight, whatever
// its length, and its duration is corrected for the distance to its data. Here long runs weigh more,
// as they do in a backlog, and durations count as they were, because the workers were busy for
// that long. The ratio also begins at a lower bound, since admission must not refuse a job because of
// work that may not exist, whereas durationRatios begins at the estimate.
type estimateRatio struct {
	// runs is the number of runs, and estimated and real are the sums of their estimated and real
	// durations in seconds.
	runs, estimated, real float64
}

// add counts a run that is done and had an estimate.
func (e *estimateRatio) add(estimate, took time.Duration) {
	if estimate <= 0 {
		return
	}
	if e.runs >= learnedRuns {
		e.runs, e.estimated, e.real = e.runs/2, e.estimated/2, e.real/2
	}
	e.runs++
	e.estimated += estimate.Seconds()
	e.real += took.Seconds()
}

// value returns the ratio. Before enough runs are known, it is the least that the errors of
// estimates allow.
func (e *estimateRatio) value() float64 {
	if e.runs < minLearnedRuns {
		return 1 - maxEstimateError
	}
	return max(1-maxEstimateError, e.real/e.estimated)
}
