package holder

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// batchEntries bounds the conditions and writes of one transaction: the
	// service accepts 100, and one is the condition on the holder row.
	batchEntries = 99
	// batchBytes bounds the values of one transaction: the service accepts 1 MB
	// of text, in which values are a third longer.
	batchBytes = 512 << 10
	// firstRetryPause and maxRetryPause bound the time between two attempts.
	firstRetryPause = 20 * time.Millisecond
	maxRetryPause   = 250 * time.Millisecond
)

// errSuperseded reports that another process holds the shard.
var errSuperseded = errors.New("another process holds the shard")

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
		node:     l.node,
		holder:   *l.node.holderState.Load(),
		batch:    batch,
		versions: make(map[carobkeel.JobID]table.Version),
	}
	for _, p := range batch.Progress {
		writer.versions[p.Job] = l.versions[p.Job]
	}
	for _, job := range batch.Expired {
		writer.versions[job] = l.versions[job]
	}
	term := l.term
	go func() {
		outcome, err := writer.run(term)
		l.node.events.Push(func(l *loop) { l.stored(term, batch, outcome, err) })
	}()
}

// stored handles the result of storing a batch.
func (l *loop) stored(term context.Context, batch dispatch.Batch, outcome table.RowOutcome, err error) {
	if l.core == nil || l.term != term {
		return
	}
	l.batchInFlight = false
	l.batchEnded = clock.Boottime()
	l.node.metrics.recordStore(l.batchEnded - l.batchTaken)
	if err != nil {
		l.batchFailed(batch, err)
		return
	}
	for _, p := range batch.Progress {
		l.versions[p.Job] = outcome.Version
	}
	for _, job := range batch.Expired {
		delete(l.versions, job)
	}
	l.core.BatchStored(batch)
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

// batchWriter stores one batch, in as many attempts as it takes.
type batchWriter struct {
	node     *Node
	holder   HolderState
	batch    dispatch.Batch
	versions map[carobkeel.JobID]table.Version
}

// run stores the batch. Every write is conditional on the holder row and on the
// version of the row that it replaces, so that a transaction that is carried
// out late changes nothing.
func (w *batchWriter) run(ctx context.Context) (table.RowOutcome, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetryPause, maxRetryPause
	for {
		outcome, err := w.node.rows.Transact(ctx, w.transaction())
		switch {
		case err == nil && outcome.Applied:
			return outcome, nil
		case err == nil:
			if err := w.refreshVersions(&outcome); err != nil {
				return outcome, err
			}
			continue
		case errors.Is(err, table.ErrInvalid):
			w.logRejected(err)
			return outcome, err
		}
		w.node.log.Warn().Err(err).Int("jobs", len(w.batch.Progress)).Msg("records not stored, retrying")
		if err := clock.Sleep(ctx, pause.NextBackOff()); err != nil {
			return outcome, err
		}
	}
}

func (w *batchWriter) logRejected(err error) {
	line := w.node.log.Error().Err(err).Int("records", w.batch.Len())
	if len(w.batch.Progress) > 0 {
		line = line.Str("job", string(w.batch.Progress[0].Job))
	}
	if len(w.batch.Workers) > 0 {
		line = line.Str("host", w.batch.Workers[0].Host)
	}
	line.Msg("table service rejected the records")
}

// refreshVersions adopts the current versions of the rows. They differ when an
// earlier attempt of this holder was carried out without its answer arriving.
func (w *batchWriter) refreshVersions(outcome *table.RowOutcome) error {
	if outcome.CurrentVersion(w.node.holderRow()) != w.holder.Version {
		return errSuperseded
	}
	for job := range w.versions {
		w.versions[job] = outcome.CurrentVersion(w.node.progressRow(job))
	}
	return nil
}

func (w *batchWriter) transaction() table.RowTransaction {
	n := w.node
	txn := table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: n.holderRow(), Version: w.holder.Version}},
	}
	for i := range w.batch.Progress {
		p := &w.batch.Progress[i]
		id := n.progressRow(p.Job)
		txn.Conditions = append(txn.Conditions, table.RowCondition{RowID: id, Version: w.versions[p.Job]})
		txn.Writes = append(txn.Writes, table.RowWrite{RowID: id, Value: mustEncode(wire.FromProgress(p))})
	}
	for _, record := range w.batch.Workers {
		row := wire.WorkerRow{Host: record.Host, ID: record.Incarnation.ID, StartedAtMs: record.Incarnation.StartedAtMs}
		txn.Writes = append(txn.Writes, table.RowWrite{RowID: n.workerRow(record.Incarnation), Value: mustEncode(&row)})
	}
	for _, job := range w.batch.Expired {
		txn.Conditions = append(txn.Conditions, table.RowCondition{RowID: n.progressRow(job), Version: w.versions[job]})
		for _, id := range []table.RowID{n.jobRow(job), n.cancelRow(job), n.progressRow(job)} {
			txn.Writes = append(txn.Writes, table.RowWrite{RowID: id, Delete: true})
		}
	}
	if len(w.batch.Interference) > 0 {
		txn.Writes = append(txn.Writes, table.RowWrite{RowID: n.learnedRow(), Value: mustEncode(wire.FromInterference(w.batch.Interference))})
	}
	for _, incarnation := range w.batch.Forgotten {
		txn.Writes = append(txn.Writes, table.RowWrite{RowID: n.workerRow(incarnation), Delete: true})
	}
	return txn
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

func (n *Node) progressRow(job carobkeel.JobID) table.RowID {
	return table.RowID{Table: TableProgress, Part: n.config.Shard, Key: string(job)}
}

// learnedRow returns the ID of the row with the interference model of images.
func (n *Node) learnedRow() table.RowID {
	return table.RowID{Table: TableInterference, Part: n.config.Shard, Key: interferenceKey}
}

func (n *Node) workerRow(incarnation runs.Incarnation) table.RowID {
	return table.RowID{Table: TableWorkers, Part: n.config.Shard, Key: workerKey(incarnation)}
}
