package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

// rackForecast is the room that the workers of a rack are expected to have over time, without the room
// that waiting tasks have claimed.
type rackForecast struct {
	workers []*workerForecast
}

// workerForecast is a worker's part of a rackForecast. What is free now is not a part of it, as that
// changes with each start of a round.
type workerForecast struct {
	worker *workerState
	// claimed is the room that waiting tasks have claimed.
	claimed carobkeel.Resources
	// ends are the expected ends of the worker's runs, the earliest first.
	ends []forecastEnd
}

// forecastEnd is the expected end of a run.
type forecastEnd struct {
	// after is the expected time until the end, and spread its standard deviation.
	after, spread time.Duration
	// reserved is the room that the end frees.
	reserved carobkeel.Resources
}

// forecastPlace is the room that is expected for a task on a worker.
type forecastPlace struct {
	// worker is nil if no worker is expected to have room.
	worker *workerForecast
	// after is the expected time until there is room, and spread its standard deviation.
	after, spread time.Duration
}

// noPlace returns the place of a task for which no worker is expected to have room.
func noPlace() forecastPlace { return forecastPlace{after: noRoomExpected} }

// forecastFor returns the forecast for a rack, which the tasks of a round share.
func (p *pass) forecastFor(c *Core, rack string) *rackForecast {
	f := p.forecasts[rack]
	if f == nil {
		f = c.newRackForecast(p, rack)
		p.forecasts[rack] = f
	}
	return f
}

// newRackForecast returns a forecast for the workers of a rack that accept tasks.
func (c *Core) newRackForecast(p *pass, rack string) *rackForecast {
	f := &rackForecast{}
	for _, w := range p.workers {
		if w.isNear(rack) {
			f.workers = append(f.workers, c.forecastWorker(w))
		}
	}
	return f
}

// forecastWorker returns the forecast for a worker, with no room claimed.
func (c *Core) forecastWorker(w *workerState) *workerForecast {
	f := &workerForecast{worker: w}
	for _, r := range w.runs {
		if end, ending := c.forecastEndOf(r); ending {
			f.ends = append(f.ends, end)
		}
	}
	slices.SortFunc(f.ends, compareEnds)
	return f
}

// compareEnds orders ends by time, and by all that a forecast depends on where that is the same:
// runs are in no order.
func compareEnds(a, b forecastEnd) int {
	return cmp.Or(
		cmp.Compare(a.after, b.after),
		cmp.Compare(a.spread, b.spread),
		cmp.Compare(a.reserved.MilliCPU, b.reserved.MilliCPU),
		cmp.Compare(a.reserved.MemoryBytes, b.reserved.MemoryBytes),
		cmp.Compare(a.reserved.Accelerators, b.reserved.Accelerators),
	)
}

// earliest returns the first expected place for a task on an allowed worker.
func (f *rackForecast) earliest(p *pass, demand carobkeel.Resources, allowed func(*workerState) bool) forecastPlace {
	best := noPlace()
	for _, w := range f.workers {
		if !allowed(w.worker) {
			continue
		}
		if place := w.earliest(p, demand); place.after < best.after {
			best = place
		}
	}
	return best
}

// earliest returns the first time at which the worker is expected to have room for a demand.
func (f *workerForecast) earliest(p *pass, demand carobkeel.Resources) forecastPlace {
	free := f.worker.free().Sub(p.reservations[f.worker]).Sub(f.claimed)
	if demand.FitsIn(free) {
		return forecastPlace{worker: f}
	}
	for _, e := range f.ends {
		free = free.Add(e.reserved)
		if demand.FitsIn(free) {
			return forecastPlace{worker: f, after: e.after, spread: e.spread}
		}
	}
	return noPlace()
}

// claim sets a place aside for a task in this forecast. Tasks that are considered later in the round are
// less urgent, so they don't count on its room.
func (f *rackForecast) claim(place forecastPlace, demand carobkeel.Resources) {
	if place.worker != nil {
		place.worker.claimed = place.worker.claimed.Add(demand)
	}
}

// forecastEndOf returns the expected end of a run. It returns false for a long-running one, which has
// none, and for one whose stop is overdue, since nothing tells when it will end.
func (c *Core) forecastEndOf(r *runState) (forecastEnd, bool) {
	switch {
	case r.stopOverdue:
		return forecastEnd{}, false
	case r.stopping || r.task == nil:
		return forecastEnd{after: minRunLeft, spread: minRunLeft, reserved: r.reserved}, true
	case r.task.step.spec.LongRunning:
		return forecastEnd{}, false
	}
	left, spread := c.forecastLeft(r)
	return forecastEnd{after: max(minRunLeft, left+listingAge/2), spread: spread, reserved: r.reserved}, true
}

const (
	// listingAge is the greatest age of a worker's last listing while it lists in time. On average,
	// the holder learns of an end half of this time after it.
	listingAge = 200 * time.Millisecond
	// percentStep is the resolution of the progress that runs report, in percent.
	percentStep = 1
)

// forecastLeft returns how long a batch run is expected to go on, and the standard deviation. It goes by
// the run's progress or, if that says nothing, by the expected duration of such tasks. A run that has
// lasted longer than expected is assumed to go on for as long as it has lasted.
func (c *Core) forecastLeft(r *runState) (left, spread time.Duration) {
	age := c.now.Monotonic - r.started
	if r.percent > 0 && !r.hasEarlierProgress() {
		total := age * fullPercent / time.Duration(r.percent)
		return total - age, total*percentStep/time.Duration(2*r.percent) + listingAge
	}
	duration, spread := c.expectedDuration(r.task.step)
	if left := duration - age; left > 0 {
		return left, spread
	}
	return age, max(age, spread)
}

// hasEarlierProgress reports whether the run may have made progress that its age does not cover.
func (r *runState) hasEarlierProgress() bool { return r.adopted || r.task.checkpoint != "" }
