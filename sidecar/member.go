// Package sidecar is about the sidecars as an entry sees them: which there are,
// in which state, how loaded they are, and which one a request goes to.
//
// The package is pure. The sub-packages hold the client of the links and the
// encoding of the messages.
package sidecar

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// State is what a sidecar says of its upstream.
type State uint8

// States of an upstream, in the order that they come in.
const (
	// StateServing takes new work.
	StateServing State = iota
	// StateDraining finishes what it has and takes no new work.
	StateDraining
	// StateStopped has no work and takes none.
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

// Announcement is what a sidecar tells the entries of itself, at its start, at
// each change and at each heartbeat.
type Announcement struct {
	Incarnation carobkeel.Incarnation
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64
	// Started is when the incarnation began. Among incarnations at one address
	// the later one counts.
	Started  time.Time
	Address  string
	Service  carobkeel.Service
	Location carobkeel.Location
	State    State
	// Slots is the most requests that the upstream serves at once. The sidecar's
	// present limit may be lower; it tells that with its answers.
	Slots int
	// Running and Queued are the requests at the sidecar, and UrgentQueued is
	// how many of those queued are latency-critical.
	Running      int
	Queued       int
	UrgentQueued int
}

// Member is one announced sidecar. It is never changed; Live alone moves.
type Member struct {
	// Announcement is the one that last changed more than numbers of load.
	Announcement
	// Live is shared by all states of one incarnation.
	Live *Live
}
