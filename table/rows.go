package table

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistoryLost reports that changes after the requested version are no longer
// kept, so that the full table has to be read again.
var ErrHistoryLost = errors.New("change history of the table lost")

// RowID identifies a row of a service that has several tables, each divided into
// parts. A transaction must not span several parts.
type RowID struct {
	Table, Part, Key string
}

// VersionedRow is a row of a service with one version counter for all rows.
type VersionedRow struct {
	RowID
	Value   []byte
	Version Version
	// Deleted is set on a change that removed the row.
	Deleted bool
}

// RowCondition holds if the row has the given version. Version zero means that
// the row must be absent.
type RowCondition struct {
	RowID
	Version Version
}

// RowWrite sets or deletes a row.
type RowWrite struct {
	RowID
	Value  []byte
	Delete bool
}

// RowTransaction is a set of writes that take effect together where every
// condition holds. The service keeps no ids of transactions: one whose answer
// was lost is sent again with the same conditions, which can hold only once.
type RowTransaction struct {
	Conditions []RowCondition
	Writes     []RowWrite
}

// RowOutcome is the answer to a RowTransaction.
type RowOutcome struct {
	Applied bool
	// Version is the version of the written rows.
	Version Version
	// Current holds the rows named by the conditions, if these did not hold.
	// Absent rows are omitted.
	Current []VersionedRow
}

// CurrentVersion returns the version of a row in the answer, or zero if the row
// is absent.
func (o *RowOutcome) CurrentVersion(id RowID) Version {
	for i := range o.Current {
		if o.Current[i].RowID == id {
			return o.Current[i].Version
		}
	}
	return 0
}

// RowScan is one page of a part of a table, read at one point in time.
type RowScan struct {
	Rows []VersionedRow
	// Version is the newest version in the service at that time.
	Version Version
	// More reports that the part has rows after the last one of this page.
	More     bool
	Transfer Transfer
}

// Transfer says how a response of the service was received. It is zero for services in this
// process.
type Transfer struct {
	// FirstByte is the time from the request to the first byte of the response, and
	// Receiving that from there to its last byte.
	FirstByte, Receiving time.Duration
	// Bytes is the size of the response's body.
	Bytes int
	// ServiceTime is the service's steady clock when it sent the response.
	ServiceTime time.Duration
}

// RowChanges are changes of a table in the order of their versions.
type RowChanges struct {
	Rows []VersionedRow
	// Next is the version to follow from in the next call.
	Next     Version
	Transfer Transfer
}

// Rows is a transactional service with several tables, parts and a feed of
// changes. All methods are safe for use by several goroutines. Errors are
// ErrUnavailable if nothing was done, ErrUnsettled if a transaction may have
// taken effect or may still do so, ErrInvalid, and ErrHistoryLost.
type Rows interface {
	// Get reads one row. The second result is false if it is absent.
	Get(ctx context.Context, id RowID) (VersionedRow, bool, error)
	// Scan reads the rows of a part whose keys are equal to from or greater.
	Scan(ctx context.Context, table, part, from string) (RowScan, error)
	// Transact executes a transaction.
	Transact(ctx context.Context, txn RowTransaction) (RowOutcome, error)
	// Follow returns the changes of a table after a version. If there
	// are none, it waits for one for at most the given time.
	Follow(ctx context.Context, table string, after Version, wait time.Duration) (RowChanges, error)
}

// ScanAll reads all rows of a part. The version is that of the first page, so that following
// from it misses no change. The transfer is that of the last page.
func ScanAll(ctx context.Context, rows Rows, tableName, part string) (RowScan, error) {
	var all RowScan
	from := ""
	for {
		page, err := rows.Scan(ctx, tableName, part, from)
		if err != nil {
			return RowScan{}, err
		}
		if from == "" {
			all.Version = page.Version
		}
		all.Rows, all.Transfer = append(all.Rows, page.Rows...), page.Transfer
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
