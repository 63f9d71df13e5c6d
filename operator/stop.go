package operator

import (
	"regexp"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel"
)

// StopID identifies a planned stop.
type StopID string

// StopState says how far a planned stop is.
type StopState string

// States of a planned stop. It goes from planned to draining, drained and done,
// and from each but done to cancelled.
const (
	// StopPlanned waits for its start, or is held until it can start.
	StopPlanned StopState = "planned"
	// StopDraining lets requests in flight end and moves tasks away.
	StopDraining StopState = "draining"
	// StopDrained has no work left on its hosts, which may be switched off.
	StopDrained StopState = "drained"
	// StopDone has seen its hosts go.
	StopDone StopState = "done"
	// StopCancelled was called off.
	StopCancelled StopState = "cancelled"
)

// IsFinal reports whether a stop in this state changes no more.
func (s StopState) IsFinal() bool { return s == StopDone || s == StopCancelled }

// IsDraining reports whether the stop's hosts take no new work in this state.
func (s StopState) IsDraining() bool { return s == StopDraining || s == StopDrained }

// StopTarget names the hosts to stop: one host, a rack, or a data centre.
type StopTarget struct {
	DataCentre carobkeel.DataCentre `json:"data_centre,omitempty"`
	Rack       string               `json:"rack,omitempty"`
	Host       string               `json:"host,omitempty"`
}

// Covers reports whether the target has the location in it.
func (t StopTarget) Covers(at carobkeel.Location) bool {
	return t != StopTarget{} &&
		(t.DataCentre == "" || t.DataCentre == at.DataCentre) &&
		(t.Rack == "" || t.Rack == at.Rack) &&
		(t.Host == "" || t.Host == at.Host)
}

// String returns the target as one line for people.
func (t StopTarget) String() string {
	var parts []string
	for _, part := range []struct{ kind, name string }{
		{"data centre ", string(t.DataCentre)}, {"rack ", t.Rack}, {"host ", t.Host},
	} {
		if part.name != "" {
			parts = append(parts, part.kind+part.name)
		}
	}
	return strings.Join(parts, ", ")
}

// Stop is a planned stop of hosts.
type Stop struct {
	ID     StopID     `json:"id"`
	Target StopTarget `json:"target"`
	State  StopState  `json:"state"`
	// Start is when draining begins.
	Start time.Time `json:"start"`
	// Forced says that it may leave a service without an instance.
	Forced bool   `json:"forced"`
	By     string `json:"by"`
	// Reason is what the operator gave.
	Reason string `json:"reason,omitempty"`
	// Detail says what the stop waits for.
	Detail string `json:"detail,omitempty"`
	// PlannedAt is when it was accepted, ChangedAt when its state last changed.
	PlannedAt time.Time `json:"planned_at"`
	ChangedAt time.Time `json:"changed_at"`
	// SeenAt is when a process last saw work on the hosts of a stop that
	// drains, or a host of one that is drained.
	SeenAt time.Time `json:"seen_at,omitzero"`
}

const (
	// StopQuietTime is how long no process may see work before a stop is
	// drained.
	StopQuietTime = 15 * time.Second
	// StopGoneTime is how long no process may see a host before a drained stop
	// is done.
	StopGoneTime = time.Minute
	// StopSeenInterval is the least time between two notes of what was seen.
	StopSeenInterval = 5 * time.Second
)

// StopRequest is what an operator asks for.
type StopRequest struct {
	ID     StopID
	Target StopTarget
	// Start is when draining begins; the zero time stands for now.
	Start  time.Time
	Forced bool
	By     string
	Reason string
}

// maxReason bounds the reason of a stop, in bytes.
const maxReason = 500

// locationPattern is the form of names of data centres, racks and hosts.
var locationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Validate returns everything that is wrong with the request.
func (r StopRequest) Validate() Problems {
	c := &checker{name: string(r.ID)}
	if (r.Target == StopTarget{}) {
		c.add("target", "is missing, want a host, a rack or a data centre")
	}
	if r.Target.Rack != "" && r.Target.DataCentre == "" {
		c.add("data_centre", "is missing, and a rack is only known within one")
	}
	c.checkLocation("data_centre", string(r.Target.DataCentre))
	c.checkLocation("rack", r.Target.Rack)
	c.checkLocation("host", r.Target.Host)
	if len(r.Reason) > maxReason {
		c.add("reason", "has %d bytes, want at most %d", len(r.Reason), maxReason)
	}
	return c.problems
}

func (c *checker) checkLocation(field, name string) {
	if name != "" && !locationPattern.MatchString(name) {
		c.add(field, "%q is not a name", name)
	}
}

