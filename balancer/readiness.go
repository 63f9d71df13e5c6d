// Package balancer is about the platform's balancer, which asks each process
// whether it is ready: in which order a process leaves the balancer, drains and
// stops.
//
// The package is pure.
package balancer

import "sync/atomic"

// Phase is where a process is between its start and its end.
type Phase uint32

// Phases of a process, in their only order.
const (
	// PhaseStarting is not ready yet.
	PhaseStarting Phase = iota
	// PhaseReady takes requests.
	PhaseReady
	// PhaseLeaving answers the balancer that it is not ready, and still takes
	// requests that the balancer sends until it has noticed.
	PhaseLeaving
	// PhaseDraining takes no new requests and finishes those in flight.
	PhaseDraining
	// PhaseStopped has none in flight.
	PhaseStopped
)

var phaseNames = [...]string{"starting", "ready", "leaving", "draining", "stopped"}

// String returns the phase's name.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Readiness holds a process's phase. The zero value is starting. Its methods are
// safe for use by several goroutines.
type Readiness struct {
	phase atomic.Uint32
}

// Phase returns the phase.
func (r *Readiness) Phase() Phase { return Phase(r.phase.Load()) }

// Advance moves to a later phase. It returns false, and changes nothing, where
// the process is there already or past it.
func (r *Readiness) Advance(to Phase) bool {
	for {
		current := r.phase.Load()
		if Phase(current) >= to {
			return false
		}
		if r.phase.CompareAndSwap(current, uint32(to)) {
			return true
		}
	}
}

// Ready reports what the balancer is to be told.
func (r *Readiness) Ready() bool { return r.Phase() == PhaseReady }

// Admits reports whether new requests are taken.
func (r *Readiness) Admits() bool {
	phase := r.Phase()
	return phase == PhaseReady || phase == PhaseLeaving
}

// KeepsConnections reports whether callers may keep their connections. They go
// elsewhere once the process leaves.
func (r *Readiness) KeepsConnections() bool { return r.Phase() < PhaseLeaving }
