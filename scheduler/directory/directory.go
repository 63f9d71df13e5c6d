// Package directory maintains the list of running entry processes in the table
// service. Other processes use it to find their addresses.
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

// tableName is the table of entries. Its rows have an empty part in their RowID.
const tableName = "entries"

// retryInterval is the time between attempts to write this entry's row.
const retryInterval = 200 * time.Millisecond

// Register writes the row of an entry. It retries until it succeeds or the context
// ends.
func Register(ctx context.Context, rows table.Rows, host string, incarnation carobkeel.Incarnation, address string, logger *log.Logger) {
	row := wire.EntryRow{Host: host, Incarnation: uint64(incarnation), Address: address}
	value, err := row.MarshalMsg(nil)
	if err != nil {
		logger.Error().Err(err).Msg("directory row of this entry could not be encoded")
		return
	}
	txn := table.RowTransaction{Writes: []table.RowWrite{{RowID: rowID(host), Value: value}}}
	for ctx.Err() == nil {
		if _, err = rows.Transact(ctx, txn); err == nil {
			return
		}
		logger.Warn().Err(err).Msg("directory row of this entry not written yet, retrying")
		if clock.Sleep(ctx, retryInterval) != nil {
			return
		}
	}
}

func rowID(host string) table.RowID { return table.RowID{Table: tableName, Key: host} }

// Addresses returns the addresses on which the listed entries accept links. It
// skips rows that it can't decode.
func Addresses(ctx context.Context, rows table.Rows, logger *log.Logger) ([]string, error) {
	found, _, err := table.ScanAll(ctx, rows, tableName, "")
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, row := range found {
		var entry wire.EntryRow
		if _, err := entry.UnmarshalMsg(row.Value); err != nil {
			// A release with another row format may have written the row. The other
			// rows are still usable.
			logger.Warn().Err(err).Str("host", row.Key).Msg("directory row of an entry could not be decoded")
			continue
		}
		addresses = append(addresses, entry.Address)
	}
	return addresses, nil
}
