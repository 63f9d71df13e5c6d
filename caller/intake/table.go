package intake

import (
	"sync/atomic"
	"time"
)

// mostDelivering is how many idle connections are passed over for one new connection, as their last
// answers have not been delivered.
const mostDelivering = 4

// Verdict is the decision on a new connection.
type Verdict int

const (
	// Admitted means that the connection has a place in the table.
	Admitted Verdict = iota
	// Full means that all places are taken.
	Full
	// AddressFull means that the remote address has as many connections as it may have.
	AddressFull
)

// Table holds the connections of a listener. All methods are safe for use by several goroutines;
// none of them waits.
type Table struct {
	places     []atomic.Pointer[Sender]
	perAddress int
	open       atomic.Int64
	// next is where the search for a free place begins.
	next atomic.Uint64
}

// NewTable returns a table with a number of places. One remote address may have at most perAddress of
// them; zero sets no such bound.
func NewTable(places, perAddress int) *Table {
	return &Table{places: make([]atomic.Pointer[Sender], places), perAddress: perAddress}
}

// Open returns the number of connections in the table.
func (t *Table) Open() int { return int(t.open.Load()) }

// Add gives a new connection a place.
func (t *Table) Add(s *Sender) Verdict {
	if t.perAddress > 0 && t.countAddress(s.Address) >= t.perAddress {
		return AddressFull
	}
	if t.open.Add(1) > int64(len(t.places)) {
		t.open.Add(-1)
		return Full
	}
	// There is a free place: open is raised before a place is taken, and lowered after it is free.
	for i := t.next.Add(1); ; i++ {
		s.place = i % uint64(len(t.places))
		place := &t.places[s.place]
		if place.Load() == nil && place.CompareAndSwap(nil, s) {
			return Admitted
		}
	}
}

func (t *Table) countAddress(address string) int {
	count := 0
	for i := range t.places {
		if s := t.places[i].Load(); s != nil && s.Address == address {
			count++
		}
	}
	return count
}

// Remove frees the place of a connection that was admitted, if it still has one.
func (t *Table) Remove(s *Sender) {
	if t.places[s.place].CompareAndSwap(s, nil) {
		t.open.Add(-1)
	}
}

// Slowest returns the connection that has to give way to a new one, and its phase. It returns nil
// if all connections are served or make progress. An idle one that has not got all of its last answer
// gives way after others, of which a bounded number is looked at.
func (t *Table) Slowest(now time.Duration) (*Sender, Phase) {
	anyOf := func(*Sender) bool { return true }
	first, firstPhase := t.choose(now, anyOf)
	chosen, phase := first, firstPhase
	for range mostDelivering {
		if chosen == nil || phase != PhaseIdle || chosen.Undelivered == nil || !chosen.Undelivered() {
			break
		}
		chosen.Progress(now)
		chosen, phase = t.choose(now, anyOf)
	}
	if chosen == nil {
		return first, firstPhase
	}
	return chosen, phase
}

// SlowestHolder returns the connection that has to give its bytes of the budget back, other than
// the one that needs them.
func (t *Table) SlowestHolder(now time.Duration, needs *Sender) (*Sender, Phase) {
	return t.choose(now, func(s *Sender) bool { return s != needs && s.Held() > 0 })
}

func (t *Table) choose(now time.Duration, eligible func(*Sender) bool) (*Sender, Phase) {
	var chosen *Sender
	chosenPhase, chosenRank, chosenMark := PhaseServing, rankStays, int64(0)
	for i := range t.places {
		s := t.places[i].Load()
		if s == nil || !eligible(s) {
			continue
		}
		phase, mark := s.Phase(), s.mark.Load()
		r := rankOf(phase, now-time.Duration(mark))
		if r < chosenRank || r == chosenRank && r != rankStays && mark < chosenMark {
			chosen, chosenPhase, chosenRank, chosenMark = s, phase, r, mark
		}
	}
	return chosen, chosenPhase
}