// PlanStop decides whether the stop may be planned beside the others. It is
// refused with CodeStopRefused where it would leave a service without an
// instance, unless it is forced.
func PlanStop(request StopRequest, fleet Fleet, others []Stop, now time.Time) (Stop, error) {
	if err := request.Validate().AsError(); err != nil {
		return Stop{}, err
	}
	stop := Stop{
		ID: request.ID, Target: request.Target, State: StopPlanned,
		Start: request.Start.UTC(), Forced: request.Forced, By: request.By, Reason: request.Reason,
		PlannedAt: now, ChangedAt: now,
	}
	if request.Start.IsZero() {
		stop.Start = now
	}
	if stop.Forced {
		return stop, nil
	}
	bare := fleet.leftWithout(stop.Target, targetsOf(others, func(s StopState) bool { return !s.IsFinal() }))
	if len(bare) > 0 {
		return Stop{}, carobkeel.NewError(carobkeel.CodeStopRefused,
			"a stop of %s would leave no instance of %s", stop.Target, strings.Join(bare, ", "))
	}
	return stop, nil
}

// Step decides how the stop goes on. It returns the stop unchanged where there
// is nothing to do yet. Any process may take the step: it depends on the
// arguments alone, and taking it twice is the same as taking it once.
func (s Stop) Step(fleet Fleet, others []Stop, now time.Time) Stop {
	if s.State.IsFinal() || !fleet.isSettled(now) {
		return s
	}
	switch s.State {
	case StopPlanned:
		return s.stepPlanned(fleet, others, now)
	case StopDraining:
		if work := fleet.workIn(s.Target); !work.isEmpty() {
			return s.waiting(work.String()).seen(now)
		}
		return s.quiet(StopDrained, StopQuietTime, now)
	case StopDrained:
		if fleet.hasHostIn(s.Target) {
			return s.waiting("no work is left; the hosts may be switched off").seen(now)
		}
		return s.quiet(StopDone, StopGoneTime, now)
	default:
		return s
	}
}

// seen notes that there still is what the stop waits for.
func (s Stop) seen(now time.Time) Stop {
	if now.Sub(s.SeenAt) >= StopSeenInterval {
		s.SeenAt = now
	}
	return s
}

// quiet moves the stop on once nobody has seen for the given time what it waits
// for. A process that is cut off from the hosts sees nothing there; the notes of
// the others keep it from taking that for the truth.
func (s Stop) quiet(state StopState, wanted time.Duration, now time.Time) Stop {
	last := s.ChangedAt
	if s.SeenAt.After(last) {
		last = s.SeenAt
	}
	if now.Sub(last) < wanted {
		return s
	}
	return s.moved(state, now)
}

// stepPlanned starts a stop that is due, unless the fleet has changed so that it
// would now leave a service without an instance.
func (s Stop) stepPlanned(fleet Fleet, others []Stop, now time.Time) Stop {
	if now.Before(s.Start) {
		return s
	}
	bare := fleet.leftWithout(s.Target, targetsOf(others, StopState.IsDraining))
	if len(bare) > 0 && !s.Forced {
		return s.waiting("held: it would now leave no instance of " + strings.Join(bare, ", "))
	}
	return s.moved(StopDraining, now)
}

// Cancel calls the stop off. Cancelling twice is the same as once; a stop that
// is done gives CodeStopFinished.
func (s Stop) Cancel(by string, now time.Time) (Stop, error) {
	switch s.State {
	case StopCancelled:
		return s, nil
	case StopDone:
		return s, carobkeel.NewError(carobkeel.CodeStopFinished, "stop %q is done", s.ID)
	}
	next := s.moved(StopCancelled, now)
	next.Detail = "cancelled by " + by
	return next, nil
}

func (s Stop) moved(state StopState, now time.Time) Stop {
	s.State, s.Detail, s.ChangedAt = state, "", now
	return s
}

func (s Stop) waiting(detail string) Stop {
	s.Detail = detail
	return s
}

func targetsOf(stops []Stop, wanted func(StopState) bool) []StopTarget {
	var targets []StopTarget
	for _, stop := range stops {
		if wanted(stop.State) {
			targets = append(targets, stop.Target)
		}
	}
	return targets
}

// IsDraining reports whether one of the stops takes the location out of use, so
// that it gets no new work.
func IsDraining(stops []Stop, at carobkeel.Location) bool {
	for _, stop := range stops {
		if stop.State.IsDraining() && stop.Target.Covers(at) {
			return true
		}
	}
	return false
}
