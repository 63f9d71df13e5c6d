// Package balancer tracks the readiness of a process for the platform's load
// balancer, which polls each process. It defines the order in which a process
// leaves the load balancer, drains and stops.
//
// The package does no I/O and reads no clock.
package balancer

import "sync/atomic"

// Phase is a stage in the lifecycle of a process.
type Phase uint32

// Phases of a process. A process passes through them in this order and never
// goes back.
const (
	// PhaseStarting is the phase before the process is ready.
	PhaseStarting Phase = iota
	// PhaseReady is the phase in which the process accepts requests.
	PhaseReady
	// PhaseLeaving is the phase in which the process reports to the load
	// balancer that it is not ready, but still accepts the requests that arrive
	// until the load balancer stops sending them.
	PhaseLeaving
	// PhaseDraining is the phase in which the process rejects new requests and
	// finishes those in flight.
	PhaseDraining
	// PhaseStopped is the phase in which no requests are in flight.
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

// Readiness holds the phase of a process. Its zero value is in PhaseStarting. It
// is safe for concurrent use.
type Readiness struct {
	phase atomic.Uint32
}

// Phase returns the current phase.
func (r *Readiness) Phase() Phase { return Phase(r.phase.Load()) }

// Advance moves to a later phase. It returns false and changes nothing if the
// process is already in that phase or a later one.
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

// Ready reports whether the load balancer should send requests to the process.
func (r *Readiness) Ready() bool { return r.Phase() == PhaseReady }

// AcceptsRequests reports whether the process accepts new requests.
func (r *Readiness) AcceptsRequests() bool {
	phase := r.Phase()
	return phase == PhaseReady || phase == PhaseLeaving
}

// AllowsKeepAlive reports whether callers may reuse their connections. From
// PhaseLeaving on, connections are closed after the current response, so that
// callers reconnect to other processes.
func (r *Readiness) AllowsKeepAlive() bool { return r.Phase() < PhaseLeaving }
