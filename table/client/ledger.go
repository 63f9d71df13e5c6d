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
	// unsettledRetention is how long a caller has to repeat an unsettled
	// transaction.
	unsettledRetention = 10 * time.Minute
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
	since time.Time
}

func newLedger() *ledger {
	return &ledger{entries: make(map[table.TransactionID]ledgerEntry)}
}

// begin returns the state that the settlement of the transaction begins with.
func (l *ledger) begin(id table.TransactionID) (table.Settlement, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.entries[id]
	if !known && len(l.entries)+l.running >= maxUnsettled {
		l.expire(time.Now())
	}
	if !known && len(l.entries)+l.running >= maxUnsettled {
		return table.Settlement{}, errors.Wrap(table.ErrUnavailable, "too many unsettled transactions")
	}
	l.running++
	return entry.state, nil
}

// end notes how the settlement ended.
func (l *ledger) end(id table.TransactionID, state table.Settlement, unsettled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if unsettled {
		l.entries[id] = ledgerEntry{state: state, since: time.Now()}
		return
	}
	delete(l.entries, id)
}

func (l *ledger) expire(now time.Time) {
	for id, entry := range l.entries {
		if now.Sub(entry.since) > unsettledRetention {
			delete(l.entries, id)
		}
	}
}
