package dispatch

import (
	"slices"

	"github.com/carobkeel/carobkeel/worker/runs"
)

// WorkerRecord is the durable record of a worker incarnation that orders were
// sent to.
type WorkerRecord struct {
	Incarnation runs.Incarnation
	Host        string
	// LateLease reports that a late call may have extended the incarnation's lease, up to the
	// longest one.
	LateLease bool
	// Ended reports that no run of the incarnation goes on. Calls to it that got no answer may
	// still be carried out by a later one under its ID.
	Ended bool
}

// dropRecord has the record of an incarnation of a host's worker removed. From now on the
// incarnation counts as not recorded. Another host's worker keeps its record: its heartbeats
// may reach the sidecar of any host.
func (c *Core) dropRecord(incarnation runs.Incarnation, host string) {
	if !c.withdrawRecord(incarnation, host) {
		return
	}
	if !slices.Contains(c.incarnationsToForget, incarnation) {
		c.incarnationsToForget = append(c.incarnationsToForget, incarnation)
	}
}

// withdrawRecord takes an incarnation of a host's worker as not recorded from now on. It returns
// false if the record is that of another host's worker.
func (c *Core) withdrawRecord(incarnation runs.Incarnation, host string) bool {
	if recordedHost, recorded := c.recordedIncarnations[incarnation]; recorded && recordedHost != host {
		return false
	}
	delete(c.recordedIncarnations, incarnation)
	if w := c.workers[host]; w != nil && w.description.Incarnation == incarnation {
		w.recorded, w.recordedLate = false, false
	}
	isOfIncarnation := func(r WorkerRecord) bool { return r.Incarnation == incarnation }
	c.workersToRecord = slices.DeleteFunc(c.workersToRecord, isOfIncarnation)
	c.recordsToEnd = slices.DeleteFunc(c.recordsToEnd, isOfIncarnation)
	return true
}

// recordIncarnation has a record of the worker's incarnation written, so that a
// later holder knows of it.
func (c *Core) recordIncarnation(w *workerState) {
	if w.recorded {
		return
	}
	w.recordedLate = c.hasLateLease(w)
	c.record(w)
}

// record has the record of the worker's incarnation written, with the late lease as known now.
func (c *Core) record(w *workerState) {
	record := WorkerRecord{Incarnation: w.description.Incarnation, Host: w.host, LateLease: w.recordedLate}
	delete(c.endedWorkers, record.Incarnation)
	c.workersToRecord = append(c.workersToRecord, record)
	c.keepRecorded(c.workersToRecord)
}

// keepRecorded withdraws the removals and the ends of earlier records of incarnations that are to
// be recorded: a batch may hold the record without the removal, which would follow it.
func (c *Core) keepRecorded(records []WorkerRecord) {
	c.incarnationsToForget = slices.DeleteFunc(c.incarnationsToForget, func(i runs.Incarnation) bool { return containsIncarnation(records, i) })
	c.recordsToEnd = slices.DeleteFunc(c.recordsToEnd, func(r WorkerRecord) bool { return containsIncarnation(records, r.Incarnation) })
}

// tellRecorded tells the sidecar that the worker's incarnation is recorded, so that a later holder
// would know of it.
func (c *Core) tellRecorded(w *workerState) {
	c.recordedWorkers = append(c.recordedWorkers, Order{
		Host: w.host, Incarnation: w.description.Incarnation, Link: w.link.ID, Kind: OrderAcknowledge, Acknowledged: w.acknowledged,
	})
}

// confirmIncarnations records which incarnations have a record now. One that was dropped while
// its record was being stored has none soon.
func (c *Core) confirmIncarnations(b Batch) {
	for _, record := range b.Workers {
		if c.isWithdrawn(record.Incarnation) {
			continue
		}
		c.recordedIncarnations[record.Incarnation] = record.Host
		if w := c.workers[record.Host]; w != nil && w.description.Incarnation == record.Incarnation {
			w.recorded = true
			if w.listed {
				c.tellRecorded(w)
			}
		}
	}
	for _, incarnation := range b.Forgotten {
		delete(c.recordedIncarnations, incarnation)
		if !containsIncarnation(c.recordsToEnd, incarnation) {
			delete(c.endedWorkers, incarnation)
		}
	}
	c.forgetReplaced(b.Workers)
}

// isWithdrawn reports whether the record of an incarnation is to be removed, or marked as ended.
func (c *Core) isWithdrawn(incarnation runs.Incarnation) bool {
	return slices.Contains(c.incarnationsToForget, incarnation) || containsIncarnation(c.recordsToEnd, incarnation)
}

func incarnationOf(r WorkerRecord) runs.Incarnation { return r.Incarnation }

// withoutPending returns the changes of records without those of incarnations whose record is
// to change again.
func withoutPending[T any](c *Core, changes []T, incarnation func(T) runs.Incarnation) []T {
	return slices.DeleteFunc(slices.Clone(changes), func(change T) bool {
		i := incarnation(change)
		return c.isWithdrawn(i) || containsIncarnation(c.workersToRecord, i)
	})
}

func containsIncarnation(records []WorkerRecord, i runs.Incarnation) bool {
	return slices.ContainsFunc(records, func(r WorkerRecord) bool { return r.Incarnation == i })
}
