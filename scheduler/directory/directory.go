// Package directory is the list of the running entries in the table service, by
// which processes find them.
package directory

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

// tableName is the table of entries, with an empty part.
const tableName = "entries"

// retryPause is the time between two tries to write the own row.
const retryPause = 200 * time.Millisecond

// Register writes the row of an entry, however often it takes.
func Register(ctx context.Context, rows table.Rows, host string, incarnation carobkeel.Incarnation, address string, logger *log.Logger) {
	row := wire.EntryRow{Host: host, Incarnation: uint64(incarnation), Address: address}
	value, err := row.MarshalMsg(nil)
	if err != nil {
		logger.Error().Err(err).Msg("row of this entry not encoded")
		return
	}
	txn := table.RowTransaction{Writes: []table.RowWrite{{RowID: rowOf(host), Value: value}}}
	for ctx.Err() == nil {
		if _, err = rows.Transact(ctx, txn); err == nil {
			return
		}
		logger.Warn().Err(err).Msg("this entry is not listed yet")
		if clock.Sleep(ctx, retryPause) != nil {
			return
		}
	}
}

func rowOf(host string) table.RowID { return table.RowID{Table: tableName, Key: host} }

// Addresses returns the addresses of the links of the entries that are listed.
func Addresses(ctx context.Context, rows table.Rows, logger *log.Logger) ([]string, error) {
	found, _, err := table.ScanAll(ctx, rows, tableName, "")
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, row := range found {
		var entry wire.EntryRow
		if _, err := entry.UnmarshalMsg(row.Value); err != nil {
			// Another version of the program may have written it; the others hold.
			logger.Warn().Err(err).Str("host", row.Key).Msg("row of an entry is not readable")
			continue
		}
		addresses = append(addresses, entry.Address)
	}
	return addresses, nil
}
