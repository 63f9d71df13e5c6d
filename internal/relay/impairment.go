package relay

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// Loss is the direction in which nothing arrives.
type Loss uint8

// Losses. New connections need both directions, so they aren't answered during either.
const (
	LoseNothing Loss = iota
	// LoseToServer means that the server hears nothing.
	LoseToServer
	// LoseToClient means that the client hears nothing.
	LoseToClient
)

// Cut says whether the link is cut, and what becomes of new connections meanwhile.
type Cut uint8

// Cuts. Open connections carry nothing during either.
const (
	CutNothing Cut = iota
	// CutRefusing resets new connections.
	CutRefusing
	// CutUnanswered leaves new connections waiting until the cut is over.
	CutUnanswered
)

// Impairment is what a link does to the connections on it. The zero value is a sound link.
type Impairment struct {
	// Delay is the one-way delay, and Jitter the longest random time beside it. The order
	// of bytes is kept.
	Delay, Jitter time.Duration
	// Lose holds back one direction. As with lost packets that are sent again, the bytes
	// arrive when the loss is over.
	Lose Loss
	// BytesPerSecond bounds what all connections together carry in each direction, zero
	// for no bound.
	BytesPerSecond int
	// Cut holds back both directions.
	Cut Cut
}

// pieceSize is how many bytes a squeezed link carries at a time.
const pieceSize = 1 << 10

// direction is the way of bytes through a link.
type direction uint8

const (
	toServer direction = iota
	toClient
	directions
)

// state is an impairment in force. It is immutable.
type state struct {
	Impairment
	// limiters are nil for a link that isn't squeezed.
	limiters [directions]*rate.Limiter
	// changed is closed when another state is in force.
	changed chan struct{}
}

func newState(i Impairment) *state {
	s := &state{Impairment: i, changed: make(chan struct{})}
	if i.BytesPerSecond > 0 {
		for d := range s.limiters {
			s.limiters[d] = rate.NewLimiter(rate.Limit(i.BytesPerSecond), pieceSize)
		}
	}
	return s
}

// holds reports whether nothing arrives in the direction.
func (s *state) holds(d direction) bool {
	switch {
	case s.Cut != CutNothing:
		return true
	case s.Lose == LoseToServer:
		return d == toServer
	case s.Lose == LoseToClient:
		return d == toClient
	}
	return false
}

// holdsNew reports whether new connections have to wait.
func (s *state) holdsNew() bool { return s.Cut == CutUnanswered || s.Lose != LoseNothing }

// delay draws the delay of a chunk.
func (s *state) delay() time.Duration {
	if s.Jitter <= 0 {
		return s.Delay
	}
	return s.Delay + rand.N(s.Jitter)
}
