package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Urgency orders work within the batch class. Only a less urgent task is
// evicted for a more urgent one.
type Urgency uint8

// Levels of urgency, the least urgent first.
const (
	UrgencyLow Urgency = iota
	UrgencyNormal
	UrgencyHigh
	UrgencyCritical
)

// Phase says how far a task is on its worker.
type Phase uint8

const (
	// PhaseRunning tasks hold their reservation.
	PhaseRunning Phase = iota
	// PhaseEvicting tasks hold their reservation until the worker confirms
	// that they have stopped.
	PhaseEvicting
	// PhaseClaimed tasks wait for evictions on their worker. They hold a claim
	// on the room that becomes free and do not run yet.
	PhaseClaimed
)

// Task is a task on a worker. A Task that is part of a Fleet is never changed;
// a new one takes its place.
type Task struct {
	ID carobkeel.TaskID
	// Job is empty for an instance of a service.
	Job   carobkeel.JobID
	Owner carobkeel.Owner
	// Entry is the name of the catalogue entry.
	Entry string
	// Group is what rack spread counts: a service's name or a job's id.
	Group   string
	Class   carobkeel.Class
	Urgency Urgency
	Phase   Phase
	// Throttle is the percentage of its processors that is withheld from the
	// task, 0 for none.
	Throttle uint8
	// Evictions is how often the task has been evicted so far.
	Evictions uint16
	// Reserved is the share of the worker's capacity that the task holds.
	Reserved carobkeel.Resources
	// StartedAt is when the task started on this worker.
	StartedAt time.Time
	// CheckpointedAt is when its last whole checkpoint was taken, zero if none.
	CheckpointedAt time.Time
}

// Speed returns the share of its processors that the task may use, 0 to 1.
func (t *Task) Speed() float64 { return 1 - float64(min(t.Throttle, 100))/100 }

// Preemptible reports whether the task may be evicted for work of the given
// class and urgency. Services are never preempted.
func (t *Task) Preemptible(class carobkeel.Class, urgency Urgency) bool {
	if t.Class != carobkeel.ClassBatch || t.Phase != PhaseRunning {
		return false
	}
	return class == carobkeel.ClassLatencyCritical || t.Urgency < urgency
}

// LostWork returns the run time that an eviction at now would throw away.
func (t *Task) LostWork(now time.Time) time.Duration {
	since := t.StartedAt
	if t.CheckpointedAt.After(since) {
		since = t.CheckpointedAt
	}
	return max(0, now.Sub(since))
}
