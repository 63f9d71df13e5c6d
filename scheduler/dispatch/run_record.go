package dispatch

import (
	"fmt"
	"slices"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// recordRepeatedStart records that the start of a run is ordered again.
func (c *Core) recordRepeatedStart(r *runState) {
	c.recordDecision(Decision{
		Kind: DecidedStartRepeated, Task: r.name, Run: r.number, Host: r.worker.host,
		Detail: fmt.Sprintf("order %d of link %d", r.startOrders, r.worker.link.ID),
	})
}

// recordStartAnswered records the answer to a start, also that to a run which this holder does
// not have any more.
func (c *Core) recordStartAnswered(a OrderAnswer) {
	if a.Kind != OrderStart {
		return
	}
	c.recordDecision(Decision{
		Kind: DecidedStartAnswered, Task: a.Task, Run: a.Run, Host: a.Host, Detail: a.Result.String(), Listing: a.Listing,
	})
}

// recordListed records the first listing that shows a run.
func (c *Core) recordListed(w *workerState, running runs.Running, listing uint64) {
	r := w.runs[runKey{running.Task, running.Run}]
	if r == nil || r.listed {
		return
	}
	r.listed = true
	c.recordDecision(Decision{Kind: DecidedRunListed, Task: r.name, Run: r.number, Host: w.host, Listing: listing})
}

// recordInheritedListing records a listing that shows which runs of earlier holders go on on a
// worker.
func (c *Core) recordInheritedListing(w *workerState, l *WorkerListing) {
	if !c.mayHaveInheritedRuns(w) {
		return
	}
	detail := fmt.Sprintf("%d running, %d ended", len(l.Running), len(l.Ends))
	if l.Partial {
		detail += ", partial"
	}
	c.recordDecision(Decision{
		Kind: DecidedInheritedWorkerListed, Host: w.host, Incarnation: l.Incarnation, Listing: l.Number, Detail: detail,
	})
}

// endDecision returns the decision on an end that a worker has listed.
func endDecision(kind DecisionKind, w *workerState, end runs.End, listing uint64) Decision {
	return Decision{
		Kind: kind, Task: end.Task, Run: end.Run, Host: w.host, Detail: end.Outcome.String(),
		Incarnation: w.description.Incarnation, Listing: listing, End: end.Number, Outcome: end.Outcome,
	}
}

// recordUnknownEnd records the end of a run that this holder does not have.
func (c *Core) recordUnknownEnd(w *workerState, t *task, end runs.End, listing uint64) {
	d := endDecision(DecidedUnknownRunEnded, w, end, listing)
	if t != nil && t.takeGivenUp(end.Run) {
		d.Kind = DecidedGivenUpRunEnded
	} else {
		d.Detail += ", " + c.explainUnknownEnd(t, end.Run)
	}
	c.recordDecision(d)
}

// maxGivenUp bounds the runs of a task that were given up and whose ends are awaited, for the
// log.
const maxGivenUp = 8

// recordGivenUp records that a run of the task was given up.
func (t *task) recordGivenUp(run int) {
	if len(t.givenUp) == maxGivenUp {
		t.givenUp = t.givenUp[1:]
	}
	t.givenUp = append(t.givenUp, run)
}

// takeGivenUp reports whether a run of the task was given up, and forgets that.
func (t *task) takeGivenUp(run int) bool {
	i := slices.Index(t.givenUp, run)
	if i < 0 {
		return false
	}
	t.givenUp = slices.Delete(t.givenUp, i, i+1)
	return true
}

// explainUnknownEnd returns why a worker may list the end of a run that this holder does not
// have.
func (c *Core) explainUnknownEnd(t *task, run int) string {
	switch {
	case t == nil:
		return "unknown task"
	case c.isOfEarlierHolder(t, run):
		return "of an earlier holder"
	}
	return "released before"
}

// recordRevision adds the revision that includes the effect of an end to the decision on the
// end, which is among those from the given one on.
func (c *Core) recordRevision(from int, end pendingEnd) {
	for i := range c.decisions[from:] {
		if d := &c.decisions[from+i]; d.End == end.number {
			d.Revision = end.revision
		}
	}
}

// recordStored records that a revision of a job's progress is durable.
func (c *Core) recordStored(job carobkeel.JobID, state carobkeel.JobState, revision uint64) {
	c.recordDecision(Decision{Kind: DecidedProgressStored, Job: job, Detail: state.String(), Revision: revision})
}

// recordAcknowledged records that the acknowledgement of a worker's ends is ordered.
func (c *Core) recordAcknowledged(w *workerState) {
	c.recordDecision(Decision{
		Kind: DecidedEndsAcknowledged, Host: w.host, Incarnation: w.description.Incarnation, End: w.acknowledged,
	})
}
