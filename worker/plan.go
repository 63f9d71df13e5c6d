package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Assignment puts one task on one worker.
type Assignment struct {
	Request Request
	Worker  ID
	// Version is the worker's version that the assignment was made from.
	Version uint64
	// Wait says that the task may wait for evictions on the worker: those of
	// Victims and those that are under way.
	Wait bool
	// Reclaim says that the owner takes back its guarantee, so that urgency
	// does not matter.
	Reclaim bool
	// Victims are the tasks on the worker that have to be evicted first.
	Victims []carobkeel.TaskID
}

// Preemption evicts one task with no task to follow: the worker has shrunk, the
// task slows a service, or a lender takes its share back.
type Preemption struct {
	Task   carobkeel.TaskID
	Worker ID
	// Version is the worker's version that the preemption was made from.
	Version uint64
	// Withdrawn is set by a commit: the task was a claim, has not started and
	// is off the worker already.
	Withdrawn bool
}

// Plan is a set of decisions made from one snapshot.
type Plan struct {
	// FleetVersion is the version of the snapshot.
	FleetVersion uint64
	// At is the time at which the plan was made.
	At          time.Time
	Assignments []Assignment
	Preemptions []Preemption
}

// Outcome is what became of one assignment.
type Outcome struct {
	Task   carobkeel.TaskID
	Worker ID
	// Claimed says that the task waits for evictions on the worker.
	Claimed bool
	// Err is nil where the assignment was applied. Its code is CodeHostFull
	// where another plan came first or the worker has shrunk.
	Err error
}

// Result is what became of a plan.
type Result struct {
	// Fleet is the snapshot after the commit.
	Fleet *Fleet
	// Outcomes has one item for each assignment, in the plan's order.
	Outcomes []Outcome
	// Evicted lists the evictions that the commit has started, those of the
	// assignments' victims included.
	Evicted []Preemption
	// Accepted is the number of assignments that were applied.
	Accepted int
}
