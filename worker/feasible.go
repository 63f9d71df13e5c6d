package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Reason says why a worker is not feasible for a request.
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

// Main returns the reason that rejected most workers, ReasonNone if none did.
func (r *Rejections) Main() Reason {
	main := ReasonNone
	for i := 1; i < reasonCount; i++ {
		if r[i] > r[main] {
			main = Reason(i)
		}
	}
	return main
}

// checker checks workers against one request. It keeps the counts by rack that
// it has worked out.
type checker struct {
	state   State
	request *Request
	now     time.Time
	racks   map[rackKey]int
}

// standing checks what no eviction on the worker changes.
func (c *checker) standing(w *Worker) Reason {
	if reason := c.permits(w); reason != ReasonNone {
		return reason
	}
	if c.crowdsRack(w) {
		return ReasonRackSpread
	}
	return ReasonNone
}

// permits checks what the worker by itself tells.
func (c *checker) permits(w *Worker) Reason {
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
	return lacks(r.Demand, w.Capacity)
}

// crowdsRack reports whether the worker's rack has all tasks of the request's
// group that it may have.
func (c *checker) crowdsRack(w *Worker) bool {
	return c.request.MaxPerRack > 0 && c.rackCount(w) >= c.request.MaxPerRack
}

// stopsTooEarly reports whether the worker's planned stop would cut the task.
// A service has no end, so any planned stop does.
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
// rack, evicting ones apart.
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

// lacks returns the first part of the demand that exceeds what there is.
func lacks(demand, room carobkeel.Resources) Reason {
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
