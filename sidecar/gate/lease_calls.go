package gate

import (
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// LeaseCall is a call that extends a worker's lease and that may still be carried out.
type LeaseCall struct {
	Number   uint64
	WorkerID string
	// Start is the task of a call that starts a run, zero for other calls.
	Start carobkeel.TaskName
	// Sent is on a clock that stands still with the host, as the call does.
	Sent time.Duration
	// lost reports that the call has ended without an answer.
	lost bool
}

// LeaseCalls holds the calls of this process of the sidecar that extend a lease and have no
// answer. Its methods return a changed copy.
type LeaseCalls []LeaseCall

// Add returns l with a call that is about to be sent, and without those whose effect is over.
func (l LeaseCalls) Add(call LeaseCall, maxLease time.Duration) LeaseCalls {
	kept := slices.DeleteFunc(slices.Clone(l), func(c LeaseCall) bool {
		return c.lost && c.isOver(call.Sent-LongestLease(maxLease))
	})
	return append(kept, call)
}

// Settle returns l without a call that is not carried out any more: it was answered, or was not
// sent.
func (l LeaseCalls) Settle(number uint64) LeaseCalls {
	return slices.DeleteFunc(slices.Clone(l), func(c LeaseCall) bool { return c.Number == number })
}

// Lose returns l after a call has ended without an answer. Of the lost calls to a worker only the
// last one is kept, and the last one that starts a run of each task.
func (l LeaseCalls) Lose(number uint64) LeaseCalls {
	i := slices.IndexFunc(l, func(c LeaseCall) bool { return c.Number == number })
	if i < 0 {
		return l
	}
	call := l[i]
	call.lost = true
	kept := slices.DeleteFunc(slices.Clone(l), func(c LeaseCall) bool {
		return c.Number == number || (c.lost && c.WorkerID == call.WorkerID && c.Start == call.Start && c.Sent <= call.Sent)
	})
	return append(kept, call)
}

// MayReach reports whether one of the calls may still reach a worker under the ID at a time.
func (l LeaseCalls) MayReach(workerID string, now time.Duration) bool {
	return slices.ContainsFunc(l, func(c LeaseCall) bool {
		return c.WorkerID == workerID && (!c.lost || !c.isOver(now))
	})
}

// startsSentFrom returns the tasks of which a start without an answer, sent at from or later, may still be
// carried out by an incarnation of the worker, or have begun a run there whose lease is valid at now.
func (l LeaseCalls) startsSentFrom(workerID string, from, now, maxLease time.Duration) []carobkeel.TaskName {
	var tasks []carobkeel.TaskName
	for _, c := range l {
		isStart := c.WorkerID == workerID && c.Start != carobkeel.TaskName{} && c.Sent >= from
		if isStart && (!c.lost || !c.isOver(now-LongestLease(maxLease))) && !slices.Contains(tasks, c.Start) {
			tasks = append(tasks, c.Start)
		}
	}
	return tasks
}

func (c LeaseCall) isOver(now time.Duration) bool { return now-c.Sent > runs.LongestCallDelay }

// IsSettled reports whether an answer shows that a call that extends a lease was carried out by
// the incarnation that it was sent to, or by none. The clock is the reading from before the call
// was sent: that of an incarnation that began since is behind it. The answer's clock is rounded down.
func IsSettled(answer runs.Answer, c Clock, sent time.Duration) bool {
	switch answer.Result {
	case runs.ResultOtherIncarnation, runs.ResultStaleEpoch, runs.ResultUnhealthy, runs.ResultInvalid:
		return true
	}
	return c.Known && answer.Clock+clockResolution > c.lowerBound(sent)
}

// NeedsLease reports whether a worker needs a lease after a listing: it has runs, or ends that the
// holder has not acknowledged. A start extends the lease itself, and nothing is started on a worker
// before it is recorded.
func NeedsLease(l *runs.Listing) bool {
	return len(l.Running)+len(l.Ends)+l.LeftOut > 0 || l.Partial
}

// LateCalls is what a process of the sidecar knows, when the described incarnation first answers
// it, of calls to earlier incarnations that may have extended its lease.
type LateCalls uint8

const (
	// NoLateCalls means that there was no such call.
	NoLateCalls LateCalls = iota
	// LateCallsOfOthers means that only an earlier process may have sent one.
	LateCallsOfOthers
	// UnansweredLateCalls means that this process has sent one and got no answer.
	UnansweredLateCalls
)

// LateCallsTo returns what a process that began at started knows at a time now, by the clock of the
// calls' sending. A call that is over may have given the incarnation a lease that is not.
func (l LeaseCalls) LateCallsTo(workerID string, started, now, maxLease time.Duration) LateCalls {
	switch {
	case l.MayReach(workerID, now-LongestLease(maxLease)):
		return UnansweredLateCalls
	case now-started < runs.LongestCallDelay+LongestLease(maxLease):
		return LateCallsOfOthers
	}
	return NoLateCalls
}
