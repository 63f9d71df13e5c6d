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
		c.forgetReplaced([]WorkerRecord{{Incarnation: listed, Host: w.host}})
	}
}

// replacedBy returns the ended incarnations of hosts' workers that began before those of the given
// records, which have listed their runs, with their hosts.
func (c *Core) replacedBy(records []WorkerRecord) map[runs.Incarnation]string {
	present := make(map[string]runs.Incarnation, len(records))
	for _, r := range records {
		present[r.Host] = r.Incarnation
	}
	replaced := make(map[runs.Incarnation]string)
	for incarnation, e := range c.endedWorkers {
		by, found := present[e.host]
		if found && incarnation != by && incarnation.StartedAtMs <= by.StartedAtMs {
			replaced[incarnation] = e.host
		}
	}
	return replaced
}

// addReplaced has a batch that records incarnations remove the records of those before them. They
// stay in mind until the batch is stored.
func (c *Core) addReplaced(b *Batch, limit *BatchLimit) {
	if len(b.Workers) == 0 {
		return
	}
	for incarnation, host := range c.replacedBy(b.Workers) {
		if !b.hasRecordOf(incarnation) && limit.take(workerEntries, workerBytes) && c.withdrawRecord(incarnation, host) {
			b.Forgotten = append(b.Forgotten, incarnation)
		}
	}
}

// forgetReplaced drops the ended incarnations that were replaced by those of records that are
// stored.
func (c *Core) forgetReplaced(stored []WorkerRecord) {
	if len(stored) == 0 {
		return
	}
	for incarnation, host := range c.replacedBy(stored) {
		c.forgetEnded(incarnation, host)
	}
}

// isEnded reports whether an incarnation is kept in mind as ended.
func (c *Core) isEnded(i runs.Incarnation) bool {
	_, ended := c.endedWorkers[i]
	return ended
}

func (c *Core) forgetEnded(incarnation runs.Incarnation, host string) {
	delete(c.endedWorkers, incarnation)
	c.dropRecord(incarnation, host)
}
