package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// lateStart is a start of a task that got no answer, and that an incarnation of the worker may have
// carried out which its sidecar does not reach. Nothing fences that one, and no listing shows what it
// runs.
type lateStart struct {
	host string
	// process is the process of the sidecar that has reported it. A later one knows nothing of it.
	process carobkeel.Incarnation
	// until is when no run of it can go on, whatever the sidecar reports.
	until time.Duration
}

// updateLateStarts records the tasks of which a host's worker, which does not answer, may have carried
// out a late start. Such a task starts nowhere before the worker has listed its runs, or none of them
// can go on.
func (c *Core) updateLateStarts(w *workerState, tasks []carobkeel.TaskName) {
	reported := make(map[carobkeel.TaskName]bool, len(tasks))
	for _, name := range tasks {
		reported[name] = true
		c.addLateStart(w, name)
	}
	for name, s := range c.lateStarts {
		if s.host == w.host && s.process == w.link.Process && !reported[name] {
			delete(c.lateStarts, name)
		}
	}
}

func (c *Core) addLateStart(w *workerState, name carobkeel.TaskName) {
	c.task(name) // from now on it has a structure, so that it is looked at by itself
	longest := runs.LongestCallDelay + maxLeaseDuration(c.config.MaxLease)
	if old, known := c.lateStarts[name]; !known || old.host != w.host {
		c.recordDecision(Decision{Kind: DecidedLateStart, Task: name, Host: w.host, Waited: longest})
	}
	c.lateStarts[name] = lateStart{host: w.host, process: w.link.Process, until: c.now.Monotonic + longest}
}

// dropLateStarts drops what was reported of late starts on a host whose worker has listed its runs: the
// incarnation that has listed refuses calls to earlier ones.
func (c *Core) dropLateStarts(host string) {
	for name, s := range c.lateStarts {
		if s.host == host {
			delete(c.lateStarts, name)
		}
	}
}

// mayRunLate reports whether a run of the task may go on by a late start.
func (c *Core) mayRunLate(t *task) bool {
	if len(c.lateStarts) == 0 {
		return false
	}
	s, found := c.lateStarts[t.name()]
	return found && c.now.Monotonic < s.until
}

// expireLateStarts drops late starts of which no run can go on.
func (c *Core) expireLateStarts() {
	for name, s := range c.lateStarts {
		if c.now.Monotonic >= s.until {
			delete(c.lateStarts, name)
		}
	}
}
