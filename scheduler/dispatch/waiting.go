package dispatch

import (
	"fmt"
	"strings"
	"time"
)

const (
	// minReportedWait is how long a task must have waited to be reported.
	minReportedWait = time.Second
	// waitReportInterval is the least time between two reports, and
	// maxWaitReports bounds the steps in each of them.
	waitReportInterval = time.Second
	maxWaitReports     = 5
)

// reportWaiting records why the most urgent steps that still have tasks to
// start could not start them.
func (c *Core) reportWaiting(p *pass, steps []*stepState) {
	if c.now.Monotonic-c.waitReportedAt < waitReportInterval {
		return
	}
	reports := 0
	for _, s := range steps {
		t := c.nextStartable(s, nil)
		if t == nil || reports == maxWaitReports {
			continue
		}
		waited := c.now.Monotonic - t.waitsSince()
		if waited < minReportedWait {
			continue
		}
		reports++
		c.recordDecision(Decision{Kind: DecidedTaskWaiting, Task: t.name(), Waited: waited, Detail: fmt.Sprintf("needs_mcpu=%d %v", s.spec.Reserved().MilliCPU, c.countWorkers(p, t))})
	}
	if reports > 0 {
		c.waitReportedAt = c.now.Monotonic
	}
}

// reportHeldBack records how many jobs wait for worker incarnations that the
// previous holder used and that have not listed all their runs yet, and one of their
// hosts.
func (c *Core) reportHeldBack() {
	if len(c.unreportedWorkers)+len(c.partlyListed) == 0 || c.now.Monotonic-c.heldBackReportedAt < waitReportInterval {
		return
	}
	jobs := 0
	for _, j := range c.active {
		if j.inherited {
			jobs++
		}
	}
	d := Decision{
		Kind:   DecidedJobsHeldBack,
		Detail: fmt.Sprintf("jobs=%d unreported=%d partly_listed=%d", jobs, len(c.unreportedWorkers), len(c.partlyListed)),
	}
	for host := range c.partlyListed {
		d.Host = host
	}
	for incarnation, u := range c.unreportedWorkers {
		d.Host, d.Waited = u.host, c.expiryOf(incarnation, u)-c.now.Monotonic
	}
	c.heldBackReportedAt = c.now.Monotonic
	c.recordDecision(d)
}

// workerCounts counts the workers of a shard by the first reason for which a
// waiting task can't start on them.
type workerCounts struct {
	unlinked, unresponsive, unlisted, unrecorded, draining, expired, excluded int
	// notAllowed counts the workers that the step's requirements exclude.
	notAllowed int
	// slowStart counts the workers that have just begun and get no further start yet.
	slowStart int
	// full counts the workers without room, of which afterStops have room once
	// the runs that are being stopped have ended.
	full, afterStops int
	// reserved counts the workers whose room is reserved for other tasks.
	reserved int
	// unchanged counts the workers with room that were not looked at, since they
	// have not changed since the last pass.
	unchanged int
	// room counts the workers with room that were looked at.
	room int
	// freeMilliCPU is the sum of the free processors of the usable workers that
	// the step allows, and largestMilliCPU the most on one of them, in
	// thousandths of a core.
	freeMilliCPU, largestMilliCPU int64
}

// namedCount is a count with its name in log lines.
type namedCount struct {
	name  string
	value int64
}

// reasons returns the counts of workers on which the task can't start, in the order in which a
// worker is checked.
func (n *workerCounts) reasons() []namedCount {
	return []namedCount{
		{"unlinked", int64(n.unlinked)},
		{"unresponsive", int64(n.unresponsive)},
		{"unlisted", int64(n.unlisted)},
		{"unrecorded", int64(n.unrecorded)},
		{"draining", int64(n.draining)},
		{"expired", int64(n.expired)},
		{"excluded", int64(n.excluded)},
		{"not_allowed", int64(n.notAllowed)},
		{"slow_start", int64(n.slowStart)},
		{"full", int64(n.full)},
		{"after_stops", int64(n.afterStops)},
		{"reserved", int64(n.reserved)},
	}
}

// String returns the counts above zero in the order in which a worker is checked.
func (n workerCounts) String() string {
	var counts []string
	for _, count := range append(n.reasons(),
		namedCount{"unchanged", int64(n.unchanged)},
		namedCount{"room", int64(n.room)},
		namedCount{"free_mcpu", n.freeMilliCPU},
		namedCount{"largest_free_mcpu", n.largestMilliCPU},
	) {
		if count.value > 0 {
			counts = append(counts, fmt.Sprintf("%s=%d", count.name, count.value))
		}
	}
	return strings.Join(counts, " ")
}

func (c *Core) countWorkers(p *pass, t *task) workerCounts {
	var n workerCounts
	for _, w := range c.workers {
		if counter := c.unusableReason(w, &n); counter != nil {
			*counter++
			continue
		}
		c.countUsable(p, t, w, &n)
	}
	return n
}

// unusableReason returns the counter for the reason why a worker accepts no
// tasks, nil if it accepts them.
func (c *Core) unusableReason(w *workerState, n *workerCounts) *int {
	switch {
	case w.unresponsive:
		return &n.unresponsive
	case !w.reachable && !w.linked:
		return &n.unlinked
	case !w.reachable || !w.listed:
		return &n.unlisted
	case !w.recorded:
		return &n.unrecorded
	case w.description.Draining:
		return &n.draining
	case c.now.Monotonic >= w.leaseExpiry:
		return &n.expired
	case c.now.Monotonic < w.health.refusals.backoffUntil || c.isQuarantined(w):
		return &n.excluded
	}
	return nil
}

func (c *Core) countUsable(p *pass, t *task, w *workerState, n *workerCounts) {
	if !c.isAllowed(t, w) {
		n.notAllowed++
		return
	}
	n.freeMilliCPU += max(0, w.free().MilliCPU)
	n.largestMilliCPU = max(n.largestMilliCPU, w.free().MilliCPU)
	demand := t.step.spec.Reserved()
	switch {
	case c.waitsForSlowStart(t, w):
		n.slowStart++
	case !demand.FitsIn(w.free()):
		n.full++
		if demand.FitsIn(w.freeAfterStops()) {
			n.afterStops++
		}
	case !demand.FitsIn(c.room(p, t, w)):
		n.reserved++
	case w.lastChange <= t.step.noRoomAt:
		n.unchanged++
	default:
		n.room++
	}
}
