package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/carobkeel/carobkeel/worker/pressure"
)

const (
	// fullPace is the share at which a run begins to work, in percent.
	fullPace = pressure.FullPace
	// paceStep is the least change of a pace that is worth an order, in percent.
	paceStep = 8
	// controlInterval is the time between two changes of a worker's paces: a
	// figure covers half a second, and a pace works after 100 ms.
	controlInterval = 450 * time.Millisecond
	// startPace is the least pace at which a filling task is worth a start.
	startPace = 60
)

// control is what is known of the tasks that share one worker.
type control struct {
	// budget is what the serving tasks bear by the last listing.
	budget  pressure.Budget
	changed time.Duration
}

// observeSharing learns from a whole listing.
func (c *Core) observeSharing(w *workerState) {
	serving, filling, _ := w.sharing()
	c.pressure.Observe(w.host, serving, filling)
	w.control.budget = c.pressure.Budget(serving, filling)
}

// sharing returns the serving and the filling tasks of a worker, and the runs of
// the latter, the oldest job first.
func (w *workerState) sharing() ([]pressure.Serving, []pressure.Filling, []*liveRun) {
	var serving []pressure.Serving
	var fillers []*liveRun
	for _, r := range w.copies {
		if r.task == nil || r.stopping {
			continue
		}
		spec := r.task.step.spec
		if spec.LatencyTarget > 0 {
			ratio := float64(r.figure) / float64(max(1, spec.LatencyTarget.Milliseconds()))
			serving = append(serving, pressure.Serving{Task: r.name.String(), Image: spec.Image, Ratio: ratio})
		}
		if spec.Fills {
			fillers = append(fillers, r)
		}
	}
	slices.SortFunc(fillers, func(a, b *liveRun) int {
		return cmp.Or(cmp.Compare(a.task.job().accepted, b.task.job().accepted), cmp.Compare(a.name.String(), b.name.String()))
	})
	var filling []pressure.Filling
	for _, r := range fillers {
		f := w.fillingOf(r.task)
		f.Share = float64(r.figure) / float64(max(1, w.description.Capacity.MilliCPU))
		filling = append(filling, f)
	}
	return serving, filling, fillers
}

// fillingOf returns what a filling task would be on a worker.
func (w *workerState) fillingOf(t *task) pressure.Filling {
	spec := t.step.spec
	capacity := float64(max(1, w.description.Capacity.MilliCPU))
	return pressure.Filling{Image: spec.Image, FullShare: float64(spec.Demand.MilliCPU) / capacity}
}

// paceOn returns the pace that a filling task would have on a worker, beside
// those that are there.
func (c *Core) paceOn(t *task, w *workerState) int {
	_, filling, _ := w.sharing()
	budget := w.control.budget.Clone()
	for _, f := range filling {
		c.pressure.Take(&budget, f)
	}
	return c.pressure.Take(&budget, w.fillingOf(t))
}

// controlInterference sets the pace of filling tasks, so that the serving tasks
// beside them stay below their targets.
func (c *Core) controlInterference() {
	for _, w := range c.workers {
		if w.listed && c.now.Steady-w.control.changed >= controlInterval {
			c.controlWorker(w)
		}
	}
}

func (c *Core) controlWorker(w *workerState) {
	_, filling, fillers := w.sharing()
	budget := w.control.budget.Clone()
	for i, r := range fillers {
		c.setPace(w, r, c.pressure.Take(&budget, filling[i]))
	}
}

func (c *Core) setPace(w *workerState, r *liveRun, pace int) {
	change := pace - r.pace
	if r.phase != runConfirmed || change == 0 {
		return
	}
	if change > -paceStep && change < paceStep && pace != 0 && pace != fullPace {
		return
	}
	r.pace = pace
	w.control.changed = c.now.Steady
	c.orders = append(c.orders, Order{
		Host: w.host, Life: w.description.Life, Kind: OrderPace, Task: r.name, Run: r.run, Percent: pace,
	})
	c.note(Decision{Kind: "pace set", Task: r.name, Run: r.run, Host: w.host, Detail: strconv.Itoa(pace)})
}
