package intake

import (
	"sync/atomic"
	"time"
)

// Phase is what a connection is doing.
type Phase int32

const (
	// PhaseHead is that of a connection that has not sent a complete head of a request yet.
	PhaseHead Phase = iota
	// PhaseIdle is that of a connection between two requests.
	PhaseIdle
	// PhaseBody is that of a connection whose request's body has not come completely.
	PhaseBody
	// PhaseServing is that of a connection whose request has come completely.
	PhaseServing
	// PhaseEvicted is that of a connection that has to end.
	PhaseEvicted
)

// Sender is the state of one connection. All methods are safe for use by several goroutines.
type Sender struct {
	// Address is the remote address without its port.
	Address string
	// Undelivered reports whether a part of what was sent to the client has not reached it, nil if
	// that isn't known. It is set before the sender is added to a table.
	Undelivered func() bool
	// interrupt ends the connection once it is evicted, after an answer to its request or at once.
	interrupt func(answer bool)
	phase     atomic.Int32
	// mark is the time of the last progress, in nanoseconds.
	mark atomic.Int64
	// held is the number of bytes that the connection holds of the budget.
	held atomic.Int64
	// place is the connection's place in its table, which sets it.
	place uint64
}

// NewSender returns the state of a connection that was accepted now. Interrupt is called when the
// connection is evicted, and ends it: with an answer to its request, or at once.
func NewSender(address string, now time.Duration, interrupt func(answer bool)) *Sender {
	s := &Sender{Address: address, interrupt: interrupt}
	s.Progress(now)
	return s
}

// Phase returns the phase.
func (s *Sender) Phase() Phase { return Phase(s.phase.Load()) }

// Progress sets the time of the last progress.
func (s *Sender) Progress(now time.Duration) { s.mark.Store(int64(now)) }

// Begin enters a phase, and reports whether it could: an evicted connection stays evicted.
func (s *Sender) Begin(phase Phase, now time.Duration) bool {
	for {
		current := s.phase.Load()
		if Phase(current) == PhaseEvicted {
			return false
		}
		s.Progress(now)
		if s.phase.CompareAndSwap(current, int32(phase)) {
			return true
		}
	}
}

// Evict ends a connection if it is still in the phase in which it was chosen, and gives back what it
// holds of the budget. If answer is set and a body was coming, the request is answered first. Evict
// reports whether the connection was still in that phase.
func (s *Sender) Evict(phase Phase, b *Budget, answer bool) bool {
	if !s.phase.CompareAndSwap(int32(phase), int32(PhaseEvicted)) {
		return false
	}
	s.ReturnAll(b)
	s.interrupt(answer && phase == PhaseBody)
	return true
}

// Held returns the number of bytes that the connection holds of the budget.
func (s *Sender) Held() int64 { return s.held.Load() }

// Take takes bytes of the budget for the connection, and reports whether the budget had them.
func (s *Sender) Take(b *Budget, n int64) bool {
	if !b.Take(n, s.held.Load()) {
		return false
	}
	s.held.Add(n)
	return true
}

// ReturnAll gives all held bytes back.
func (s *Sender) ReturnAll(b *Budget) { b.Return(s.held.Swap(0)) }

const (
	// stallTime is how long a request that has not come completely may make no progress
	// before it has to give way even to new connections.
	stallTime = time.Second
	// youngTime is how long a connection is left alone after its last progress.
	youngTime = 250 * time.Millisecond
	// headTime is how long a connection in PhaseHead is left alone. It is short, as a caller that
	// connects sends its request at once.
	headTime = 20 * time.Millisecond
)

// rank says when a connection has to give way: those of the lowest rank go first.
type rank int

const (
	rankStalled rank = iota
	rankIdle
	rankSlow
	// rankStays is that of a connection that never has to give way.
	rankStays
)

// rankOf returns the rank of a connection by its phase and the time since its last progress.
func rankOf(phase Phase, age time.Duration) rank {
	incomplete := phase == PhaseHead || phase == PhaseBody
	switch {
	case incomplete && age >= stallTime:
		return rankStalled
	case phase == PhaseIdle && age >= youngTime:
		return rankIdle
	case incomplete && age >= youngTime, phase == PhaseHead && age >= headTime:
		return rankSlow
	}
	return rankStays
}
