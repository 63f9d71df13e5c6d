package operator

import (
	"regexp"
	"strings"
	"time"

	"github.com/carobkeel/carobkeel"
)

// StopID identifies a planned stop.
type StopID string

// StopState is the state of a planned stop.
type StopState string

// States of a planned stop. A stop passes through planned, draining, drained and
// done, and may be cancelled in every state before done.
const (
	// StopPlanned is a stop whose start has not come, or that is held because a
	// service would have no instance left.
	StopPlanned StopState = "planned"
	// StopDraining is a stop that lets requests in flight end and moves tasks
	// to other hosts.
	StopDraining StopState = "draining"
	// StopDrained is a stop with no work left on its hosts, which may be
	// switched off.
	StopDrained StopState = "drained"
	// StopDone is a stop whose hosts are no longer announced.
	StopDone StopState = "done"
	// StopCancelled is a stop that an operator cancelled.
	StopCancelled StopState = "cancelled"
)

// IsFinal reports whether no state follows this one.
func (s StopState) IsFinal() bool { return s == StopDone || s == StopCancelled }

// IsDraining reports whether the stop's hosts accept no new work in this state.
func (s StopState) IsDraining() bool { return s == StopDraining || s == StopDrained }

// StopTarget names the hosts to stop: one host, a rack, or a data centre.
type StopTarget struct {
	DataCentre carobkeel.DataCentre `json:"data_centre,omitempty"`
	Rack       string               `json:"rack,omitempty"`
	Host       string               `json:"host,omitempty"`
}

// Covers reports whether the location is in the target.
func (t StopTarget) Covers(at carobkeel.Location) bool {
	return t != StopTarget{} &&
		(t.DataCentre == "" || t.DataCentre == at.DataCentre) &&
		(t.Rack == "" || t.Rack == at.Rack) &&
		(t.Host == "" || t.Host == at.Host)
}

// String returns the target as one line of readable text.
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
	// Forced reports that the stop may leave a service without an instance.
	Forced bool   `json:"forced"`
	By     string `json:"by"`
	// Reason is the reason that the operator gave.
	Reason string `json:"reason,omitempty"`
	// Detail describes what the stop waits for, or who cancelled it.
	Detail string `json:"detail,omitempty"`
	// PlannedAt is when the stop was accepted, and ChangedAt is when its state
	// last changed.
	PlannedAt time.Time `json:"planned_at"`
	ChangedAt time.Time `json:"changed_at"`
	// SeenAt is when a process last saw work on the hosts of a draining stop,
	// or a host of a drained one.
	SeenAt time.Time `json:"seen_at,omitzero"`
}

const (
	// StopIdleTime is how long no process may have seen work before a draining
	// stop becomes drained.
	StopIdleTime = 15 * time.Second
	// StopHostAbsenceTime is how long no process may have seen a host before a drained
	// stop becomes done.
	StopHostAbsenceTime = time.Minute
	// StopSeenAtInterval is the shortest time between two updates of SeenAt.
	StopSeenAtInterval = 5 * time.Second
)

// StopRequest is an operator's request for a planned stop.
type StopRequest struct {
	ID     StopID
	Target StopTarget
	// Start is when draining begins; the zero time means now.
	Start  time.Time
	Forced bool
	By     string
	Reason string
}

// maxReasonBytes is the largest length of a stop's reason, in bytes.
const maxReasonBytes = 500

// locationPattern matches valid names of data centres, racks and hosts.
var locationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Validate returns all problems of the request.
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
	if len(r.Reason) > maxReasonBytes {
		c.add("reason", "has %d bytes, want at most %d", len(r.Reason), maxReasonBytes)
	}
	return c.problems
}

func (c *checker) checkLocation(field, name string) {
	if name != "" && !locationPattern.MatchString(name) {
		c.add(field, "%q is not a name", name)
	}
}

