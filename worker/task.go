package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Urgency orders tasks within the batch class. A batch task may evict only less
// urgent ones.
type Urgency uint8

// Levels of urgency, the least urgent first.
const (
	UrgencyLow Urgency = iota
	UrgencyNormal
	UrgencyHigh
	UrgencyCritical
)

// Phase is the state of a task on its worker.
type Phase uint8

const (
	// PhaseRunning tasks hold their reservation.
	PhaseRunning Phase = iota
	// PhaseEvicting tasks hold their reservation until the worker confirms
	// that they have stopped.
	PhaseEvicting
	// PhaseClaimed tasks do not run yet: they wait for evictions on their
	// worker and hold a claim on the resources that become free.
	PhaseClaimed
)

// Task is a task on a worker. A Task that is part of a Fleet is never changed but
// replaced by a changed copy.
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
	// Evictions is the number of times the task has been evicted so far.
	Evictions uint16
	// Reserved is the part of the worker's capacity that the task reserves.
	Reserved carobkeel.Resources
	// StartedAt is the time at which the task started on this worker.
	StartedAt time.Time
	// CheckpointedAt is the time of its last complete checkpoint, zero if there
	// is none.
	CheckpointedAt time.Time
}

// Speed returns the share of its reserved processors that the task may use, 0 to
// 1.
func (t *Task) Speed() float64 { return 1 - float64(min(t.Throttle, 100))/100 }

// Preemptible reports whether the task may be evicted for a task of the given
// class and urgency. Services are never preempted.
func (t *Task) Preemptible(class carobkeel.Class, urgency Urgency) bool {
	if t.Class != carobkeel.ClassBatch || t.Phase != PhaseRunning {
		return false
	}
	return class == carobkeel.ClassLatencyCritical || t.Urgency < urgency
}

// LostWork returns the work that an eviction at now would lose: the run time since
// the last checkpoint, or since the start if there is none after it.
func (t *Task) LostWork(now time.Time) time.Duration {
	since := t.StartedAt
	if t.CheckpointedAt.After(since) {
		since = t.CheckpointedAt
	}
	return max(0, now.Sub(since))
}
