// Package sidecar models the sidecars from an entry's point of view: membership,
// state, load, and the choice of a sidecar for each request.
//
// The package does no I/O. The sub-packages hold the client of the links and the
// encoding of the messages.
package sidecar

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// State is the state of an upstream, as announced by its sidecar.
type State uint8

// States of an upstream, in the order in which it passes through them.
const (
	// StateServing means that the upstream accepts new work.
	StateServing State = iota
	// StateDraining means that the upstream finishes its current work and accepts
	// no more.
	StateDraining
	// StateStopped means that the upstream has no work and accepts none.
	StateStopped
)

var stateNames = [...]string{"serving", "draining", "stopped"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Announcement is a sidecar's description of itself. The sidecar sends it to the
// entries at its start, at each change and at each heartbeat.
type Announcement struct {
	Incarnation carobkeel.Incarnation
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64
	// Started is the start time of the incarnation. Of several incarnations at one
	// address, the one that started last is current.
	Started  time.Time
	Address  string
	Service  carobkeel.Service
	Location carobkeel.Location
	State    State
	// Slots is the maximum number of requests that the upstream serves at once.
	// The sidecar's current limit may be lower; it is reported with each answer.
	Slots int
	// Running and Queued are the numbers of running and queued requests at the
	// sidecar. UrgentQueued is the number of queued requests that are
	// latency-critical.
	Running      int
	Queued       int
	UrgentQueued int
}

// Member is one announced sidecar. It is immutable, except for its Stats.
type Member struct {
	// Announcement is the last announcement that changed more than the load.
	Announcement
	// Stats is shared by all members that represent the same incarnation.
	Stats *Stats
}