// PlanStop decides whether the stop may be planned along with the others. It
// refuses a stop that would leave a service without an instance with
// CodeStopRefused, unless the stop is forced.
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
	unserved := fleet.servicesLostWithout(stop.Target, targetsOf(others, func(s StopState) bool { return !s.IsFinal() }))
	if len(unserved) > 0 {
		return Stop{}, carobkeel.NewError(carobkeel.CodeStopRefused,
			"a stop of %s would leave no instance of %s", stop.Target, strings.Join(unserved, ", "))
	}
	return stop, nil
}

// Step returns the stop in its next state, or unchanged if there is nothing to
// do yet. Any process may take the step: the result depends only on the stop and
// the arguments, and taking the step twice has the same effect as taking it
// once.
func (s Stop) Step(fleet Fleet, others []Stop, now time.Time) Stop {
	if s.State.IsFinal() || !fleet.isSettled(now) {
		return s
	}
	switch s.State {
	case StopPlanned:
		return s.stepPlanned(fleet, others, now)
	case StopDraining:
		if work := fleet.workIn(s.Target); !work.isEmpty() {
			return s.withDetail(work.String()).withSeenAt(now)
		}
		return s.advanceAfterQuiet(StopDrained, StopIdleTime, now)
	case StopDrained:
		if fleet.hasHostIn(s.Target) {
			return s.withDetail("no work is left; the hosts may be switched off").withSeenAt(now)
		}
		return s.advanceAfterQuiet(StopDone, StopHostAbsenceTime, now)
	default:
		return s
	}
}

// withSeenAt updates SeenAt when the work or hosts that the stop waits for are
// still there. It does so at most once per StopSeenAtInterval.
func (s Stop) withSeenAt(now time.Time) Stop {
	if now.Sub(s.SeenAt) >= StopSeenAtInterval {
		s.SeenAt = now
	}
	return s
}

// advanceAfterQuiet moves the stop to the given state once no process has seen,
// for the given time, the work or hosts that the stop waits for. A process that
// is cut off from the hosts sees nothing on them; the SeenAt that other
// processes write prevents it from concluding that nothing is there.
func (s Stop) advanceAfterQuiet(state StopState, wanted time.Duration, now time.Time) Stop {
	last := s.ChangedAt
	if s.SeenAt.After(last) {
		last = s.SeenAt
	}
	if now.Sub(last) < wanted {
		return s
	}
	return s.withState(state, now)
}

// stepPlanned starts draining at the start time. It holds an unforced stop that
// would leave a service without an instance because the fleet has changed since
// it was planned.
func (s Stop) stepPlanned(fleet Fleet, others []Stop, now time.Time) Stop {
	if now.Before(s.Start) {
		return s
	}
	unserved := fleet.servicesLostWithout(s.Target, targetsOf(others, StopState.IsDraining))
	if len(unserved) > 0 && !s.Forced {
		return s.withDetail("held: it would now leave no instance of " + strings.Join(unserved, ", "))
	}
	return s.withState(StopDraining, now)
}

// Cancel cancels the stop. Cancelling it again has no effect; a stop that is
// done is refused with CodeStopFinished.
func (s Stop) Cancel(by string, now time.Time) (Stop, error) {
	switch s.State {
	case StopCancelled:
		return s, nil
	case StopDone:
		return s, carobkeel.NewError(carobkeel.CodeStopFinished, "stop %q is done", s.ID)
	}
	next := s.withState(StopCancelled, now)
	next.Detail = "cancelled by " + by
	return next, nil
}

func (s Stop) withState(state StopState, now time.Time) Stop {
	s.State, s.Detail, s.ChangedAt = state, "", now
	return s
}

func (s Stop) withDetail(detail string) Stop {
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

// IsDraining reports whether one of the stops drains the location, so that it
// gets no new work.
func IsDraining(stops []Stop, at carobkeel.Location) bool {
	for _, stop := range stops {
		if stop.State.IsDraining() && stop.Target.Covers(at) {
			return true
		}
	}
	return false
}
