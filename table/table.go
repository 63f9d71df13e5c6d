// Package table is about the platform's transactional table service: its
// interface and the decisions a process takes about it. Rows have versions, a
// transaction is a set of conditions on versions and a set of writes, and it
// takes effect wholly or not at all.
//
// The package is pure. The sub-packages hold the client and the stand-ins.
package table

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ErrUnavailable says that the service was not reached, or that the process's
// own budget or circuit breaker kept the call from being sent. Nothing was
// written.
var ErrUnavailable = errors.New("table service unavailable")

// ErrUnsettled says that a transaction was sent and its answer was lost, so
// that it may have taken effect or may still do so.
var ErrUnsettled = errors.New("table transaction unsettled")

// ErrInvalid says that the service refused the request as malformed. Nothing
// was written, and a repeat is refused as well.
var ErrInvalid = errors.New("invalid request to the table service")

// Version numbers the writes of one row. Zero stands for an absent row.
type Version uint64

// Row is one row as read.
type Row struct {
	Key     string
	Value   []byte
	Version Version
}

// Condition holds when the row's version is the given one. Version zero holds
// when the row is absent.
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

// TransactionID identifies a transaction across repeats. The service keeps the
// ids of transactions that took effect, so a repeat has no second effect and
// gets the first one's answer.
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
	// Applied says whether the writes took effect.
	Applied bool
	// Conflicts holds the rows whose conditions failed, as they are now. A row
	// that is absent has version zero.
	Conflicts []Row
	// Version is the version that the written rows got.
	Version Version
}

// Table is the transactional table service. All methods are safe for use by
// several goroutines.
type Table interface {
	// Get reads one row. The second result is false where it is absent.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Range reads at most limit rows whose keys begin with prefix and are
	// greater than after, in the order of their keys.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out a transaction. On ErrUnsettled the caller repeats it
	// with the same id, or reads back.
	Commit(ctx context.Context, txn Transaction) (Outcome, error)
}
