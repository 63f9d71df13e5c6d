package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// RequestLedger holds the records of a sidecar's requests for deduplication. Its
// methods are safe for concurrent use and take no lock that all requests share.
//
// For each incarnation of an entry the ledger keeps the highest sequence number
// whose record it evicted. A request above that number without a record has
// never arrived; one at or below it may have arrived before. So the ledger's
// answer that a request never started holds however long ago it was sent.
type RequestLedger struct {
	records   sync.Map // carobkeel.RequestID to *Record
	evicted   sync.Map // carobkeel.Incarnation to *watermark
	count     atomic.Int64
	keptBytes atomic.Int64
	limits    RequestLedgerLimits
}

// RequestLedgerLimits bounds what a ledger keeps.
type RequestLedgerLimits struct {
	// Retention is how long the outcome of a request is kept.
	Retention time.Duration
	// KeyedRetention is how long the outcome of a request with an idempotency
	// key is kept.
	KeyedRetention time.Duration
	// KeptBytes is the total size of the answers that are kept, in bytes.
	KeptBytes int64
}

// watermark is the highest evicted sequence number of one entry incarnation.
type watermark struct {
	sequence atomic.Uint64
}

func (w *watermark) raise(sequence uint64) {
	for {
		old := w.sequence.Load()
		if old >= sequence || w.sequence.CompareAndSwap(old, sequence) {
			return
		}
	}
}

// NewRequestLedger returns an empty ledger.
func NewRequestLedger(limits RequestLedgerLimits) *RequestLedger {
	return &RequestLedger{limits: limits}
}

// Begin returns the record of a request that arrived. The second result is true
// if this call created the record; only then may the caller start the request.
// The record is nil if a record of an earlier arrival may have been evicted; the
// request must not be started then either.
func (l *RequestLedger) Begin(id carobkeel.RequestID, keyed bool) (*Record, bool) {
	if value, ok := l.records.Load(id); ok {
		return value.(*Record), false
	}
	return l.add(id, keyed)
}

// add adds a record unless an earlier one may have been evicted.
func (l *RequestLedger) add(id carobkeel.RequestID, keyed bool) (*Record, bool) {
	value, exists := l.records.LoadOrStore(id, newRecord(id, keyed))
	record := value.(*Record)
	if exists {
		return record, false
	}
	// The watermark is read after the record is stored: Sweep raises it before
	// it deletes a record, so the eviction of an earlier record is seen here.
	if l.mayHaveEvicted(id) {
		l.records.Delete(id)
		return nil, false
	}
	l.count.Add(1)
	return record, true
}

func (l *RequestLedger) mayHaveEvicted(id carobkeel.RequestID) bool {
	value, ok := l.evicted.Load(id.Entry)
	return ok && id.Sequence <= value.(*watermark).sequence.Load()
}

// Query returns the record of a request. If the request never arrived, Query
// adds a refused record, so that a late arrival is not started after the query
// was answered. The record is nil if it may have been evicted.
func (l *RequestLedger) Query(id carobkeel.RequestID, now time.Time) *Record {
	record, isNew := l.Begin(id, false)
	if isNew {
		refusal := carobkeel.NewError(carobkeel.CodeLinkLost, "the request never arrived").WithRan(carobkeel.RanNo)
		record.Refuse(refusal, now)
	}
	return record
}

// ReserveBytes reserves the given number of bytes for an answer's body. It returns
// false if KeptBytes would be exceeded; the answer must not be kept then.
func (l *RequestLedger) ReserveBytes(bytes int) bool {
	if l.keptBytes.Add(int64(bytes)) > l.limits.KeptBytes {
		l.keptBytes.Add(int64(-bytes))
		return false
	}
	return true
}

// Sweep evicts the records whose retention period has ended at now.
func (l *RequestLedger) Sweep(now time.Time) {
	l.records.Range(func(key, value any) bool {
		record := value.(*Record)
		if record.expired(now, l.limits) {
			l.evict(key.(carobkeel.RequestID), record)
		}
		return true
	})
}

func (l *RequestLedger) evict(id carobkeel.RequestID, record *Record) {
	value, _ := l.evicted.LoadOrStore(id.Entry, &watermark{})
	value.(*watermark).raise(id.Sequence)
	l.records.Delete(id)
	l.count.Add(-1)
	if outcome := record.Outcome(); outcome != nil {
		l.keptBytes.Add(int64(-len(outcome.Body)))
	}
}

// Len returns the number of records.
func (l *RequestLedger) Len() int { return int(l.count.Load()) }
