// Package memory is an in-memory table service, for tests and for a process that
// runs all components itself. Nothing is persisted.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/carobkeel/carobkeel/table"
)

// maxRememberedIDs is the number of ids of applied transactions that are kept.
// At 300 transactions a second an id is kept for 14 minutes.
const maxRememberedIDs = 1 << 18

// Table is an in-memory table service. The zero value is not usable; use New.
type Table struct {
	mu   sync.Mutex
	rows map[string]table.Row
	// appliedVersions holds the versions that transactions wrote, and order
	// their ids as a ring buffer with the oldest at next.
	appliedVersions map[table.TransactionID]table.Version
	order           []table.TransactionID
	next            int
	version         table.Version
}

// New returns an empty table.
func New() *Table {
	return &Table{
		rows:            make(map[string]table.Row),
		appliedVersions: make(map[table.TransactionID]table.Version),
	}
}

// Get implements table.Table.
func (t *Table) Get(_ context.Context, key string) (table.Row, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok, nil
}

// Range implements table.Table.
func (t *Table) Range(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]table.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.rows[key])
	}
	return rows, nil
}

// Commit implements table.Table.
func (t *Table) Commit(_ context.Context, txn table.Transaction) (table.Outcome, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version, ok := t.appliedVersions[txn.ID]; ok {
		return table.Outcome{Applied: true, Version: version}, nil
	}
	if conflicts := t.conflicts(txn.Conditions); len(conflicts) > 0 {
		return table.Outcome{Conflicts: conflicts}, nil
	}
	t.version++
	for _, write := range txn.Writes {
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		value := append([]byte(nil), write.Value...)
		t.rows[write.Key] = table.Row{Key: write.Key, Value: value, Version: t.version}
	}
	t.rememberID(txn.ID)
	return table.Outcome{Applied: true, Version: t.version}, nil
}

// rememberID records the id of an applied transaction and replaces the oldest
// one when the limit is reached.
func (t *Table) rememberID(id table.TransactionID) {
	t.appliedVersions[id] = t.version
	if len(t.order) < maxRememberedIDs {
		t.order = append(t.order, id)
		return
	}
	delete(t.appliedVersions, t.order[t.next])
	t.order[t.next] = id
	t.next = (t.next + 1) % maxRememberedIDs
}

func (t *Table) conflicts(conditions []table.Condition) []table.Row {
	var conflicts []table.Row
	for _, condition := range conditions {
		row, ok := t.rows[condition.Key]
		if !ok {
			row = table.Row{Key: condition.Key}
		}
		if row.Version != condition.Version {
			conflicts = append(conflicts, row)
		}
	}
	return conflicts
}
