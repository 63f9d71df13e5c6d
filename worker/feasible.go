package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Reason is why a worker is not feasible for a request.
type Reason uint8

// Reasons, in the order in which they are checked.
const (
	ReasonNone Reason = iota
	ReasonDataCentre
	ReasonStatus
	ReasonQuarantined
	ReasonPlannedStop
	ReasonAvoided
	ReasonAccelerators
	ReasonMemory
	ReasonProcessors
	ReasonRackSpread
	ReasonInterference

	reasonCount = iota
)

var reasonNames = [reasonCount]string{
	"none", "data-centre", "not-ready", "quarantined", "planned-stop", "evicted-from-it",
	"accelerators", "memory", "processors", "rack-spread", "interference",
}

// String returns the reason's stable short name.
func (r Reason) String() string {
	if int(r) >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Rejections counts the workers that were rejected, by reason.
type Rejections [reasonCount]int

// Add counts n workers that were rejected for the reason.
func (r *Rejections) Add(reason Reason, n int) { r[reason] += n }

// MostCommon returns the reason that rejected the most workers, ReasonNone if no worker
// was rejected.
func (r *Rejections) MostCommon() Reason {
	main := ReasonNone
	for i := 1; i < reasonCount; i++ {
		if r[i] > r[main] {
			main = Reason(i)
		}
	}
	return main
}

// checker checks workers against one request. It caches the number of tasks of
// the request's group on each rack.
type checker struct {
	state   State
	request *Request
	now     time.Time
	racks   map[rackKey]int
}

// checkConstraints checks the constraints that evictions on the worker can't
// satisfy: all but free capacity.
func (c *checker) checkConstraints(w *Worker) Reason {
	if reason := c.checkWorker(w); reason != ReasonNone {
		return reason
	}
	if c.rackFull(w) {
		return ReasonRackSpread
	}
	return ReasonNone
}

// checkWorker checks the constraints that depend on the worker alone.
func (c *checker) checkWorker(w *Worker) Reason {
	r := c.request
	switch {
	case !r.allows(w.Location.DataCentre):
		return ReasonDataCentre
	case w.Status == StatusQuarantined:
		return ReasonQuarantined
	case w.Status != StatusReady:
		return ReasonStatus
	case c.stopsTooEarly(w):
		return ReasonPlannedStop
	case r.Avoid == w.ID && r.Avoid != "":
		return ReasonAvoided
	}
	return missingResource(r.Demand, w.Capacity)
}

// rackFull reports whether the worker's rack already has the maximum number of
// tasks of the request's group.
func (c *checker) rackFull(w *Worker) bool {
	return c.request.MaxPerRack > 0 && c.rackCount(w) >= c.request.MaxPerRack
}

// stopsTooEarly reports whether the worker's planned stop starts before the task
// is expected to end. A service has no end, so any planned stop is too early.
func (c *checker) stopsTooEarly(w *Worker) bool {
	if w.StopAt.IsZero() {
		return false
	}
	if c.request.Class == carobkeel.ClassLatencyCritical {
		return true
	}
	return !c.now.Add(c.request.RunTime).Before(w.StopAt)
}

// rackCount returns how many tasks of the request's group are on the worker's
// rack, not counting tasks that are being evicted.
func (c *checker) rackCount(w *Worker) int {
	key := rackKey{w.Location.DataCentre, w.Location.Rack}
	if count, ok := c.racks[key]; ok {
		return count
	}
	count, hash := 0, hashGroup(c.request.Group)
	c.state.Rack(key.dataCentre, key.rack, func(neighbour *Worker) bool {
		count += neighbour.groupCount(c.request.Group, hash)
		return true
	})
	if c.racks == nil {
		c.racks = map[rackKey]int{}
	}
	c.racks[key] = count
	return count
}

// missingResource returns the first resource of the demand that exceeds what is
// available, ReasonNone if all fit.
func missingResource(demand, room carobkeel.Resources) Reason {
	switch {
	case demand.Accelerators > room.Accelerators:
		return ReasonAccelerators
	case demand.MemoryBytes > room.MemoryBytes:
		return ReasonMemory
	case demand.MilliCPU > room.MilliCPU:
		return ReasonProcessors
	}
	return ReasonNone
}
