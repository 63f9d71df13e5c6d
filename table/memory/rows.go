package memory

import (
	"context"
	"encoding/base64"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

// pageRows is the maximum number of rows in a page of a scan.
const pageRows = 500

// Rows is an in-memory service with tables, parts and a change feed. It
// implements table.Rows. Use NewRows.
type Rows struct {
	mu      sync.Mutex
	rows    map[table.RowID]table.VersionedRow
	history []table.VersionedRow
	// historyStart is the version up to which the history has been dropped.
	historyStart table.Version
	version      table.Version
	// changed is closed and replaced by each transaction.
	changed chan struct{}
}

// NewRows returns a service without rows.
func NewRows() *Rows {
	return &Rows{rows: make(map[table.RowID]table.VersionedRow), version: 1, changed: make(chan struct{})}
}

// Get implements table.Rows.
func (r *Rows) Get(_ context.Context, id table.RowID) (table.VersionedRow, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, found := r.rows[id]
	return row, found, nil
}

// Scan implements table.Rows.
func (r *Rows) Scan(_ context.Context, tableName, part, from string) (table.RowScan, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	scan := table.RowScan{Version: r.version}
	for id, row := range r.rows {
		if id.Table == tableName && id.Part == part && strings.Compare(id.Key, from) >= 0 {
			scan.Rows = append(scan.Rows, row)
		}
	}
	sort.Slice(scan.Rows, func(i, j int) bool { return scan.Rows[i].Key < scan.Rows[j].Key })
	if len(scan.Rows) > pageRows {
		scan.Rows, scan.More = scan.Rows[:pageRows], true
	}
	return scan, nil
}

// Size limits of a transaction, equal to those of the platform's store.
const (
	maxEntries  = 100
	maxTxnBytes = 1 << 20
	maxRowBytes = 64 << 10
)

// checkSize rejects transactions that exceed the limits of the platform's store.
func checkSize(txn table.RowTransaction) error {
	entries, bytes := len(txn.Conditions)+len(txn.Writes), 0
	for _, w := range txn.Writes {
		if len(w.Value) > maxRowBytes {
			return errors.Wrapf(table.ErrInvalid, "row %s has %d bytes", w.Key, len(w.Value))
		}
		bytes += base64.StdEncoding.EncodedLen(len(w.Value))
	}
	if entries > maxEntries || bytes > maxTxnBytes {
		return errors.Wrapf(table.ErrInvalid, "%d entries of %d bytes", entries, bytes)
	}
	return nil
}

// Transact implements table.Rows.
func (r *Rows) Transact(_ context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	if err := checkSize(txn); err != nil {
		return table.RowOutcome{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome := r.check(txn); !outcome.Applied {
		return outcome, nil
	}
	r.version++
	for _, w := range txn.Writes {
		row := table.VersionedRow{RowID: w.RowID, Value: w.Value, Version: r.version, Deleted: w.Delete}
		if w.Delete {
			delete(r.rows, w.RowID)
		} else {
			r.rows[w.RowID] = row
		}
		r.history = append(r.history, row)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return table.RowOutcome{Applied: true, Version: r.version}, nil
}

func (r *Rows) check(txn table.RowTransaction) table.RowOutcome {
	outcome := table.RowOutcome{Applied: true, Version: r.version}
	for _, c := range txn.Conditions {
		row, found := r.rows[c.RowID]
		if found {
			outcome.Current = append(outcome.Current, row)
		}
		if row.Version != c.Version {
			outcome.Applied = false
		}
	}
	return outcome
}

// Follow implements table.Rows.
func (r *Rows) Follow(ctx context.Context, tableName string, after table.Version, wait time.Duration) (table.RowChanges, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := r.changesAfter(tableName, after)
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return changes, table.ErrUnavailable
		}
	}
}

func (r *Rows) changesAfter(tableName string, after table.Version) (table.RowChanges, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := table.RowChanges{Next: r.version}
	if after < r.historyStart {
		return changes, r.changed, table.ErrHistoryLost
	}
	for _, row := range r.history {
		if row.Version > after && row.Table == tableName {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, r.changed, nil
}

// DropHistory drops the history, as the platform's store may at any time.
func (r *Rows) DropHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = nil
	r.historyStart = r.version
	close(r.changed)
	r.changed = make(chan struct{})
}
