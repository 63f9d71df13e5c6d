package table

// Change is a set of writes that depends on conditions. A transaction may
// carry several changes, and each is applied or refused independently.
type Change struct {
	Conditions []Condition
	Writes     []Write
}

// BatchLimits holds the maximum size of one transaction.
type BatchLimits struct {
	Changes int
	Rows    int
	Bytes   int
}

// Batch is a set of changes that may share a transaction: no change writes a
// row that another has a condition on or writes.
type Batch struct {
	limits      BatchLimits
	changes     []Change
	written     map[string]bool
	conditioned map[string]Version
	rows, bytes int
}

// NewBatch returns an empty batch.
func NewBatch(limits BatchLimits) *Batch {
	return &Batch{
		limits:      limits,
		written:     make(map[string]bool),
		conditioned: make(map[string]Version),
	}
}

// Len returns the number of changes.
func (b *Batch) Len() int { return len(b.changes) }

// Add appends the change, or returns false if it has to wait for another
// transaction. An empty batch accepts every change.
func (b *Batch) Add(c Change) bool {
	rows, bytes := c.size()
	if len(b.changes) > 0 && (b.exceeds(rows, bytes) || b.overlaps(c)) {
		return false
	}
	b.changes = append(b.changes, c)
	b.rows += rows
	b.bytes += bytes
	for _, w := range c.Writes {
		b.written[w.Key] = true
	}
	for _, condition := range c.Conditions {
		b.conditioned[condition.Key] = condition.Version
	}
	return true
}

func (b *Batch) exceeds(rows, bytes int) bool {
	return len(b.changes)+1 > b.limits.Changes || b.rows+rows > b.limits.Rows || b.bytes+bytes > b.limits.Bytes
}

// overlaps reports whether c and the batch depend on each other. Conditions on
// the same version of a row may be shared; of conditions on two versions of a
// row at least one fails.
func (b *Batch) overlaps(c Change) bool {
	for _, w := range c.Writes {
		if _, read := b.conditioned[w.Key]; read || b.written[w.Key] {
			return true
		}
	}
	for _, condition := range c.Conditions {
		version, read := b.conditioned[condition.Key]
		if b.written[condition.Key] || (read && version != condition.Version) {
			return true
		}
	}
	return false
}

// Transaction returns the transaction that carries the batch.
func (b *Batch) Transaction(id TransactionID) Transaction {
	txn := Transaction{ID: id}
	seen := make(map[Condition]bool, b.rows)
	for _, c := range b.changes {
		for _, condition := range c.Conditions {
			if !seen[condition] {
				seen[condition] = true
				txn.Conditions = append(txn.Conditions, condition)
			}
		}
		txn.Writes = append(txn.Writes, c.Writes...)
	}
	return txn
}

// ChangeResult is the result of a refused transaction for one change.
type ChangeResult struct {
	// Conflicts holds the rows whose conditions failed. A change without
	// any was refused only because of other changes and must be sent again.
	Conflicts []Row
}

// ChangeResults returns the result of a refused transaction for each change, in the
// order in which the changes were added.
func (b *Batch) ChangeResults(outcome Outcome) []ChangeResult {
	failed := make(map[string]Row, len(outcome.Conflicts))
	for _, row := range outcome.Conflicts {
		failed[row.Key] = row
	}
	results := make([]ChangeResult, len(b.changes))
	for i, c := range b.changes {
		for _, condition := range c.Conditions {
			if row, ok := failed[condition.Key]; ok && row.Version != condition.Version {
				results[i].Conflicts = append(results[i].Conflicts, row)
			}
		}
	}
	return results
}

// size returns the number of rows that the change touches and their bytes.
func (c Change) size() (rows, bytes int) {
	for _, condition := range c.Conditions {
		bytes += len(condition.Key)
	}
	for _, w := range c.Writes {
		bytes += len(w.Key) + len(w.Value)
	}
	return len(c.Conditions) + len(c.Writes), bytes
}
