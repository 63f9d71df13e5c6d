package client

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

const (
	// maxUnsettled is how many unsettled transactions a process remembers. At
	// that number it refuses further transactions, since it could not settle
	// a repeat of them truly.
	maxUnsettled = 16_384
)

// ledger remembers the state of the transactions that callers were told are
// unsettled, until they are repeated. It takes a lock: it is beside a call to
// the service, not on the path of a request.
type ledger struct {
	mu      sync.Mutex
	entries map[table.TransactionID]ledgerEntry
	// running counts the transactions that may yet need an entry.
	running int
}

type ledgerEntry struct {
	state table.Settlement
	// since is when the first call for the transaction began.
	since time.Time
}

func newLedger() *ledger {
	return &ledger{entries: make(map[table.TransactionID]ledgerEntry)}
}

// begin returns what is known of the transaction, or a fresh entry.
func (l *ledger) begin(id table.TransactionID, now time.Time) (ledgerEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.entries[id]
	if known && elapsed(entry.since, now) > table.FenceTrust {
		return ledgerEntry{}, errors.Wrap(table.ErrUnsettled, "too late to settle")
	}
	if !known && l.isFull() {
		l.expire(now)
	}
	if !known && l.isFull() {
		return ledgerEntry{}, errors.Wrap(table.ErrUnavailable, "too many unsettled transactions")
	}
	if !known {
		entry.since = now
	}
	l.running++
	return entry, nil
}

func (l *ledger) isFull() bool { return len(l.entries)+l.running >= maxUnsettled }

// end notes how the settlement ended.
func (l *ledger) end(id table.TransactionID, entry ledgerEntry, unsettled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if unsettled {
		l.entries[id] = entry
		return
	}
	delete(l.entries, id)
}

// expire forgets what is too late to settle.
func (l *ledger) expire(now time.Time) {
	for id, entry := range l.entries {
		if elapsed(entry.since, now) > table.FenceTrust {
			delete(l.entries, id)
		}
	}
}
