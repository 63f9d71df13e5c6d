package judge

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/mailbox"
)

// Record is a log of observations, which several goroutines may add to. Adding takes no
// lock.
type Record struct {
	clock clock.Clock
	began time.Time
	added *mailbox.Mailbox[Event]

	// reading orders the readers.
	reading sync.Mutex
	events  []Event
}

// Play is what a record holds at one time.
type Play struct {
	// Began is the time of day at which the record began.
	Began time.Time
	// End is how long the record has lasted.
	End time.Duration
	// Events are in order of time.
	Events []Event
}

// NewRecord returns an empty record that begins now.
func NewRecord(c clock.Clock) *Record {
	return &Record{clock: c, began: c.Now(), added: mailbox.New[Event]()}
}

// Add adds what was seen just now. What an observer causes must not happen before it has
// added the observation.
func (r *Record) Add(seen Observation) {
	r.added.Push(Event{At: r.Elapsed(), Observation: seen})
}

// Elapsed returns the time since the record began.
func (r *Record) Elapsed() time.Duration { return r.clock.Now().Sub(r.began) }

// Play returns what was recorded until now.
func (r *Record) Play() Play {
	r.reading.Lock()
	defer r.reading.Unlock()
	r.events = r.added.TryTake(r.events)
	return NewPlay(r.began, r.Elapsed(), slices.Clone(r.events))
}

// NewPlay returns a play of events, which it puts in order and numbers.
func NewPlay(began time.Time, end time.Duration, events []Event) Play {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	for i := range events {
		events[i].Number = i + 1
	}
	return Play{Began: began, End: end, Events: events}
}
