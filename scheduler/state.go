package scheduler

import "github.com/carobkeel/carobkeel"

// State is the state of a task.
type State uint8

// States of a task.
const (
	// StateQueued tasks wait for their first placement.
	StateQueued State = iota
	// StateStarting tasks are placed on a worker that has not reported them yet.
	StateStarting
	// StateRunning tasks run at full pace.
	StateRunning
	// StateThrottled tasks run at a reduced pace.
	StateThrottled
	// StateCheckpointing tasks run and write the checkpoint of an eviction.
	StateCheckpointing
	// StateCheckpointed tasks are being stopped for an eviction, after their
	// checkpoint if they had started.
	StateCheckpointed
	// StateEvicted tasks have no active run and wait to be placed again.
	StateEvicted
	// StateResuming tasks are placed again, on a worker that has not reported
	// them yet.
	StateResuming
	// StateSucceeded tasks have completed.
	StateSucceeded
	// StateFailed tasks have failed and are not retried.
	StateFailed
	// StateCancelled tasks were cancelled on request.
	StateCancelled
	// StateHeld tasks are not placed until an operator intervenes or the fleet
	// changes.
	StateHeld

	stateCount
)

var stateNames = [stateCount]string{
	"queued", "starting", "running", "throttled", "checkpointing", "checkpointed",
	"evicted", "resuming", "succeeded", "failed", "cancelled", "held",
}

// String implements fmt.Stringer.
func (s State) String() string {
	if s >= stateCount {
		return "unknown"
	}
	return stateNames[s]
}

// Public returns the name of the state as callers see it. Several states share
// a public name.
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

// IsPlaced reports whether a task in state s may have an active run.
func (s State) IsPlaced() bool {
	return (s >= StateStarting && s <= StateCheckpointed) || s == StateResuming
}

// Event is a cause of a state change of a task.
type Event uint8

// Events of a task.
const (
	// EventPlaced assigns a new run of the task to a worker.
	EventPlaced Event = iota
	// EventReported is a worker's report that the run is active.
	EventReported
	// EventThrottled reduces the pace of the run.
	EventThrottled
	// EventUnthrottled restores full pace.
	EventUnthrottled
	// EventEvicted starts an eviction.
	EventEvicted
	// EventCheckpointed is the report that the checkpoint of an eviction is
	// complete.
	EventCheckpointed
	// EventRunLost means that the run can no longer be active and has not
	// completed the task.
	EventRunLost
	// EventSucceeded is the report that the task has completed.
	EventSucceeded
	// EventFailed ends the task after too many failures.
	EventFailed
	// EventCancelled ends the task on request.
	EventCancelled
	// EventHeld takes the task out of the queue until it is released.
	EventHeld
	// EventReleased puts a held task back into the queue.
	EventReleased

	eventCount
)

var eventNames = [eventCount]string{
	"placed", "reported", "throttled", "unthrottled", "evicted", "checkpointed",
	"copy gone", "succeeded", "failed", "cancelled", "held", "released",
}

// String implements fmt.Stringer.
func (e Event) String() string {
	if e >= eventCount {
		return "unknown"
	}
	return eventNames[e]
}

var waitingTransitions = map[Event]State{
	EventCancelled: StateCancelled, EventHeld: StateHeld, EventFailed: StateFailed,
}

var placedTransitions = map[Event]State{
	EventRunLost: StateEvicted, EventSucceeded: StateSucceeded,
}

// transitions maps each state to the events that it allows and the states that
// they lead to. A state that is not listed is final.
var transitions = map[State]map[Event]State{
	StateQueued: mergeTransitions(waitingTransitions, map[Event]State{EventPlaced: StateStarting}),
	StateStarting: mergeTransitions(placedTransitions, map[Event]State{
		EventReported: StateRunning, EventEvicted: StateCheckpointed,
	}),
	StateRunning: mergeTransitions(placedTransitions, map[Event]State{
		EventThrottled: StateThrottled, EventEvicted: StateCheckpointing,
	}),
	StateThrottled: mergeTransitions(placedTransitions, map[Event]State{
		EventUnthrottled: StateRunning, EventEvicted: StateCheckpointing,
	}),
	StateCheckpointing: mergeTransitions(placedTransitions, map[Event]State{EventCheckpointed: StateCheckpointed}),
	StateCheckpointed:  placedTransitions,
	StateEvicted:       mergeTransitions(waitingTransitions, map[Event]State{EventPlaced: StateResuming}),
	StateResuming: mergeTransitions(placedTransitions, map[Event]State{
		EventReported: StateRunning, EventEvicted: StateCheckpointed,
	}),
	StateHeld: {EventCancelled: StateCancelled, EventReleased: StateQueued},
}

func mergeTransitions(a, b map[Event]State) map[Event]State {
	both := make(map[Event]State, len(a)+len(b))
	for event, state := range a {
		both[event] = state
	}
	for event, state := range b {
		both[event] = state
	}
	return both
}

// Next returns the state that event leads to from s. It returns an Error if s
// does not allow the event, with CodeJobFinished if s is final.
func (s State) Next(event Event) (State, error) {
	if next, ok := transitions[s][event]; ok {
		return next, nil
	}
	code := carobkeel.CodeInvalidRequest
	if s.IsFinal() {
		code = carobkeel.CodeJobFinished
	}
	return s, carobkeel.NewError(code, "a %s task can't be %s", s, event)
}
