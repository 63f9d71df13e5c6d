package configuration

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

// errNoRow means that the row has changed and that the answer does not hold it.
var errNoRow = errors.New("changed row is not in the answer")

// readKind is a way to read the configuration.
type readKind uint8

const (
	// readRow reads the row.
	readRow readKind = iota
	// readIfChanged reads the row if it has another version than the reader has.
	readIfChanged
	// pollFeed waits for a change.
	pollFeed
)

var readNames = [...]string{readRow: "row", readIfChanged: "if changed", pollFeed: "feed"}

// String returns the name of the kind in logs.
func (k readKind) String() string { return readNames[k] }

// answer is the result of one call.
type answer struct {
	// rows are the versions of the row in the answer, the newest last.
	rows []table.VersionedRow
	// feedVersion is the version from which the feed is polled next.
	feedVersion table.Version
	transfer    table.Transfer
}

// call makes the call that was chosen.
func (r *Reader) call(ctx context.Context) (answer, error) {
	switch r.read {
	case pollFeed:
		return r.poll(ctx)
	case readIfChanged:
		return r.getIfChanged(ctx)
	}
	return r.getRow(ctx)
}

func (r *Reader) getRow(ctx context.Context) (answer, error) {
	scan, err := r.config.Rows.Scan(ctx, r.config.Row.Table, r.config.Row.Part, r.config.Row.Key)
	if err != nil {
		return answer{}, err
	}
	return answer{rows: r.versionsOf(scan.Rows), feedVersion: scan.Version, transfer: scan.Transfer}, nil
}

// getIfChanged reads the row by a transaction that writes nothing and fails if the row has
// another version than the reader has. The answer holds the newest version alone.
func (r *Reader) getIfChanged(ctx context.Context) (answer, error) {
	begunAt := time.Now()
	outcome, err := r.config.Rows.Transact(ctx, table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: r.config.Row, Version: r.rowVersion}},
	})
	if err != nil {
		return answer{}, err
	}
	if outcome.Applied {
		return answer{}, nil
	}
	rows := r.versionsOf(outcome.Current)
	if len(rows) == 0 {
		return answer{}, errNoRow
	}
	return answer{
		rows: rows, feedVersion: rows[0].Version,
		transfer: table.Transfer{Receiving: time.Since(begunAt), Bytes: len(rows[0].Value)},
	}, nil
}

func (r *Reader) poll(ctx context.Context) (answer, error) {
	changes, err := r.config.Rows.Follow(ctx, r.config.Row.Table, r.feedVersion, pollTimeout)
	if err != nil {
		return answer{}, err
	}
	return answer{rows: r.versionsOf(changes.Rows), feedVersion: changes.Next, transfer: changes.Transfer}, nil
}

// versionsOf returns the versions of the row among rows.
func (r *Reader) versionsOf(rows []table.VersionedRow) []table.VersionedRow {
	var versions []table.VersionedRow
	for _, row := range rows {
		if row.RowID == r.config.Row && !row.Deleted {
			versions = append(versions, row)
		}
	}
	return versions
}
