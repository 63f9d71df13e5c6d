// Package directory maintains the list of running entry processes in the table
// service. Other processes use it to find their addresses.
package directory

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

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
// ends. The write is conditional on the row that it replaces, so that one of an earlier
// process that is carried out late does not replace it in turn.
func Register(ctx context.Context, rows table.Rows, host string, incarnation carobkeel.Incarnation, address string, logger *log.Logger) {
	row := wire.EntryRow{Host: host, Incarnation: uint64(incarnation), Address: address}
	value, err := row.MarshalMsg(nil)
	if err != nil {
		logger.Error().Err(err).Msg("directory row of this entry could not be encoded")
		return
	}
	for ctx.Err() == nil {
		if err = replaceRow(ctx, rows, rowID(host), value); err == nil {
			return
		}
		logger.Warn().Err(err).Msg("directory row of this entry not written yet, retrying")
		if clock.Sleep(ctx, retryInterval) != nil {
			return
		}
	}
}

// errReplaced reports that another process has written the row since it was read.
var errReplaced = errors.New("row replaced meanwhile")

// replaceRow writes a row unless it has the value already.
func replaceRow(ctx context.Context, rows table.Rows, id table.RowID, value []byte) error {
	row, found, err := rows.Get(ctx, id)
	if err != nil {
		return err
	}
	if found && bytes.Equal(row.Value, value) {
		return nil
	}
	outcome, err := rows.Transact(ctx, table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: id, Version: row.Version}},
		Writes:     []table.RowWrite{{RowID: id, Value: value}},
	})
	if err == nil && !outcome.Applied {
		err = errReplaced
	}
	return err
}

func rowID(host string) table.RowID { return table.RowID{Table: tableName, Key: host} }

// Reader reads the list of entries. It is used by one goroutine at a time.
type Reader struct {
	rows table.Rows
	log  *log.Logger
	// leftOut has the versions of the rows that were left out at the last read.
	leftOut map[string]table.Version
	// known has the last usable address of each row that there was at the last read.
	known map[string]string
}

// NewReader returns a reader of the list of entries.
func NewReader(rows table.Rows, logger *log.Logger) *Reader {
	return &Reader{rows: rows, log: logger}
}

// Addresses returns the addresses on which the listed entries accept links. A row
// without a usable address is left out, and logged when it changes. If it had one before,
// that one is returned: another writer's row doesn't show that the entry has ended.
func (r *Reader) Addresses(ctx context.Context) ([]string, error) {
	scan, err := table.ScanAll(ctx, r.rows, tableName, "")
	if err != nil {
		return nil, err
	}
	var addresses []string
	leftOut, known := make(map[string]table.Version), make(map[string]string)
	for _, row := range scan.Rows {
		address, err := decodeAddress(row.Value)
		if err != nil {
			address = r.known[row.Key]
		}
		if address != "" {
			addresses = append(addresses, address)
			known[row.Key] = address
		}
		if err == nil {
			continue
		}
		leftOut[row.Key] = row.Version
		if r.leftOut[row.Key] != row.Version {
			r.log.Warn().Err(err).Str("host", row.Key).Msg("directory row of an entry left out")
		}
	}
	r.leftOut, r.known = leftOut, known
	return addresses, nil
}

// decodeAddress returns the address in the row of an entry.
func decodeAddress(value []byte) (string, error) {
	var entry wire.EntryRow
	if _, err := entry.UnmarshalMsg(value); err != nil {
		return "", errors.Wrap(err, "decode")
	}
	address, err := netip.ParseAddrPort(entry.Address)
	if err != nil {
		return "", err
	}
	if address.Port() == 0 {
		return "", errors.Errorf("address %q has no port", entry.Address)
	}
	return entry.Address, nil
}
