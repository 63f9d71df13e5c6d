package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Decision is a line for the log: what was decided about a job, a task or a
// worker, and from what.
type Decision struct {
	// Kind says what was decided, in a few words.
	Kind string
	Job  carobkeel.JobID
	Task carobkeel.TaskName
	Run  int
	Host string
	// Waited is how long the task or job had waited, where it had.
	Waited time.Duration
	// Detail holds further inputs.
	Detail string
}

func (c *Core) note(d Decision) { c.decisions = append(c.decisions, d) }
