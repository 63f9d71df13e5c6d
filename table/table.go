// Package table defines the interface of the platform's transactional table
// service and the client's decisions: budgets, batching and the outcome of
// transactions. Rows have versions. A transaction is a set of conditions on
// versions and a set of writes, and it is atomic.
//
// The package does no I/O. The sub-packages contain the client and the stand-ins.
package table

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ErrUnavailable reports that the service was not reached, or that the budget or
// the circuit breaker of this process prevented the call. Nothing was written.
var ErrUnavailable = errors.New("table service unavailable")

// ErrUnsettled reports that a transaction was sent and its answer was lost, so
// that it may have taken effect or may still do so.
var ErrUnsettled = errors.New("table transaction unsettled")

// ErrInvalid reports that the service refused the request as malformed. Nothing
// was written, and a retry is refused as well.
var ErrInvalid = errors.New("invalid request to the table service")

// Version is the version of a row, which changes with each write. Zero means an
// absent row.
type Version uint64

// Row is one row as read.
type Row struct {
	Key     string
	Value   []byte
	Version Version
}

// Condition holds if the row has the given version. Version zero means that the
// row must be absent.
type Condition struct {
	Key     string
	Version Version
}

// Write sets or deletes one row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// TransactionID identifies a transaction across retries. The service keeps the
// ids of transactions that took effect, so a retry has no second effect and
// returns the outcome of the first.
type TransactionID uuid.UUID

// NewTransactionID returns a fresh random id.
func NewTransactionID() TransactionID { return TransactionID(uuid.New()) }

// String returns the id in its usual text form.
func (id TransactionID) String() string { return uuid.UUID(id).String() }

// Transaction is a set of writes that take effect together if every condition
// holds.
type Transaction struct {
	ID         TransactionID
	Conditions []Condition
	Writes     []Write
}

// Outcome is the service's answer to a transaction.
type Outcome struct {
	// Applied reports whether the writes took effect.
	Applied bool
	// Conflicts holds the current state of the rows whose conditions failed.
	// An absent row has version zero.
	Conflicts []Row
	// Version is the new version of the written rows.
	Version Version
}

// Table is the transactional table service. All methods are safe for use by
// several goroutines.
type Table interface {
	// Get reads one row. The second result is false if it is absent.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Range reads at most limit rows whose keys begin with prefix and are
	// greater than after, in the order of their keys.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit executes a transaction. On ErrUnsettled the caller retries with
	// the same id, or reads the rows to determine the effect.
	Commit(ctx context.Context, txn Transaction) (Outcome, error)
}
