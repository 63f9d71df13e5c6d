package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel/operator"
)

// StopRetention is how long a stop that is done or cancelled is kept, so that a
// delayed update with an earlier state does not restore it.
const StopRetention = time.Hour

// StopSet holds the planned stops that an entry received from the table service
// and from other entries. Of two states of one stop the later one wins, whatever
// order they arrive in. A StopSet is not safe for concurrent use.
type StopSet struct {
	stops map[operator.StopID]operator.Stop
}

// NewStopSet returns an empty StopSet.
func NewStopSet() *StopSet {
	return &StopSet{stops: make(map[operator.StopID]operator.Stop)}
}

// Merge adds the stops and reports whether any of them changed the known state.
func (b *StopSet) Merge(stops []operator.Stop, now time.Time) bool {
	changed := false
	for _, stop := range stops {
		if isExpired(stop, now) {
			continue
		}
		known, ok := b.stops[stop.ID]
		if ok && rankOf(stop.State) <= rankOf(known.State) {
			continue
		}
		b.stops[stop.ID] = stop
		changed = true
	}
	return changed
}

// rankOf returns the position of a state in the order in which a stop passes
// through them. A stop only moves to a higher rank; done and cancelled share the
// last one, as a stop ends in one of them only.
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

func isExpired(stop operator.Stop, now time.Time) bool {
	return stop.State.IsFinal() && now.Sub(stop.ChangedAt) >= StopRetention
}

// Expire removes the stops that ended at least StopRetention ago.
func (b *StopSet) Expire(now time.Time) {
	for id, stop := range b.stops {
		if isExpired(stop, now) {
			delete(b.stops, id)
		}
	}
}

// Stops returns all stops ordered by id.
func (b *StopSet) Stops() []operator.Stop {
	list := make([]operator.Stop, 0, len(b.stops))
	for _, stop := range b.stops {
		list = append(list, stop)
	}
	slices.SortFunc(list, func(a, b operator.Stop) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Draining returns the targets of the stops that are draining, ordered by the
// stops' ids.
func (b *StopSet) Draining() []operator.StopTarget {
	var targets []operator.StopTarget
	for _, stop := range b.Stops() {
		if stop.State.IsDraining() {
			targets = append(targets, stop.Target)
		}
	}
	return targets
}
