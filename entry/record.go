// Package entry is about the entries as a sidecar sees them: which of their
// requests it has taken, in which order they start, and what it says of them
// afterwards.
//
// The package is pure. The sub-packages hold the sidecar's server and the links
// that carry events.
package entry

import (
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
	keyed   bool
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

func newRecord(id carobkeel.RequestID, keyed bool) *Record {
	return &Record{ID: id, keyed: keyed, done: make(chan struct{})}
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
	r.end(&Outcome{Refusal: refusal}, now)
	return true
}

// Finish ends a started request with its outcome. It returns false where the
// request has not started or has ended.
func (r *Record) Finish(outcome *Outcome, now time.Time) bool {
	if !r.state.CompareAndSwap(uint32(StateStarted), uint32(StateFinished)) {
		return false
	}
	r.end(outcome, now)
	return true
}

func (r *Record) end(outcome *Outcome, now time.Time) {
	r.outcome.Store(outcome)
	r.ended.Store(now.UnixNano())
	close(r.done)
}

func (r *Record) expired(now time.Time, limits LedgerLimits) bool {
	ended := r.ended.Load()
	if ended == 0 {
		return false
	}
	retention := limits.Retention
	if r.keyed && r.State() == StateFinished {
		retention = limits.KeyedRetention
	}
	return now.Sub(time.Unix(0, ended)) >= retention
}
