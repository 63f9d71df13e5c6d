package gate

import (
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Worker is the sidecar's record of the worker on its host.
//
// A worker may restart under its ID, and a call that got no answer may be carried out seconds
// later, by the next incarnation as well: that one knows no fence, no run that ended or was
// stopped, and numbers its ends anew. So the doubts, which are part of the calls' fence, rise
// whenever another incarnation may have begun, and the first call to reach it keeps all earlier
// ones off. The holder's number for the process, above the doubts, keeps off those of earlier
// processes.
type Worker struct {
	// Description is the worker's last description of itself, nil before the first one.
	Description *runs.Description
	// Doubts counts the events after which another incarnation may have begun.
	Doubts uint32
	// Misses counts calls after which another incarnation may have begun, and that were no doubt,
	// as no call had the present fence that has to be kept off.
	Misses uint32
	// Verified reports that the described incarnation has answered at the worker's address.
	// Until then the description may be that of another worker.
	Verified bool
	// Confirmed is the highest fence of the listings that the described incarnation has answered
	// since the last doubt, zero if there was none.
	Confirmed runs.Fence
	// Denied reports that the worker has answered that it is another incarnation than the
	// described one.
	Denied bool
	// AnsweredAt is when the last listing was sent that the described incarnation has answered, by the
	// clock of calls' ages. MayHaveEnded reports that a connection was refused or ended by the worker's
	// side since then.
	AnsweredAt   time.Duration
	MayHaveEnded bool
	// ReachedAt is when the described incarnation first answered a call that keeps all calls to
	// earlier incarnations off, zero before. LateCalls is what was known then of calls that it had
	// let in before.
	ReachedAt time.Duration
	LateCalls LateCalls
}

// Fence returns the fence of calls to the worker in the term.
func (w Worker) Fence(term Term) runs.Fence {
	return runs.Fence{Epoch: term.Epoch, Generation: runs.NewGeneration(term.Process, w.Doubts)}
}

// HasListed reports whether the described incarnation has listed its runs under the fence, and
// there was no doubt since.
func (w Worker) HasListed(fence runs.Fence) bool { return w.Confirmed == fence }

// IsConfirmed reports whether a call with the fence may extend the lease, acknowledge ends or
// start a run: the incarnation that the call is for is known to refuse all earlier calls. Without
// the number of the process, those of an earlier process may have a higher fence; and once the
// doubts are used up, those before the last doubt have the same.
func (w Worker) IsConfirmed(fence runs.Fence) bool {
	return w.HasListed(fence) && fence.Generation.Process() != 0 && w.Doubts < runs.MaxDoubts
}

// Is reports whether the incarnation is the described one, as far as the sidecar knows.
func (w Worker) Is(incarnation runs.Incarnation) bool {
	return w.Description != nil && w.Description.Incarnation == incarnation && !w.Denied
}

// Describes reports whether the incarnation is the described one, which may have ended since.
func (w Worker) Describes(incarnation runs.Incarnation) bool {
	return w.Description != nil && w.Description.Incarnation == incarnation
}

// Describe returns w with another description of the worker.
func (w Worker) Describe(d *runs.Description) Worker {
	if !w.Describes(d.Incarnation) {
		w = w.Suspect()
		w.Verified, w.Denied = false, false
		w.ReachedAt, w.LateCalls = 0, NoLateCalls
	}
	w.Description = d
	return w
}

// Confirm returns w after the described incarnation has listed its runs under a fence.
func (w Worker) Confirm(fence runs.Fence) Worker {
	w.Verified = true
	if fence.Generation.Doubts() != w.Doubts {
		return w
	}
	w.Denied = false
	if w.Confirmed.Less(fence) {
		w.Confirmed = fence
	}
	return w
}

// ConfirmAsked returns w after the described incarnation has listed its runs under a fence, on a
// call that was sent in the state asked. It may have answered before a call missed it.
func (w Worker) ConfirmAsked(asked *Worker, fence runs.Fence) Worker {
	if w.Misses != asked.Misses {
		w.Verified = true
		return w
	}
	return w.Confirm(fence)
}

// Reach returns w after the described incarnation has listed its runs under a fence, with what is
// known of late calls to it. Only the first time counts: later calls to earlier incarnations are
// kept off.
func (w Worker) Reach(fence runs.Fence, at time.Duration, late LateCalls) Worker {
	if w.ReachedAt == 0 && w.IsConfirmed(fence) {
		w.ReachedAt, w.LateCalls = at, late
	}
	return w
}

// LateLease returns the bound of the lease that late calls may have given the described
// incarnation, of which no lease is longer than maxLease.
func (w Worker) LateLease(now, maxLease time.Duration) runs.LateLease {
	if w.ReachedAt == 0 || w.LateCalls == NoLateCalls {
		return runs.LateLease{}
	}
	remaining := max(0, w.ReachedAt+LongestLease(maxLease)-now)
	return runs.LateLease{Remaining: remaining, Unanswered: w.LateCalls == UnansweredLateCalls}
}

// Answered returns w after the described incarnation has answered a listing that was sent at a time.
func (w Worker) Answered(sent time.Duration) Worker {
	w.AnsweredAt, w.MayHaveEnded = max(w.AnsweredAt, sent), false
	return w
}

// Unanswered returns w after a call that got no answer, for the reason in err.
func (w Worker) Unanswered(err error) Worker {
	w.MayHaveEnded = w.MayHaveEnded || runs.MayHaveEnded(err)
	return w
}

// LateStarts returns the tasks that a worker which does not answer may run since an incarnation of it has
// carried out a start without an answer to an earlier one. Err is the reason why the last call got no
// answer, and callTime the time by the clock of calls' ages.
//
// Nothing runs where nothing listens. The described incarnation itself refuses, or has listed, what was
// sent before it answered, so that this counts only if another one may have followed it, or for as long
// as it may have a longer lease by it.
func (w Worker) LateStarts(calls LeaseCalls, err error, now, callTime, maxLease time.Duration) []carobkeel.TaskName {
	from := w.AnsweredAt
	switch {
	case errors.Is(err, runs.ErrNotListening):
		return nil
	case w.MayHaveEnded || w.LateLease(now, maxLease).Remaining > 0:
		from = 0
	}
	return calls.startsSentFrom(w.Description.ID, from, callTime, maxLease)
}

// StopMargin is how long before the lease that the holder counts ends the runs under a longer one are
// stopped, and the least time between two stops of a run: it may take that long to end.
const StopMargin = time.Second

// MustStop reports whether the sidecar itself has to stop what the worker runs: no holder has confirmed
// its leases for almost as long as one lasts, and a late call may have given the worker a longer one, of
// which the holder need not know.
func (w Worker) MustStop(h Holder, now, workerLease, maxLease time.Duration) bool {
	return w.LateLease(now, maxLease).Remaining > 0 && now-h.Confirmed > workerLease-StopMargin
}

// plentyOfDoubts is the number of doubts up to which each one counts.
const plentyOfDoubts = runs.MaxDoubts / 2

// Suspect returns w after a call without a usable answer: the worker may have restarted.
//
// A worker that is away for days must not use the doubts up. So later on only those count after
// which there are calls to be kept off: before the incarnation has listed, none was sent that
// extends the lease, acknowledges ends or starts a run.
func (w Worker) Suspect() Worker {
	if w.Doubts >= plentyOfDoubts && w.Confirmed == (runs.Fence{}) {
		w.Misses++
		return w
	}
	w.Doubts = min(w.Doubts+1, runs.MaxDoubts)
	w.Confirmed = runs.Fence{}
	return w
}

// Miss returns w after a listing without an answer, which is repeated often while the worker is
// away. It is a doubt only if the incarnation has listed since the last one: otherwise no call
// with the present fence extends the lease, acknowledges ends or starts a run, and a late listing
// does nothing but raise the fence.
func (w Worker) Miss() Worker {
	if w.Confirmed != (runs.Fence{}) {
		return w.Suspect()
	}
	w.Misses++
	return w
}

// Deny returns w after the worker has answered that it is another incarnation.
func (w Worker) Deny() Worker {
	w = w.Suspect()
	w.Denied = true
	return w
}
