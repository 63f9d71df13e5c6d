package client

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

const (
	// maxUnsettled is the number of unsettled transactions that a process
	// records. At that number it refuses further transactions, since it could
	// not settle a repeat of them correctly.
	maxUnsettled = 16_384
)

// unsettledTransactions records the state of the transactions that were reported
// to callers as unsettled, until they are repeated. A lock is sufficient: it is
// taken only together with a call to the service, not on the path of a request.
type unsettledTransactions struct {
	mu      sync.Mutex
	entries map[table.TransactionID]unsettledEntry
	// running is the number of transactions that may still need an entry.
	running int
}

type unsettledEntry struct {
	state table.Settlement
	// since is the start of the first call for the transaction.
	since time.Time
}

func newUnsettledTransactions() *unsettledTransactions {
	return &unsettledTransactions{entries: make(map[table.TransactionID]unsettledEntry)}
}

// begin returns the recorded state of the transaction, or a new entry.
func (u *unsettledTransactions) begin(id table.TransactionID, now time.Time) (unsettledEntry, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	entry, known := u.entries[id]
	if known && elapsed(entry.since, now) > table.FenceRowValidity {
		return unsettledEntry{}, errors.Wrap(table.ErrUnsettled, "too much time has passed to settle the transaction")
	}
	if !known && u.isFull() {
		u.expire(now)
	}
	if !known && u.isFull() {
		return unsettledEntry{}, errors.Wrap(table.ErrUnavailable, "too many unsettled transactions")
	}
	if !known {
		entry.since = now
	}
	u.running++
	return entry, nil
}

func (u *unsettledTransactions) isFull() bool { return len(u.entries)+u.running >= maxUnsettled }

// end records the final state of a settlement if it is unsettled.
func (u *unsettledTransactions) end(id table.TransactionID, entry unsettledEntry, unsettled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	if unsettled {
		u.entries[id] = entry
		return
	}
	delete(u.entries, id)
}

// expire removes the transactions that can no longer be settled.
func (u *unsettledTransactions) expire(now time.Time) {
	for id, entry := range u.entries {
		if elapsed(entry.since, now) > table.FenceRowValidity {
			delete(u.entries, id)
		}
	}
}
