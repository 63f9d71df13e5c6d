package judge

import (
	"slices"
	"time"
)

// span is a part of a play, both ends included.
type span struct{ from, to time.Duration }

func (s span) overlaps(o span) bool { return s.from <= o.to && o.from <= s.to }

// disruptedSpan is a disruption and how long it lasted.
type disruptedSpan struct {
	Disruption
	span
}

// contact knows when which part of the system was undisturbed.
type contact struct {
	// lead is how long before a moment nothing may have happened.
	lead        time.Duration
	disruptions []disruptedSpan
}

func newContact(play Play, lead time.Duration) contact {
	c := contact{lead: lead}
	index := make(map[int]int)
	for _, event := range play.Events {
		switch seen := event.Observation.(type) {
		case Disruption:
			index[seen.ID] = len(c.disruptions)
			c.disruptions = append(c.disruptions, disruptedSpan{seen, span{event.At, play.End}})
		case DisruptionEnded:
			if i, known := index[seen.ID]; known {
				c.disruptions[i].to = event.At
			}
		}
	}
	return c
}

// inTouch reports whether the process and the store were undisturbed until at, for as long
// as a process must be to be in touch.
func (c contact) inTouch(process string, at time.Duration) bool {
	return !c.any(c.until(at), func(d Disruption) bool {
		return d.Store || slices.Contains(d.Processes, process)
	})
}

// reachable reports whether the worker and its sidecar were undisturbed until at.
func (c contact) reachable(w WorkerStarted, at time.Duration) bool {
	return !c.any(c.until(at), func(d Disruption) bool {
		return slices.Contains(d.Workers, w.Worker.ID) || slices.Contains(d.Processes, w.Sidecar)
	})
}

// calm reports whether there was no disruption in the span and shortly before it.
func (c contact) calm(s span) bool {
	return !c.any(span{s.from - c.lead, s.to}, func(Disruption) bool { return true })
}

// calmStretch returns the end of the first calm span of the length that begins at from or
// later and ends by last.
func (c contact) calmStretch(from, length, last time.Duration) (time.Duration, bool) {
	for from+length <= last {
		next := from
		for _, d := range c.disruptions {
			if d.overlaps(span{from - c.lead, from + length}) {
				next = max(next, d.to+c.lead+1)
			}
		}
		if next == from {
			return from + length, true
		}
		from = next
	}
	return 0, false
}

func (c contact) until(at time.Duration) span { return span{at - c.lead, at} }

func (c contact) any(s span, concerned func(Disruption) bool) bool {
	for _, d := range c.disruptions {
		if d.overlaps(s) && concerned(d.Disruption) {
			return true
		}
	}
	return false
}
