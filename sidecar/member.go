// Package sidecar is about the sidecars as an entry sees them: which there are,
// in which state, how loaded they are, and which one a request goes to.
//
// The package is pure. The sub-packages hold the client of the links and the
// encoding of the messages.
package sidecar

import (
	"sync/atomic"
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
	// Slots is the number of requests that the upstream serves at once.
	Slots int
	// Running and Queued are the requests at the sidecar.
	Running int
	Queued  int
}

// Member is one announced sidecar. It is never changed; Live alone moves.
type Member struct {
	// Announcement is the one that last changed more than numbers of load.
	Announcement
	// Live is shared by all states of one incarnation.
	Live *Live
}

// Live counts what this entry has in flight at one sidecar. All fields are
// changed atomically on the path of requests.
type Live struct {
	InFlight atomic.Int64
	// sequence and heard are those of the last announcement.
	sequence atomic.Uint64
	heard    atomic.Int64
	// Remote is the sidecar's own last word on what runs and waits there.
	Remote atomic.Int64
	// LatencyMicros is a moving average of the latency in microseconds.
	LatencyMicros atomic.Int64
}

// Heard returns when the last announcement arrived.
func (l *Live) Heard() time.Time { return time.Unix(0, l.heard.Load()) }

// take notes an announcement's arrival and the load that it tells.
func (l *Live) take(a Announcement, now time.Time) {
	l.sequence.Store(a.Sequence)
	l.heard.Store(now.UnixNano())
	l.Remote.Store(int64(a.Running + a.Queued))
}

// latencyWeight is the inverse weight of a new sample in the moving average.
const latencyWeight = 8

// Observe adds one answer's latency to the moving average. Two answers at the
// same moment may lose one sample, which the average bears.
func (l *Live) Observe(latency time.Duration) {
	sample := latency.Microseconds()
	old := l.LatencyMicros.Load()
	if old == 0 {
		l.LatencyMicros.Store(max(sample, 1))
		return
	}
	l.LatencyMicros.Store(max(old+(sample-old)/latencyWeight, 1))
}
