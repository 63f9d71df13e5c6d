// Package memory is a table service in memory, for tests and for a process that
// runs everything by itself. It keeps nothing.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/carobkeel/carobkeel/table"
)

// Table is a table service in memory. The zero value is not usable; use New.
type Table struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	done    map[table.TransactionID]table.Outcome
	version table.Version
}

// New returns an empty table.
func New() *Table {
	return &Table{
		rows: make(map[string]table.Row),
		done: make(map[table.TransactionID]table.Outcome),
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
	if outcome, ok := t.done[txn.ID]; ok {
		return outcome, nil
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
	outcome := table.Outcome{Applied: true, Version: t.version}
	t.done[txn.ID] = outcome
	return outcome, nil
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
