// Package entry holds a sidecar's decisions about the requests of entries: which
// ones it accepts, the order in which they start, and the outcomes it keeps. It
// also decides how the catalogue and the planned stops are propagated between
// processes.
//
// The package does no I/O and reads no clock. Its sub-packages hold the sidecar's
// server and the links that carry events.
package entry

import (
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// RecordState is the state of a request at this sidecar.
type RecordState uint32

// States of a request. It moves from accepted to started to finished, or from
// accepted to refused. Finished and refused are final.
const (
	// StateAccepted is the state of a request that waits for a slot.
	StateAccepted RecordState = iota
	// StateStarted is the state of a request that is sent to the upstream.
	StateStarted
	// StateFinished is the state of a started request whose outcome is known.
	StateFinished
	// StateRefused is the state of a request that will never start.
	StateRefused
)

// Record is a sidecar's record of one request.
type Record struct {
	ID carobkeel.RequestID
	// keyed reports that the request has an idempotency key.
	keyed   bool
	state   atomic.Uint32
	outcome atomic.Pointer[Outcome]
	// endedNanos is when the request ended, in nanoseconds of Unix time, 0
	// before.
	endedNanos atomic.Int64
	done       chan struct{}
}

// Outcome is how a request ended.
type Outcome struct {
	// Refusal is the error that the request ended with, nil if the upstream's
	// answer is complete.
	Refusal *carobkeel.Error
	// Status, Header and Body are the upstream's answer if Refusal is nil.
	Status int
	Header []carobkeel.HeaderField
	Body   []byte
}

func newRecord(id carobkeel.RequestID, keyed bool) *Record {
	return &Record{ID: id, keyed: keyed, done: make(chan struct{})}
}

// State returns the state of the request.
func (r *Record) State() RecordState { return RecordState(r.state.Load()) }

// Done is closed once the request is finished or refused.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns how the request ended, nil if it has not.
func (r *Record) Outcome() *Outcome { return r.outcome.Load() }

// Start moves the request to StateStarted. It returns false if the request was
// refused in the meantime; it must not be sent to the upstream then.
func (r *Record) Start() bool {
	return r.state.CompareAndSwap(uint32(StateAccepted), uint32(StateStarted))
}

// Refuse ends a request that has not started. It returns false if the request
// has started or ended.
func (r *Record) Refuse(refusal *carobkeel.Error, now time.Time) bool {
	if !r.state.CompareAndSwap(uint32(StateAccepted), uint32(StateRefused)) {
		return false
	}
	r.end(&Outcome{Refusal: refusal}, now)
	return true
}

// Finish ends a started request with its outcome. It returns false if the
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
	r.endedNanos.Store(now.UnixNano())
	close(r.done)
}

func (r *Record) expired(now time.Time, limits RequestLedgerLimits) bool {
	ended := r.endedNanos.Load()
	if ended == 0 {
		return false
	}
	retention := limits.Retention
	if r.keyed && r.State() == StateFinished {
		retention = limits.KeyedRetention
	}
	return now.Sub(time.Unix(0, ended)) >= retention
}
