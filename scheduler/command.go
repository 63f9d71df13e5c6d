package scheduler

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// RunRef identifies one run of a task. Each run has a number, Run, that
// is higher than those of all earlier runs of the task. It is stored in the
// table before the start command is sent.
type RunRef struct {
	Task carobkeel.TaskID
	Run  uint64
}

// CommandKind is the action that a command requests from a worker.
type CommandKind uint8

// Commands to a worker.
const (
	// CommandClaim only makes the worker record the holder's epoch.
	CommandClaim CommandKind = iota
	// CommandStart starts a run, from a checkpoint if one is named.
	CommandStart
	// CommandRenew extends the grant of an active run.
	CommandRenew
	// CommandThrottle sets the pace of a run.
	CommandThrottle
	// CommandCheckpoint makes a run write a checkpoint.
	CommandCheckpoint
	// CommandStop ends a run. If the run has not been started, a start command
	// that arrives later is refused.
	CommandStop
	// CommandForget allows the worker to remove the record of an ended run.
	CommandForget

	commandKinds
)

var commandNames = [commandKinds]string{
	"claim", "start", "renew", "throttle", "checkpoint", "stop", "forget",
}

// String implements fmt.Stringer.
func (k CommandKind) String() string {
	if k >= commandKinds {
		return "unknown"
	}
	return commandNames[k]
}

// CommandID identifies a command. A repeated request is a new command with an ID
// of its own. Commands are idempotent: each states the desired result, so
// executing one twice or after a newer one does no harm.
type CommandID struct {
	Epoch    carobkeel.Epoch
	Sequence uint64
}

// Command is one command to a worker.
type Command struct {
	ID   CommandID
	Kind CommandKind
	// Worker and Incarnation identify the recipient. A worker that has restarted
	// since refuses the command.
	Worker      worker.ID
	Incarnation carobkeel.Incarnation
	Ref         RunRef
	// GrantUntil is the end of the grant in a start or renewal, by the worker's clock.
	GrantUntil Instant
	// Demand and Class are set in a start.
	Demand carobkeel.Resources
	Class  carobkeel.Class
	// Entry is the catalogue entry to run. It is set in a start.
	Entry string
	// Checkpoint names the complete checkpoint that a start resumes from.
	Checkpoint string
	// PacePercent is the pace of a throttled run.
	PacePercent uint8
	// CheckpointSequence is the sequence number of the requested checkpoint.
	CheckpointSequence uint64
}

// Outcome is the way in which a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	// OutcomeSucceeded is a run that completed the task.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed is a run in which the task returned an error.
	OutcomeFailed
	// OutcomeStopped is a run that was ended by a stop command.
	OutcomeStopped
	// OutcomeExpired is a run that the worker ended when its grant expired.
	OutcomeExpired
	// OutcomeShed is a run that the worker ended because its capacity decreased.
	OutcomeShed
)

// RunningReport is the state of an active run in a worker's report.
type RunningReport struct {
	Ref        RunRef
	GrantUntil Instant
	// PacePercent is the pace of the run, 100 unless it is throttled.
	PacePercent uint8
	// CheckpointSequence is the highest sequence number of a requested
	// checkpoint that is complete.
	CheckpointSequence uint64
	// Checkpoint names the last complete checkpoint of this run.
	Checkpoint string
	Demand     carobkeel.Resources
}

// EndedReport describes an ended run in a worker's report. The worker repeats it
// until it receives a forget command for the run.
type EndedReport struct {
	Ref     RunRef
	Outcome Outcome
	// Checkpoint names the last complete checkpoint of this run.
	Checkpoint string
	// Reason explains a failure.
	Reason string
}

// Report is a worker's complete state. A report replaces every earlier one of
// the same incarnation, so a lost report needs no repeat and a delayed one is
// dropped.
type Report struct {
	Worker      worker.ID
	Incarnation carobkeel.Incarnation
	// Timestamp is the worker's clock when the report was made.
	Timestamp Instant
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	// Epoch is the highest epoch that the worker has seen.
	Epoch    carobkeel.Epoch
	Capacity carobkeel.Resources
	Running  []RunningReport
	Ended    []EndedReport
	// Refused lists the commands refused since the last report.
	Refused []Refusal
}

// Refusal is a command that a worker refused.
type Refusal struct {
	ID   CommandID
	Ref  RunRef
	Code carobkeel.Code
}
