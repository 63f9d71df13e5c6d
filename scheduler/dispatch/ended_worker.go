package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel/worker/runs"
)

// endedWorker is an incarnation of a worker none of whose runs goes on. Its record is kept as long
// as calls to it that got no answer may be carried out by a later one under its ID: the holder
// that first hears of that one need not be the one that let those calls be sent.
type endedWorker struct {
	host      string
	keptUntil time.Duration
}

// endRecords has the records of a worker without runs marked as ended. If the worker reports
// again, a new record is written before anything starts there.
func (c *Core) endRecords(w *workerState) {
	for _, incarnation := range w.replaced {
		c.endRecord(incarnation, w.host)
	}
	w.replaced = nil
	if w.recorded {
		c.endRecord(w.description.Incarnation, w.host)
	}
}

// endUnreported takes an incarnation that has not listed to this holder as ended.
func (c *Core) endUnreported(incarnation runs.Incarnation, host string) {
	delete(c.unreportedWorkers, incarnation)
	c.endRecord(incarnation, host)
}

// endAllUnreported takes all incarnations of a host's worker as ended that have not listed to
// this holder.
func (c *Core) endAllUnreported(host string) {
	for incarnation, u := range c.unreportedWorkers {
		if u.host == host {
			c.endUnreported(incarnation, host)
		}
	}
}

// endRecord has the record of an incarnation of a host's worker marked as ended.
func (c *Core) endRecord(incarnation runs.Incarnation, host string) {
	if !c.withdrawRecord(incarnation, host) {
		return
	}
	c.keepEnded(incarnation, host)
	c.recordsToEnd = append(c.recordsToEnd, WorkerRecord{Incarnation: incarnation, Host: host, Ended: true})
}

// keepEnded keeps an ended incarnation in mind for as long as a call to it may be carried out,
// and the lease lasts that it then extends.
func (c *Core) keepEnded(incarnation runs.Incarnation, host string) {
	kept := runs.LongestCallDelay + maxLeaseDuration(c.config.MaxLease)
	c.endedWorkers[incarnation] = endedWorker{host: host, keptUntil: c.now.Monotonic + kept}
}

// forgetOldEnded drops the ended incarnations that no call can matter to any more.
func (c *Core) forgetOldEnded() {
	for incarnation, e := range c.endedWorkers {
		if c.now.Monotonic >= e.keptUntil {
			c.forgetEnded(incarnation, e.host)
		}
	}
}

// retireEarlier takes the incarnations of a host's worker as over that began before the present one,
// which has listed: none of their runs can begin any more. Their records are kept until the present
// one is recorded. Until then a later holder would know of none.
func (c *Core) retireEarlier(w *workerState) {
	for _, incarnation := range w.replaced {
		c.keepEnded(incarnation, w.host)
	}
	w.replaced = nil
	listed := w.description.Incarnation
	delete(c.endedWorkers, listed)
	for old, u := range c.unreportedWorkers {
		if u.host == w.host && old != listed && old.StartedAtMs <= listed.StartedAtMs {
			delete(c.unreportedWorkers, old)
			c.keepEnded(old, w.host)
		}
	}
	if w.recorded {
		c.forgetEndedBefore(w.host, listed)
	}
}

// forgetEndedBefore drops the ended incarnations of a host's worker that began before the given
// one, which has listed its runs and is recorded itself.
func (c *Core) forgetEndedBefore(host string, recorded runs.Incarnation) {
	for incarnation, e := range c.endedWorkers {
		if e.host == host && incarnation != recorded && incarnation.StartedAtMs <= recorded.StartedAtMs {
			c.forgetEnded(incarnation, host)
		}
	}
}

func (c *Core) forgetEnded(incarnation runs.Incarnation, host string) {
	delete(c.endedWorkers, incarnation)
	c.dropRecord(incarnation, host)
}
