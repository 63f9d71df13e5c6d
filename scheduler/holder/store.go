package holder

import (
	"context"
	"maps"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// maxEntries bounds the conditions and writes of one transaction, and batchEntries
	// those of a batch: one more is the condition on the holder row.
	maxEntries   = 100
	batchEntries = maxEntries - 1
	// batchBytes bounds the values of one transaction: the service accepts 1 MB
	// of text, in which values are a third longer.
	batchBytes = 512 << 10
)

// store starts storing the core's pending records if a write is due.
func (l *loop) store() {
	if l.batchInFlight || !l.core.HasBatch() {
		return
	}
	if due := l.batchEnded + storeInterval; !l.core.Urgent() && clock.Boottime() < due {
		if l.wake == 0 || due < l.wake {
			l.wake = due
		}
		return
	}
	batch := l.core.NextBatch(dispatch.BatchLimit{Entries: batchEntries, Bytes: batchBytes, Single: l.singleBatches > 0})
	if batch.Len() == 0 {
		return
	}
	l.singleBatches = max(0, l.singleBatches-1)
	l.batchInFlight = true
	l.batchTaken = clock.Boottime()
	writer := &batchWriter{
		node:   l.node,
		holder: *l.node.holderState.Load(),
		batch:  batch,
		rows:   make(map[carobkeel.JobID]*progressRows),
		// Only the batch in flight uses the map.
		workers: l.workerRows,
		marks:   make(map[carobkeel.JobID]table.Version),
	}
	for _, mark := range batch.Marks {
		writer.marks[mark.Job] = l.markRows[mark.Job]
	}
	for _, p := range batch.Progress {
		writer.rows[p.Job] = l.progressRows(p.Job)
	}
	for _, job := range batch.Expired {
		writer.rows[job] = l.progressRows(job)
	}
	term := l.term
	go func() {
		err := writer.run(term)
		l.node.events.Push(func(l *loop) { l.stored(term, writer, err) })
	}()
}

// progressRows returns a copy of what is known of the rows of a job's progress.
func (l *loop) progressRows(job carobkeel.JobID) *progressRows {
	if known := l.progress[job]; known != nil {
		return known.clone()
	}
	return newProgressRows(l.node.progressRow(string(job)))
}

// stored handles the result of storing a batch. A part of it may be stored also if it
// failed.
func (l *loop) stored(term context.Context, w *batchWriter, err error) {
	if l.core == nil || l.term != term {
		return
	}
	l.batchInFlight = false
	l.batchEnded = clock.Boottime()
	l.node.metrics.recordStore(l.batchEnded - l.batchTaken)
	maps.Copy(l.progress, w.rows)
	if err != nil {
		l.batchFailed(w.batch, err)
		return
	}
	for _, job := range w.batch.Expired {
		delete(l.progress, job)
	}
	for job, version := range w.marks {
		if l.markRows[job] == version {
			delete(l.markRows, job)
		}
	}
	l.core.BatchStored(w.batch)
}

// batchFailed handles a batch that was not stored. The records of one that the table
// service rejects are stored one by one, so that the others don't wait for the odd one.
func (l *loop) batchFailed(batch dispatch.Batch, err error) {
	if errors.Is(err, table.ErrInvalid) && batch.Len() == 1 {
		l.core.BatchRejected(batch)
		return
	}
	l.core.BatchFailed(batch)
	switch {
	case errors.Is(err, errSuperseded):
		l.stepDown("another process holds the shard")
	case errors.Is(err, table.ErrInvalid):
		l.singleBatches = batch.Len()
	}
}

func (n *Node) holderRow() table.RowID {
	return table.RowID{Table: TableHolders, Part: n.config.Shard, Key: holderKey}
}

// epochRow returns the ID of the row in the jobs table that is written together
// with the holder row. A holder that follows the jobs table therefore learns of
// its successor before it sees any job that was accepted later.
func (n *Node) epochRow() table.RowID {
	return table.RowID{Table: TableJobs, Part: n.config.Shard, Key: epochKey}
}

func (n *Node) jobRow(job carobkeel.JobID) table.RowID {
	return table.RowID{Table: TableJobs, Part: n.config.Shard, Key: string(job)}
}

func (n *Node) cancelRow(job carobkeel.JobID) table.RowID {
	return table.RowID{Table: TableJobs, Part: n.config.Shard, Key: string(job) + CancelSuffix}
}

// progressRow returns the ID of a row of a job's progress. The key is the job's ID, or the
// name of the first task of a further row.
func (n *Node) progressRow(key string) table.RowID {
	return table.RowID{Table: TableProgress, Part: n.config.Shard, Key: key}
}

// learnedRow returns the ID of the row with the interference model of images.
func (n *Node) learnedRow() table.RowID {
	return table.RowID{Table: TableInterference, Part: n.config.Shard, Key: interferenceKey}
}

func (n *Node) workerRow(incarnation runs.Incarnation) table.RowID {
	return table.RowID{Table: TableWorkers, Part: n.config.Shard, Key: workerKey(incarnation)}
}
