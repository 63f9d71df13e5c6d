package scheduler

import "github.com/carobkeel/carobkeel"

// State is how far a task is.
type State uint8

// States of a task.
const (
	// StateQueued tasks wait for their first start.
	StateQueued State = iota
	// StateStarting tasks have a worker, which has not reported them yet.
	StateStarting
	// StateRunning tasks run with their whole demand.
	StateRunning
	// StateThrottled tasks run with a part of their demand.
	StateThrottled
	// StateCheckpointing tasks run and write the checkpoint of an eviction.
	StateCheckpointing
	// StateCheckpointed tasks have written it and are being stopped.
	StateCheckpointed
	// StateEvicted tasks have no copy and wait to be resumed.
	StateEvicted
	// StateResuming tasks have a worker again, which has not reported them yet.
	StateResuming
	// StateSucceeded tasks have done their work.
	StateSucceeded
	// StateFailed tasks were given up.
	StateFailed
	// StateCancelled tasks were ended on request.
	StateCancelled
	// StateHeld tasks have no copy and wait for an operator or for the fleet to
	// change.
	StateHeld

	stateCount
)

var stateNames = [stateCount]string{
	"queued", "starting", "running", "throttled", "checkpointing", "checkpointed",
	"evicted", "resuming", "succeeded", "failed", "cancelled", "held",
}

// String returns the state's name.
func (s State) String() string {
	if s >= stateCount {
		return "unknown"
	}
	return stateNames[s]
}

// Public returns the name that callers see, which has fewer states.
func (s State) Public() string {
	switch s {
	case StateThrottled, StateCheckpointing:
		return stateNames[StateRunning]
	case StateEvicted:
		return stateNames[StateCheckpointed]
	case StateResuming:
		return stateNames[StateStarting]
	}
	return s.String()
}

// IsFinal reports whether a task in state s never changes again.
func (s State) IsFinal() bool {
	return s == StateSucceeded || s == StateFailed || s == StateCancelled
}

// IsWaiting reports whether a task in state s waits for a worker.
func (s State) IsWaiting() bool { return s == StateQueued || s == StateEvicted }

// IsPlaced reports whether a copy of a task in state s may be alive.
func (s State) IsPlaced() bool {
	return (s >= StateStarting && s <= StateCheckpointed) || s == StateResuming
}

// Event is what happens to a task.
type Event uint8

// Events of a task.
const (
	// EventPlaced gives the task a worker under a new generation.
	EventPlaced Event = iota
	// EventReported is a worker's report that the copy runs.
	EventReported
	// EventThrottled limits the copy to a share of its demand.
	EventThrottled
	// EventUnthrottled lifts that limit.
	EventUnthrottled
	// EventEvicted begins an eviction.
	EventEvicted
	// EventCheckpointed is the report of the eviction's whole checkpoint.
	EventCheckpointed
	// EventCopyGone says that the copy cannot live any more and has not done
	// the task's work.
	EventCopyGone
	// EventSucceeded is the report that the work is done.
	EventSucceeded
	// EventFailed gives the task up.
	EventFailed
	// EventCancelled ends the task on request.
	EventCancelled
	// EventHeld sets the task aside.
	EventHeld
	// EventReleased puts a held task back.
	EventReleased

	eventCount
)

var eventNames = [eventCount]string{
	"placed", "reported", "throttled", "unthrottled", "evicted", "checkpointed",
	"copy gone", "succeeded", "failed", "cancelled", "held", "released",
}

// String returns the event's name.
func (e Event) String() string {
	if e >= eventCount {
		return "unknown"
	}
	return eventNames[e]
}

var waitingEvents = map[Event]State{
	EventCancelled: StateCancelled, EventHeld: StateHeld, EventFailed: StateFailed,
}

var placedEvents = map[Event]State{
	EventCopyGone: StateEvicted, EventSucceeded: StateSucceeded,
}

// transitions lists for each state the events that it allows. A state that is
// not listed is final.
var transitions = map[State]map[Event]State{
	StateQueued: merge(waitingEvents, map[Event]State{EventPlaced: StateStarting}),
	StateStarting: merge(placedEvents, map[Event]State{
		EventReported: StateRunning, EventEvicted: StateCheckpointed,
	}),
	StateRunning: merge(placedEvents, map[Event]State{
		EventThrottled: StateThrottled, EventEvicted: StateCheckpointing,
	}),
	StateThrottled: merge(placedEvents, map[Event]State{
		EventUnthrottled: StateRunning, EventEvicted: StateCheckpointing,
	}),
	StateCheckpointing: merge(placedEvents, map[Event]State{EventCheckpointed: StateCheckpointed}),
	StateCheckpointed:  placedEvents,
	StateEvicted:       merge(waitingEvents, map[Event]State{EventPlaced: StateResuming}),
	StateResuming: merge(placedEvents, map[Event]State{
		EventReported: StateRunning, EventEvicted: StateCheckpointed,
	}),
	StateHeld: {EventCancelled: StateCancelled, EventReleased: StateQueued},
}

func merge(a, b map[Event]State) map[Event]State {
	both := make(map[Event]State, len(a)+len(b))
	for event, state := range a {
		both[event] = state
	}
	for event, state := range b {
		both[event] = state
	}
	return both
}

// After returns the state that event leads to from s. An event that s does not
// allow is an Error: CodeJobFinished where s is final.
func (s State) After(event Event) (State, error) {
	if next, ok := transitions[s][event]; ok {
		return next, nil
	}
	code := carobkeel.CodeInvalidRequest
	if s.IsFinal() {
		code = carobkeel.CodeJobFinished
	}
	return s, carobkeel.NewError(code, "a %s task can't be %s", s, event)
}
