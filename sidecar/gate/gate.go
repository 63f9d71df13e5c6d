// Package gate has the sidecar's decisions about the worker on its host: which
// orders it carries out, and how far it extends the worker's lease.
//
// The package is pure. A Gate is a value that is copied and swapped in whole.
package gate

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Holder is what the sidecar knows of the holder of its shard.
type Holder struct {
	Epoch carobkeel.Epoch
	// Confirmed is when the last ping was sent that the holder answered. The
	// worker's lease is counted from it.
	Confirmed time.Duration
	// Known says that some holder has answered.
	Known bool
}

// Confirm returns h after an answer under an epoch to a ping sent at the given
// time. An answer under an older epoch changes nothing.
func (h Holder) Confirm(epoch carobkeel.Epoch, pinged time.Duration) Holder {
	if epoch < h.Epoch {
		return h
	}
	if epoch > h.Epoch || pinged > h.Confirmed {
		h.Confirmed = pinged
	}
	h.Epoch = epoch
	h.Known = true
	return h
}

// Clock maps the sidecar's time to that of the worker.
type Clock struct {
	// Reading is what the worker's clock showed in an answer that came at Received.
	Reading, Received time.Duration
	Known             bool
}

// workerClockDrift is how much slower than true a worker's clock may be: 2%.
const workerClockDrift = 0.02

// at returns what the worker's clock shows at a time, if it is true. The reading
// was taken at Received or before, so that a lease that is counted from it ends
// in time.
func (c Clock) at(t time.Duration) time.Duration { return c.Reading + t - c.Received }

// earliest returns a lower bound of what the worker's clock shows at a time after
// Received.
func (c Clock) earliest(t time.Duration) time.Duration {
	passed := t - c.Received
	return c.Reading + passed - time.Duration(float64(passed)*workerClockDrift)
}

// Deadline returns the lease to ask for, on the worker's clock: duration from
// the last confirmed ping. It is zero, which extends nothing, where no holder
// has confirmed or the worker's clock is not known.
func Deadline(h Holder, c Clock, duration time.Duration) time.Duration {
	if !h.Known || !c.Known {
		return 0
	}
	return max(0, c.at(h.Confirmed)+duration)
}

// Remaining returns how long a lease with the deadline may still run.
func Remaining(c Clock, deadline, now time.Duration) time.Duration {
	if !c.Known {
		return 0
	}
	return max(0, deadline-c.earliest(now))
}

// AdmitStart decides about a start under an epoch, for a life. ResultOK lets it
// through.
func AdmitStart(h Holder, epoch carobkeel.Epoch, worker *runs.Description, life runs.Life) runs.Result {
	switch {
	case epoch < h.Epoch:
		return runs.ResultStaleEpoch
	case worker == nil || worker.Life != life:
		return runs.ResultOtherLife
	case worker.Draining:
		return runs.ResultDraining
	}
	return runs.ResultOK
}
