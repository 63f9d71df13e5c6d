package worker

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Request asks for a worker for one task.
type Request struct {
	Task  carobkeel.TaskID
	Job   carobkeel.JobID
	Owner carobkeel.Owner
	// Entry is the name of the catalogue entry.
	Entry string
	// Group is what rack spread counts: a service's name or a job's id.
	Group   string
	Class   carobkeel.Class
	Urgency Urgency
	// Demand is what the task reserves. Accelerators are not divided between
	// tasks.
	Demand carobkeel.Resources
	// DataCentres lists where the task may run. Empty means anywhere.
	DataCentres []carobkeel.DataCentre
	// Home is the preferred data centre, empty if there is none.
	Home carobkeel.DataCentre
	// MaxPerRack is the maximum number of tasks of Group on one rack. Zero
	// means no limit.
	MaxPerRack int
	// RunTime is the expected run time of a batch task, zero if unknown. A
	// worker whose planned stop starts before the expected end is not feasible.
	RunTime time.Duration
	// Evictions is the number of times the task has been evicted so far.
	Evictions uint16
	// Throttle is the percentage of its processors that is withheld from the
	// task when it starts, 0 for none.
	Throttle uint8
	// Avoid is a worker on which the task must not be placed, empty if there is
	// none: the one that the task was evicted from.
	Avoid ID
}

// Validate returns an Error with CodeInvalidEntry if the demand is empty or any
// resource in it is negative.
func (r *Request) Validate() error {
	d := r.Demand
	if d.MilliCPU < 0 || d.MemoryBytes < 0 || d.Accelerators < 0 {
		return carobkeel.NewError(carobkeel.CodeInvalidEntry, "task %s demands a negative amount", r.Task)
	}
	if d.IsZero() {
		return carobkeel.NewError(carobkeel.CodeInvalidEntry, "task %s demands nothing", r.Task)
	}
	return nil
}

func (r *Request) allows(dc carobkeel.DataCentre) bool {
	if len(r.DataCentres) == 0 {
		return true
	}
	for _, allowed := range r.DataCentres {
		if allowed == dc {
			return true
		}
	}
	return false
}

// task returns the Task for the request on a worker.
func (r *Request) task(phase Phase, now time.Time) *Task {
	return &Task{
		ID: r.Task, Job: r.Job, Owner: r.Owner, Entry: r.Entry, Group: r.Group,
		Class: r.Class, Urgency: r.Urgency, Phase: phase, Evictions: r.Evictions, Throttle: r.Throttle,
		Reserved: r.Demand, StartedAt: now,
	}
}
