package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// CancelMarkRetention is how long the cancellation of an unknown job is kept, at least. It
	// is longer than a submission that got no answer may take to be stored.
	CancelMarkRetention = time.Minute
	// maxMarksPerBatch bounds the marks that one batch removes.
	maxMarksPerBatch = 20
	// markEntries are the condition and the write that the removal of a mark uses.
	markEntries = 2
)

// CancelMark is the stored cancellation of a job that this holder does not know. It keeps a
// submission that is still under way from being stored.
type CancelMark struct {
	Job carobkeel.JobID
	// at is when this holder last saw it written.
	at time.Duration
}

// cancelMarks holds the marks that are stored.
type cancelMarks struct {
	// latest maps the jobs to the time of their mark, and order lists the marks by time. One that
	// is not the latest of its job doesn't count.
	latest map[carobkeel.JobID]time.Duration
	order  []CancelMark
}

// add adds a mark that was written just before now.
func (m *cancelMarks) add(id carobkeel.JobID, now time.Duration) {
	if m.latest == nil {
		m.latest = make(map[carobkeel.JobID]time.Duration)
	}
	m.latest[id] = now
	m.order = append(m.order, CancelMark{Job: id, at: now})
}

// remove drops a mark unless there is a later one of its job.
func (m *cancelMarks) remove(mark CancelMark) {
	if m.isLatest(mark) {
		delete(m.latest, mark.Job)
	}
}

func (m *cancelMarks) isLatest(mark CancelMark) bool {
	at, marked := m.latest[mark.Job]
	return marked && at == mark.at
}

// first returns the earliest mark that counts.
func (m *cancelMarks) first() (CancelMark, bool) {
	for len(m.order) > 0 && !m.isLatest(m.order[0]) {
		m.order = m.order[1:]
	}
	if len(m.order) == 0 {
		return CancelMark{}, false
	}
	return m.order[0], true
}

// KeepCancelMark keeps the stored cancellation of a job that is not known, until it is removed.
func (c *Core) KeepCancelMark(id carobkeel.JobID) { c.marks.add(id, c.now.Monotonic) }

// hasExpiredMarks reports whether there are marks to remove.
func (c *Core) hasExpiredMarks() bool {
	mark, found := c.marks.first()
	return found && c.now.Monotonic-mark.at >= CancelMarkRetention
}

// addExpiredMarks adds the marks to a batch that may be removed.
func (c *Core) addExpiredMarks(b *Batch, limit *BatchLimit) {
	for len(b.Marks) < maxMarksPerBatch && c.hasExpiredMarks() && limit.take(markEntries, 0) {
		b.Marks = append(b.Marks, c.marks.order[0])
		c.marks.order = c.marks.order[1:]
	}
}

// wakeForMarks requests a call of Advance when a mark may be removed.
func (c *Core) wakeForMarks() {
	if mark, found := c.marks.first(); found {
		c.wakeAt(max(mark.at+CancelMarkRetention, c.now.Monotonic+expireInterval))
	}
}
