package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel/operator"
)

// StopRetention is how long a stop that is done or cancelled is kept, so that a
// late word of an earlier state does not bring it back.
const StopRetention = time.Hour

// StopBoard holds the planned stops that an entry knows of, from the table
// service and from other entries. Of two states of one stop the later counts,
// whatever order they come in. A StopBoard belongs to one goroutine.
type StopBoard struct {
	stops map[operator.StopID]operator.Stop
}

// NewStopBoard returns an empty board.
func NewStopBoard() *StopBoard {
	return &StopBoard{stops: make(map[operator.StopID]operator.Stop)}
}

// Merge takes stops in and reports whether any of them was news.
func (b *StopBoard) Merge(stops []operator.Stop, now time.Time) bool {
	news := false
	for _, stop := range stops {
		if isForgotten(stop, now) {
			continue
		}
		known, ok := b.stops[stop.ID]
		if ok && rankOf(stop.State) <= rankOf(known.State) {
			continue
		}
		b.stops[stop.ID] = stop
		news = true
	}
	return news
}

// rankOf orders the states of a stop. A stop only moves to a higher rank, and of
// the two last ones it takes only one.
func rankOf(state operator.StopState) int {
	switch state {
	case operator.StopPlanned:
		return 1
	case operator.StopDraining:
		return 2
	case operator.StopDrained:
		return 3
	case operator.StopDone, operator.StopCancelled:
		return 4
	}
	return 0
}

func isForgotten(stop operator.Stop, now time.Time) bool {
	return stop.State.IsFinal() && now.Sub(stop.ChangedAt) >= StopRetention
}

// Expire forgets the stops that ended long ago.
func (b *StopBoard) Expire(now time.Time) {
	for id, stop := range b.stops {
		if isForgotten(stop, now) {
			delete(b.stops, id)
		}
	}
}

// Stops returns all stops in the order of their ids.
func (b *StopBoard) Stops() []operator.Stop {
	list := make([]operator.Stop, 0, len(b.stops))
	for _, stop := range b.stops {
		list = append(list, stop)
	}
	slices.SortFunc(list, func(a, b operator.Stop) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Draining returns the targets of the stops that drain, in the order of ids.
func (b *StopBoard) Draining() []operator.StopTarget {
	var targets []operator.StopTarget
	for _, stop := range b.Stops() {
		if stop.State.IsDraining() {
			targets = append(targets, stop.Target)
		}
	}
	return targets
}
