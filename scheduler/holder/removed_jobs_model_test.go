package holder

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
)

// secondPage is the key of the first job on the second page.
const secondPage = "00000000000000b"

var modelJobs = []carobkeel.JobID{"00000000000000aa", "00000000000000ab", "00000000000000ba", "00000000000000bb"}

// jobsModel is a holder that follows the table of jobs. The answers of the store wait as events,
// in the order in which they came.
type jobsModel struct {
	g      Gomega
	rows   *memory.Rows
	loop   *loop
	events []func()
	// from is the version that the feed was read up to, and firstPage what has been read of the
	// whole table, nil while the feed is read.
	from      table.Version
	firstPage *table.RowScan
	// removing are the jobs whose removal was carried out and not answered yet.
	removing []carobkeel.JobID
	// submitted and added count the submissions of each job and how often the holder took it for new.
	submitted, added map[carobkeel.JobID]int
	// known are the jobs that the holder has.
	known map[carobkeel.JobID]bool
}

func newJobsModel(g Gomega) *jobsModel {
	m := &jobsModel{
		g: g, rows: memory.NewRows(),
		submitted: make(map[carobkeel.JobID]int), added: make(map[carobkeel.JobID]int), known: make(map[carobkeel.JobID]bool),
	}
	m.loop = newLoop(New(Config{Shard: "shard"}, m.rows, nil, logging.Discard().For("test")))
	m.loop.core = dispatch.New(dispatch.Config{Epoch: 1}, m.loop.now(), nil)
	m.from = m.scan("").Version
	return m
}

func (m *jobsModel) scan(from string) table.RowScan {
	scan, err := m.rows.Scan(context.Background(), TableJobs, "shard", from)
	m.g.Expect(err).NotTo(HaveOccurred())
	return scan
}

func (m *jobsModel) isStored(id carobkeel.JobID) bool {
	_, found, err := m.rows.Get(context.Background(), m.loop.node.jobRow(id))
	m.g.Expect(err).NotTo(HaveOccurred())
	return found
}

func (m *jobsModel) transact(write table.RowWrite) {
	_, err := m.rows.Transact(context.Background(), table.RowTransaction{Writes: []table.RowWrite{write}})
	m.g.Expect(err).NotTo(HaveOccurred())
}

// submit stores a job under an ID that nothing is known of any more.
func (m *jobsModel) submit(id carobkeel.JobID) {
	if m.isStored(id) || m.known[id] {
		return
	}
	spec := endedSpec()
	spec.ID = id
	m.transact(table.RowWrite{RowID: m.loop.node.jobRow(id), Value: mustEncode(wire.FromJob(spec))})
	m.submitted[id]++
}

// remove has the store remove a job.
func (m *jobsModel) remove(id carobkeel.JobID) {
	if m.known[id] && m.isStored(id) {
		m.transact(table.RowWrite{RowID: m.loop.node.jobRow(id), Delete: true})
		m.removing = append(m.removing, id)
	}
}

// answerRemovals has the removals answered that were carried out.
func (m *jobsModel) answerRemovals() {
	removed := m.removing
	m.removing = nil
	m.events = append(m.events, func() { m.loop.core.BatchStored(dispatch.Batch{Expired: removed}) })
}

// read reads the feed or, once a read of the whole table has begun, the rest of that.
func (m *jobsModel) read() {
	if m.firstPage != nil {
		m.readSecondPage()
		return
	}
	changes, err := m.rows.Follow(context.Background(), TableJobs, m.from, 0)
	m.g.Expect(err).NotTo(HaveOccurred())
	m.from = changes.Next
	m.events = append(m.events, func() { m.loop.applyJobRows(changes.Rows, 1) })
}

// readFirstPage begins to read the whole table, as if the history of its changes were lost.
func (m *jobsModel) readFirstPage() {
	if m.firstPage != nil {
		return
	}
	page := m.scan("")
	for i, row := range page.Rows {
		if row.Key >= secondPage {
			page.Rows = page.Rows[:i]
			break
		}
	}
	m.firstPage = &page
}

func (m *jobsModel) readSecondPage() {
	rows := rowsUpTo(append(m.firstPage.Rows, m.scan(secondPage).Rows...), m.firstPage.Version)
	m.from, m.firstPage = m.firstPage.Version, nil
	m.events = append(m.events, func() {
		m.loop.applyJobRows(rows, 1)
		m.loop.keepJobRows(rows)
	})
}

// handle has the holder handle the oldest event.
func (m *jobsModel) handle() {
	if len(m.events) == 0 {
		return
	}
	m.events[0]()
	m.events = m.events[1:]
	for _, change := range m.loop.core.TakeStateChanges() {
		m.known[change.Job] = !change.Removed
		if !change.Removed {
			m.added[change.Job]++
		}
	}
}

// settle lets all that is under way come to its end.
func (m *jobsModel) settle() {
	m.answerRemovals()
	m.read() // the rest of the table, if a read of it has begun
	m.read()
	for len(m.events) > 0 {
		m.handle()
	}
}

// Guards against TWICE: a job that was removed while the table was read started again.
func TestEachSubmittedJobIsAddedOnceInAnyOrderOfReadsAndRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newJobsModel(NewWithT(t))
		job := rapid.SampledFrom(modelJobs)
		t.Repeat(map[string]func(*rapid.T){
			"submit":           func(t *rapid.T) { m.submit(job.Draw(t, "job")) },
			"remove":           func(t *rapid.T) { m.remove(job.Draw(t, "job")) },
			"answer removals":  func(*rapid.T) { m.answerRemovals() },
			"read":             func(*rapid.T) { m.read() },
			"lose the history": func(*rapid.T) { m.readFirstPage() },
			"handle":           func(*rapid.T) { m.handle() },
		})
		m.settle()
		m.g.Expect(m.added).To(Equal(m.submitted))
		for _, id := range modelJobs {
			m.g.Expect(m.known[id]).To(Equal(m.isStored(id)), string(id))
		}
	})
}
