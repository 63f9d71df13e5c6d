// Package entry is about the entries as a sidecar sees them: which of their
// requests it has taken, in which order they start, and what it says of them
// afterwards.
//
// The package is pure. The sub-packages hold the sidecar's server and the links
// that carry events.
package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// RecordState is how far a request has come at this sidecar.
type RecordState uint32

// States of a request. It moves from accepted to started to finished, or from
// accepted to refused. Finished and refused are final.
const (
	// StateAccepted waits for a slot.
	StateAccepted RecordState = iota
	// StateStarted was sent to the upstream.
	StateStarted
	// StateFinished has its outcome.
	StateFinished
	// StateRefused will never start.
	StateRefused
)

// Record is what a sidecar knows of one request.
type Record struct {
	ID      carobkeel.RequestID
	state   atomic.Uint32
	outcome atomic.Pointer[Outcome]
	ended   atomic.Int64
	done    chan struct{}
}

// Outcome is how a request ended.
type Outcome struct {
	// Refusal is the result where there is no whole answer.
	Refusal *carobkeel.Error
	// Status, Header and Body are the upstream's answer where Refusal is nil.
	Status int
	Header []carobkeel.Field
	Body   []byte
}

// State returns how far the request has come.
func (r *Record) State() RecordState { return RecordState(r.state.Load()) }

// Done is closed once the request is finished or refused.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns how the request ended, nil while it has not.
func (r *Record) Outcome() *Outcome { return r.outcome.Load() }

// Start moves the request to started. It returns false where the request was
// refused in the meantime, and then it must not be sent to the upstream.
func (r *Record) Start() bool {
	return r.state.CompareAndSwap(uint32(StateAccepted), uint32(StateStarted))
}

// Refuse ends a request that has not started. It returns false where the
// request has started or ended.
func (r *Record) Refuse(refusal *carobkeel.Error, now time.Time) bool {
	if !r.state.CompareAndSwap(uint32(StateAccepted), uint32(StateRefused)) {
		return false
	}
	r.close(&Outcome{Refusal: refusal}, now)
	return true
}

// Finish ends a started request with its outcome.
func (r *Record) Finish(outcome *Outcome, now time.Time) bool {
	if !r.state.CompareAndSwap(uint32(StateStarted), uint32(StateFinished)) {
		return false
	}
	r.close(outcome, now)
	return true
}

func (r *Record) close(outcome *Outcome, now time.Time) {
	r.outcome.Store(outcome)
	r.ended.Store(now.UnixNano())
	close(r.done)
}

// Ledger holds the records of a sidecar's requests. Its methods are safe for use
// by several goroutines and take no lock that all requests share.
type Ledger struct {
	records sync.Map // of carobkeel.RequestID to *Record
	count   atomic.Int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{} }

// Begin enters a request. The second result is false where the request is known
// already, be it only from a query: it must then not be started by this call.
func (l *Ledger) Begin(id carobkeel.RequestID) (*Record, bool) {
	fresh := &Record{ID: id, done: make(chan struct{})}
	held, known := l.records.LoadOrStore(id, fresh)
	if !known {
		l.count.Add(1)
	}
	return held.(*Record), !known
}

// Query returns the record of a request. Where there is none it enters one that
// is refused, so that the answer "never" stays true.
func (l *Ledger) Query(id carobkeel.RequestID, now time.Time) *Record {
	record, fresh := l.Begin(id)
	if fresh {
		refusal := carobkeel.NewError(carobkeel.CodeLinkLost, "the request never arrived").WithRan(carobkeel.RanNo)
		record.Refuse(refusal, now)
	}
	return record
}

// Sweep forgets the requests that ended before the time.
func (l *Ledger) Sweep(before time.Time) {
	l.records.Range(func(key, value any) bool {
		ended := value.(*Record).ended.Load()
		if ended != 0 && ended < before.UnixNano() {
			l.records.Delete(key)
			l.count.Add(-1)
		}
		return true
	})
}

// Len returns the number of records.
func (l *Ledger) Len() int { return int(l.count.Load()) }
