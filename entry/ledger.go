package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// Ledger holds the records of a sidecar's requests. Its methods are safe for use
// by several goroutines and take no lock that all requests share.
//
// A record that is forgotten leaves a trace: for each start of an entry the
// ledger keeps the highest sequence number that it forgot. A request above that
// number of which there is no record has never been here; one at or below it
// may have been. So a promise that a request never started does not depend on
// how long ago it was sent.
type Ledger struct {
	records   sync.Map // of carobkeel.RequestID to *Record
	forgotten sync.Map // of carobkeel.Incarnation to *watermark
	count     atomic.Int64
	kept      atomic.Int64
	limits    LedgerLimits
}

// LedgerLimits bounds what a ledger keeps.
type LedgerLimits struct {
	// Retention is how long the outcome of a request is kept.
	Retention time.Duration
	// KeyedRetention is how long that of a request with a key is kept.
	KeyedRetention time.Duration
	// KeptBytes is how many bytes of answers are kept in all.
	KeptBytes int64
}

// watermark is the highest sequence number that was forgotten of one entry.
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

// NewLedger returns an empty ledger.
func NewLedger(limits LedgerLimits) *Ledger { return &Ledger{limits: limits} }

// Begin enters a request that arrived. The second result is true where this call
// entered it, and only then may the caller start it. The record is nil where the
// request is so old that an earlier arrival of it may be forgotten; it must not
// be started then either.
func (l *Ledger) Begin(id carobkeel.RequestID, keyed bool) (*Record, bool) {
	if held, ok := l.records.Load(id); ok {
		return held.(*Record), false
	}
	return l.enter(id, keyed)
}

// enter adds a record where the request can't have been forgotten.
func (l *Ledger) enter(id carobkeel.RequestID, keyed bool) (*Record, bool) {
	held, known := l.records.LoadOrStore(id, newRecord(id, keyed))
	record := held.(*Record)
	if known {
		return record, false
	}
	// The watermark is read after the record is in place: Sweep raises it
	// before it deletes, so an earlier record that is gone shows here.
	if l.mayHaveForgotten(id) {
		l.records.Delete(id)
		return nil, false
	}
	l.count.Add(1)
	return record, true
}

func (l *Ledger) mayHaveForgotten(id carobkeel.RequestID) bool {
	held, ok := l.forgotten.Load(id.Entry)
	return ok && id.Sequence <= held.(*watermark).sequence.Load()
}

// Query returns the record of a request. Where it never arrived, Query enters a
// record that is refused, so that the answer "never" stays true. The record is
// nil where the request may have been here and is forgotten.
func (l *Ledger) Query(id carobkeel.RequestID, now time.Time) *Record {
	record, fresh := l.Begin(id, false)
	if fresh {
		refusal := carobkeel.NewError(carobkeel.CodeLinkLost, "the request never arrived").WithRan(carobkeel.RanNo)
		record.Refuse(refusal, now)
	}
	return record
}

// Keep reports whether an answer with a body of so many bytes may be kept, and
// counts it where it may.
func (l *Ledger) Keep(bytes int) bool {
	if l.kept.Add(int64(bytes)) > l.limits.KeptBytes {
		l.kept.Add(int64(-bytes))
		return false
	}
	return true
}

// Sweep forgets the requests whose time of retention is over at now.
func (l *Ledger) Sweep(now time.Time) {
	l.records.Range(func(key, value any) bool {
		record := value.(*Record)
		if record.expired(now, l.limits) {
			l.forget(key.(carobkeel.RequestID), record)
		}
		return true
	})
}

func (l *Ledger) forget(id carobkeel.RequestID, record *Record) {
	held, _ := l.forgotten.LoadOrStore(id.Entry, &watermark{})
	held.(*watermark).raise(id.Sequence)
	l.records.Delete(id)
	l.count.Add(-1)
	if outcome := record.Outcome(); outcome != nil {
		l.kept.Add(int64(-len(outcome.Body)))
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return int(l.count.Load()) }
