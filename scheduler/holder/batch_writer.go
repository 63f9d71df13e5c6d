package holder

import (
	"cmp"
	"context"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

// firstRetryPause and maxRetryPause bound the time between two attempts.
const (
	firstRetryPause = 20 * time.Millisecond
	maxRetryPause   = 250 * time.Millisecond
)

// errSuperseded reports that another process holds the shard.
var errSuperseded = errors.New("another process holds the shard")

// batchWriter stores one batch, in as many transactions and attempts as it takes.
type batchWriter struct {
	node   *Node
	holder HolderState
	batch  dispatch.Batch
	// rows are the rows of the progress of the batch's jobs. They follow what is stored.
	rows map[carobkeel.JobID]*progressRows
	// workers are the versions of the records of workers, by key. They follow what is stored.
	workers map[string]table.Version
	// marks are the versions of the cancellations of unknown jobs that are removed.
	marks map[carobkeel.JobID]table.Version
}

// run stores the batch. A panic counts as a rejection of its records, so that an odd one
// neither ends the process nor holds back the others.
func (w *batchWriter) run(ctx context.Context) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			w.node.metrics.Panics.Inc(1)
			w.node.log.Error().Any("cause", cause).Str("stack", string(debug.Stack())).Msg("storing records panicked")
			err = errors.Wrap(table.ErrInvalid, "storing records panicked")
		}
	}()
	holds := table.RowCondition{RowID: w.node.holderRow(), Version: w.holder.Version}
	for _, txn := range packTransactions(w.changes(), holds) {
		if err := w.transact(ctx, txn, w.refreshVersions); err != nil {
			return err
		}
	}
	if removal := w.markRemoval(holds); len(removal.Writes) > 0 {
		return w.transact(ctx, removal, w.keepRewritten)
	}
	return nil
}

// markRemoval returns the transaction that removes the cancellations of unknown jobs. One that
// was written again since must stay, so it has no place among the other changes, whose versions
// are refreshed.
func (w *batchWriter) markRemoval(holds table.RowCondition) table.RowTransaction {
	removal := table.RowTransaction{Conditions: []table.RowCondition{holds}}
	for _, mark := range w.batch.Marks {
		id := w.node.cancelRow(mark.Job)
		removal.Conditions = append(removal.Conditions, table.RowCondition{RowID: id, Version: w.marks[mark.Job]})
		removal.Writes = append(removal.Writes, table.RowWrite{RowID: id, Delete: true})
	}
	return removal
}

// keepRewritten takes the rows out of a removal whose version has changed, and those that an
// earlier attempt has removed.
func (w *batchWriter) keepRewritten(txn *table.RowTransaction, outcome *table.RowOutcome) error {
	if outcome.CurrentVersion(w.node.holderRow()) != w.holder.Version {
		return errSuperseded
	}
	txn.Conditions = slices.DeleteFunc(txn.Conditions, func(c table.RowCondition) bool {
		return outcome.CurrentVersion(c.RowID) != c.Version
	})
	txn.Writes = slices.DeleteFunc(txn.Writes, func(write table.RowWrite) bool {
		return !slices.ContainsFunc(txn.Conditions, func(c table.RowCondition) bool { return c.RowID == write.RowID })
	})
	return nil
}

// transact executes a transaction. Every write is conditional on the holder row, and each
// that could do harm if it is carried out late on the version of the row that it replaces. If the
// conditions don't hold, refresh changes the transaction for the next attempt, or ends it.
func (w *batchWriter) transact(ctx context.Context, txn table.RowTransaction, refresh func(*table.RowTransaction, *table.RowOutcome) error) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetryPause, maxRetryPause
	for {
		outcome, err := w.node.rows.Transact(ctx, txn)
		switch {
		case err == nil && outcome.Applied:
			w.record(txn.Writes, outcome.Version)
			w.logStored(&txn, outcome.Version)
			return nil
		case err == nil:
			if err := refresh(&txn, &outcome); err != nil {
				return err
			}
			if len(txn.Writes) == 0 {
				return nil
			}
			continue
		case errors.Is(err, table.ErrInvalid):
			w.recordRejected(&txn, err)
			if !w.dropLearned(&txn) {
				return err
			}
			if len(txn.Writes) == 0 {
				return nil
			}
			continue
		}
		w.node.log.Warn().Err(err).Int("jobs", len(w.batch.Progress)).Msg("records not stored, retrying")
		if err := clock.Sleep(ctx, pause.NextBackOff()); err != nil {
			return err
		}
	}
}

// record follows the rows of progress and of workers that a transaction has written.
func (w *batchWriter) record(writes []table.RowWrite, version table.Version) {
	for _, write := range writes {
		switch {
		case write.Table == TableProgress:
			w.rows[jobOfProgressKey(write.Key)].record(write, version)
		case write.Table == TableWorkers && write.Delete:
			delete(w.workers, write.Key)
		case write.Table == TableWorkers:
			w.workers[write.Key] = version
		}
	}
}

