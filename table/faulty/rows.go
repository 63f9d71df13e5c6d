package faulty

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
)

// Rows wraps a table.Rows and injects faults that a test requests. All methods
// are safe for use by several goroutines.
type Rows struct {
	rows table.Rows
	mu   sync.Mutex
	down bool
	// loseAnswers is the number of the next transactions that are applied
	// without an answer, delay the number that are held back without an answer.
	loseAnswers, delay int
	late               []table.RowTransaction
	// scanDelays holds the time that each page of a table takes.
	scanDelays map[string]time.Duration
}

// NewRows returns a service without faults.
func NewRows(rows table.Rows) *Rows { return &Rows{rows: rows} }

// SetDown makes every call fail while down is true.
func (r *Rows) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// DelayScans makes each scan of the table take at least d.
func (r *Rows) DelayScans(tableName string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scanDelays = map[string]time.Duration{tableName: d}
}

// DropAnswers lets the next n transactions take effect without an answer.
func (r *Rows) DropAnswers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loseAnswers = n
}

// HoldNext holds the next n transactions back, without an answer, until
// ReleaseHeld.
func (r *Rows) HoldNext(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = n
}

// ReleaseHeld applies the transactions held back whose conditions still hold,
// and returns the number that took effect.
func (r *Rows) ReleaseHeld(ctx context.Context) (int, error) {
	r.mu.Lock()
	late := r.late
	r.late = nil
	r.mu.Unlock()
	applied := 0
	for _, txn := range late {
		outcome, err := r.rows.Transact(ctx, txn)
		if err != nil {
			return applied, err
		}
		if outcome.Applied {
			applied++
		}
	}
	return applied, nil
}

func (r *Rows) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *Rows) scanDelay(tableName string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scanDelays[tableName]
}

// nextFault reports whether a transaction is applied and whether it is answered.
func (r *Rows) nextFault(txn table.RowTransaction) (apply, answer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.loseAnswers > 0:
		r.loseAnswers--
		return true, false
	case r.delay > 0:
		r.delay--
		r.late = append(r.late, txn)
		return false, false
	}
	return true, true
}

// Transact implements table.Rows.
func (r *Rows) Transact(ctx context.Context, txn table.RowTransaction) (table.RowOutcome, error) {
	if r.isDown() {
		return table.RowOutcome{}, table.ErrUnavailable
	}
	apply, answer := r.nextFault(txn)
	var outcome table.RowOutcome
	var err error
	if apply {
		outcome, err = r.rows.Transact(ctx, txn)
	}
	if !answer {
		return table.RowOutcome{}, errors.Wrap(table.ErrUnsettled, "the answer is lost")
	}
	return outcome, err
}

// Get implements table.Rows.
func (r *Rows) Get(ctx context.Context, id table.RowID) (table.VersionedRow, bool, error) {
	if r.isDown() {
		return table.VersionedRow{}, false, table.ErrUnavailable
	}
	return r.rows.Get(ctx, id)
}

// Scan implements table.Rows.
func (r *Rows) Scan(ctx context.Context, tableName, part, from string) (table.RowScan, error) {
	if r.isDown() {
		return table.RowScan{}, table.ErrUnavailable
	}
	if err := clock.Sleep(ctx, r.scanDelay(tableName)); err != nil {
		return table.RowScan{}, errors.Wrap(table.ErrUnavailable, err.Error())
	}
	return r.rows.Scan(ctx, tableName, part, from)
}

// Follow implements table.Rows.
func (r *Rows) Follow(ctx context.Context, tableName string, after table.Version, wait time.Duration) (table.RowChanges, error) {
	if r.isDown() {
		return table.RowChanges{}, table.ErrUnavailable
	}
	changes, err := r.rows.Follow(ctx, tableName, after, wait)
	if r.isDown() {
		return table.RowChanges{}, table.ErrUnavailable
	}
	return changes, err
}
