package table

import (
	"encoding/binary"
	"time"
)

// FencePrefix begins the keys of the rows that fences write.
const FencePrefix = "fence/"

const (
	// FenceRowValidity is the time after the start of a settlement within which its
	// client may conclude from an absent fence row that it was never written.
	FenceRowValidity = 10 * time.Minute
	// FenceRetention is the minimum age at which a fence row is deleted by a
	// sweep. It exceeds FenceRowValidity by more than the clocks of two hosts differ.
	FenceRetention = time.Hour
)

// FenceKey returns the key of the row that the fence of a transaction writes.
func FenceKey(id TransactionID) string { return FencePrefix + id.String() }

// Fence returns the fence of a transaction. Its row holds the Unix
// time in seconds.
func Fence(id TransactionID, now time.Time) Transaction {
	value := binary.BigEndian.AppendUint64(nil, uint64(now.Unix()))
	return Transaction{ID: id, Writes: []Write{{Key: FenceKey(id), Value: value}}}
}

// SweepFences returns a transaction that deletes the fence rows older than
// FenceRetention; clients that crashed leave such rows behind. The second result
// is false if there are none.
func SweepFences(id TransactionID, rows []Row, now time.Time) (Transaction, bool) {
	txn := Transaction{ID: id}
	for _, row := range rows {
		if len(row.Value) != 8 {
			continue
		}
		written := time.Unix(int64(binary.BigEndian.Uint64(row.Value)), 0)
		if now.Sub(written) > FenceRetention {
			txn.Writes = append(txn.Writes, Write{Key: row.Key, Delete: true})
		}
	}
	return txn, len(txn.Writes) > 0
}
