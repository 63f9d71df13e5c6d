package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Assignment puts one task on one worker.
type Assignment struct {
	Request Request
	Worker  ID
	// Version is the version of the worker that the assignment is based on.
	Version uint64
	// Wait reports whether the task may wait for evictions on the worker: those
	// of Victims and those in progress.
	Wait bool
	// Reclaim reports whether the owner reclaims its guarantee, so that the
	// victims may be evicted whatever their urgency.
	Reclaim bool
	// Victims are the tasks on the worker that have to be evicted first.
	Victims []carobkeel.TaskID
}

// Preemption is the eviction of one task. It is not part of an assignment in a
// Plan: the worker's capacity has shrunk, the task slows a service, or an owner
// reclaims its guarantee. In a Result it also describes the evicted victims of
// assignments.
type Preemption struct {
	Task   carobkeel.TaskID
	Worker ID
	// Version is the version of the worker that the preemption is based on.
	Version uint64
	// Withdrawn is set by a commit if the task was a claim: it had not started
	// and has been removed from the worker.
	Withdrawn bool
}

// Plan is a set of decisions that are based on one snapshot.
type Plan struct {
	// FleetVersion is the version of the snapshot.
	FleetVersion uint64
	// At is the time at which the plan was made.
	At          time.Time
	Assignments []Assignment
	Preemptions []Preemption
}

// Outcome is the result of committing one assignment.
type Outcome struct {
	Task   carobkeel.TaskID
	Worker ID
	// Claimed reports whether the task waits for evictions on the worker.
	Claimed bool
	// Err is nil if the assignment was applied. Its code is CodeHostFull if
	// another plan was committed first or the worker's capacity has shrunk.
	Err error
}

// Result is the result of committing a plan.
type Result struct {
	// Fleet is the snapshot after the commit.
	Fleet *Fleet
	// Outcomes has one item for each assignment, in the plan's order.
	Outcomes []Outcome
	// Evicted lists the evictions that the commit started, including those of
	// the assignments' victims.
	Evicted []Preemption
	// Accepted is the number of assignments that were applied.
	Accepted int
}