// refreshVersions adopts the current versions of the rows. They differ when an
// earlier attempt of this holder was carried out without its answer arriving.
func (w *batchWriter) refreshVersions(txn *table.RowTransaction, outcome *table.RowOutcome) error {
	if outcome.CurrentVersion(w.node.holderRow()) != w.holder.Version {
		return errSuperseded
	}
	for i := range txn.Conditions {
		txn.Conditions[i].Version = outcome.CurrentVersion(txn.Conditions[i].RowID)
	}
	return nil
}

// logStored logs that a transaction is durable. A later holder has read it if what it has read is
// of that version or a later one.
func (w *batchWriter) logStored(txn *table.RowTransaction, version table.Version) {
	w.node.log.Info().Uint64("version", uint64(version)).Int("rows", len(txn.Writes)).
		Uint64("epoch", w.holder.Row.Epoch).Msg("records stored")
}

// dropLearned takes the learned interference out of a transaction that the table service has rejected, which
// says nothing of which row is at fault. No promise rests on that row, so no other one has to wait for it.
// It reports whether the row was there.
func (w *batchWriter) dropLearned(txn *table.RowTransaction) bool {
	learned := w.node.learnedRow()
	before := len(txn.Writes)
	txn.Writes = slices.DeleteFunc(txn.Writes, func(write table.RowWrite) bool { return write.RowID == learned })
	return len(txn.Writes) < before
}

// recordRejected logs and counts a transaction that the table service rejects, with its largest row.
func (w *batchWriter) recordRejected(txn *table.RowTransaction, err error) {
	w.node.metrics.Rejected.Inc(1)
	largest := slices.MaxFunc(txn.Writes, func(a, b table.RowWrite) int { return cmp.Compare(len(a.Value), len(b.Value)) })
	line := w.node.log.Error().Err(err).Int("records", w.batch.Len()).Int("rows", len(txn.Writes)).
		Str("table", largest.Table).Str("key", largest.Key).Int("bytes", len(largest.Value))
	if len(w.batch.Progress) > 0 {
		line = line.Str("job", string(w.batch.Progress[0].Job))
	}
	if len(w.batch.Workers) > 0 {
		line = line.Str("host", w.batch.Workers[0].Host)
	}
	line.Msg("table service rejected the records")
}

// changes returns the changes of the batch, each of which takes effect as a whole.
func (w *batchWriter) changes() []table.RowTransaction {
	n := w.node
	var changes []table.RowTransaction
	set := func(id table.RowID, value []byte) {
		changes = append(changes, table.RowTransaction{Writes: []table.RowWrite{{RowID: id, Value: value}}})
	}
	for i := range w.batch.Progress {
		p := &w.batch.Progress[i]
		changes = append(changes, w.rows[p.Job].changes(p, n.config.valueBytes())...)
	}
	for _, record := range w.batch.Workers {
		set(n.workerRow(record.Incarnation), encodeWorker(record))
	}
	for _, job := range w.batch.Expired {
		changes = append(changes, w.rows[job].removal(n.jobRow(job), n.cancelRow(job))...)
	}
	if len(w.batch.Interference) > 0 {
		fitted, leftOut := wire.FitInterference(w.batch.Interference, n.config.valueBytes())
		n.metrics.LearnedLeftOut.Inc(int64(leftOut))
		set(n.learnedRow(), mustEncode(wire.FromInterference(fitted)))
	}
	for _, record := range w.batch.Ended {
		changes = append(changes, w.replaceWorker(table.RowWrite{RowID: n.workerRow(record.Incarnation), Value: encodeWorker(record)}))
	}
	for _, incarnation := range w.batch.Forgotten {
		changes = append(changes, w.replaceWorker(table.RowWrite{RowID: n.workerRow(incarnation), Delete: true}))
	}
	return changes
}

// replaceWorker returns the change that ends or removes the known version of a worker's record.
// The worker may be recorded anew before the change is carried out.
func (w *batchWriter) replaceWorker(write table.RowWrite) table.RowTransaction {
	return table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: write.RowID, Version: w.workers[write.Key]}},
		Writes:     []table.RowWrite{write},
	}
}

// packTransactions joins changes, in their order, into as few transactions as the table
// service accepts. Each has the given condition.
func packTransactions(changes []table.RowTransaction, holds table.RowCondition) []table.RowTransaction {
	var packed []table.RowTransaction
	for _, change := range changes {
		if len(packed) == 0 || !hasRoom(&packed[len(packed)-1], change) {
			packed = append(packed, table.RowTransaction{Conditions: []table.RowCondition{holds}})
		}
		last := &packed[len(packed)-1]
		for _, condition := range change.Conditions {
			if !slices.Contains(last.Conditions, condition) {
				last.Conditions = append(last.Conditions, condition)
			}
		}
		last.Writes = append(last.Writes, change.Writes...)
	}
	return packed
}

// hasRoom reports whether a change fits in a transaction.
func hasRoom(txn *table.RowTransaction, change table.RowTransaction) bool {
	entries := len(txn.Conditions) + len(txn.Writes) + len(change.Conditions) + len(change.Writes)
	bytes := 0
	for _, write := range slices.Concat(txn.Writes, change.Writes) {
		bytes += len(write.Value)
	}
	return entries <= maxEntries && bytes <= batchBytes
}
