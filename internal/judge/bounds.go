package judge

import "time"

// Bounds are the times that the rules name.
type Bounds struct {
	// Contact is how long a process must be undisturbed to be in touch.
	Contact time.Duration
	// Acknowledge is how long cancellations, ends and drains may wait for an answer.
	Acknowledge time.Duration
	// Cancel is how long after the acknowledgement tasks may start, and StopGrace how
	// long a stop may take.
	Cancel, StopGrace time.Duration
	// Visible is how long after its acceptance a job may be unknown.
	Visible time.Duration
	// Early is how much before its time an occurrence may start.
	Early time.Duration
	// ConfigApply is how long a version takes until it is in force everywhere, and
	// ConfigRollback how long one process may still answer by an earlier one.
	ConfigApply, ConfigRollback time.Duration
	// Drain is how long after the acknowledgement a worker that drains may get tasks.
	Drain time.Duration
	// Finish is how long after the end of traffic jobs are asked for.
	Finish time.Duration
	// Status is how long a finished job stays known. Zero means for good.
	Status time.Duration
}
