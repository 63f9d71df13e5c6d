package gate

import (
	"math"
	"time"

	"github.com/carobkeel/carobkeel/worker/runs"
)

// Worker is the sidecar's record of the worker on its host.
//
// A worker may restart under its ID, and a call that got no answer may be carried out seconds
// later, by the next incarnation as well: that one knows no fence, no run that ended or was
// stopped, and numbers its ends anew. So the generation of the calls rises whenever another
// incarnation may have begun, and the first call to reach it keeps all earlier ones off.
type Worker struct {
	// Description is the worker's last description of itself, nil before the first one.
	Description *runs.Description
	// Generation is that of the calls to the worker.
	Generation runs.Generation
	// Verified reports that the described incarnation has answered at the worker's address.
	// Until then the description may be that of another worker.
	Verified bool
	// Confirmed reports that the described incarnation has listed its runs in this
	// generation. What is known of its clock and its ends counts only then.
	Confirmed bool
	// Denied reports that the worker has answered that it is another incarnation than the
	// described one.
	Denied bool
}

// NewWorker returns the record of a process of the sidecar that has had no description yet.
func NewWorker(now time.Time) Worker { return Worker{Generation: nextGeneration(0, now)} }

// Is reports whether the incarnation is the described one, as far as the sidecar knows.
func (w Worker) Is(incarnation runs.Incarnation) bool {
	return w.Description != nil && w.Description.Incarnation == incarnation && !w.Denied
}

// Describes reports whether the incarnation is the described one, which may have ended since.
func (w Worker) Describes(incarnation runs.Incarnation) bool {
	return w.Description != nil && w.Description.Incarnation == incarnation
}

// Describe returns w with another description of the worker.
func (w Worker) Describe(d *runs.Description, now time.Time) Worker {
	if !w.Describes(d.Incarnation) {
		w.Generation = nextGeneration(w.Generation, now)
		w.Verified, w.Confirmed, w.Denied = false, false, false
	}
	w.Description = d
	return w
}

// Confirm returns w after the described incarnation has listed its runs in a generation.
func (w Worker) Confirm(generation runs.Generation) Worker {
	w.Verified = true
	if generation == w.Generation {
		w.Confirmed, w.Denied = true, false
	}
	return w
}

// Suspect returns w after a call without a usable answer: the worker may have restarted.
func (w Worker) Suspect(now time.Time) Worker {
	w.Generation = nextGeneration(w.Generation, now)
	w.Confirmed = false
	return w
}

// Deny returns w after the worker has answered that it is another incarnation.
func (w Worker) Deny(now time.Time) Worker {
	w = w.Suspect(now)
	w.Denied = true
	return w
}

// MaxRefusals bounds the refusals after which a generation is raised, so that those under
// an epoch that is over do not use all generations up.
const MaxRefusals = 24

// Overtake returns w after the worker has refused a listing for its fence, for the given
// number of times on end. The worker knows a higher generation of an earlier process if the
// time of day was set back since, or a later epoch, which the sidecar learns of by itself.
func (w Worker) Overtake(refusals int) Worker {
	if refusals <= MaxRefusals {
		w.Generation = addGenerations(w.Generation, 1<<refusals)
	}
	w.Confirmed = false
	return w
}

// generationInterval is the time in which the generation of a new process rises by one. A
// process raises its own less often, so that those of later processes are above it. The
// generations last for 13 years.
const generationInterval = 100 * time.Millisecond

// generationEpoch is the time of day of generation zero.
var generationEpoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func nextGeneration(last runs.Generation, now time.Time) runs.Generation {
	byTime := min(max(0, now.Sub(generationEpoch)/generationInterval), math.MaxUint32)
	return max(addGenerations(last, 1), runs.Generation(byTime))
}

func addGenerations(g runs.Generation, n uint64) runs.Generation {
	return runs.Generation(min(uint64(g)+n, math.MaxUint32))
}
