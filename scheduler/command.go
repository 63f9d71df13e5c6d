package scheduler

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// TaskRef names one copy of a task. Each start of a task has a generation of
// its own, higher than every earlier one, and is claimed in the table before
// the start command is sent.
type TaskRef struct {
	Task       carobkeel.TaskID
	Generation uint64
}

// CommandKind says what a worker is asked to do.
type CommandKind uint8

// Commands to a worker.
const (
	// CommandClaim asks for nothing but that the worker notes the epoch.
	CommandClaim CommandKind = iota
	// CommandStart starts a copy, from a checkpoint where one is named.
	CommandStart
	// CommandRenew extends the grant of a running copy.
	CommandRenew
	// CommandThrottle sets the share of its demand that a copy may use.
	CommandThrottle
	// CommandCheckpoint asks a copy to write a checkpoint.
	CommandCheckpoint
	// CommandStop ends a copy, and keeps one that has not arrived from starting.
	CommandStop
	// CommandForget lets the worker drop the record of a copy that ended.
	CommandForget

	commandKinds
)

var commandNames = [commandKinds]string{
	"claim", "start", "renew", "throttle", "checkpoint", "stop", "forget",
}

// String returns the command's name.
func (k CommandKind) String() string {
	if k >= commandKinds {
		return "unknown"
	}
	return commandNames[k]
}

// CommandID identifies a command. A repeat of what was asked before is a new
// command: every command states what is wanted, so carrying one out twice or
// after a newer one changes nothing.
type CommandID struct {
	Epoch    carobkeel.Epoch
	Sequence uint64
}

// Command is one command to a worker.
type Command struct {
	ID   CommandID
	Kind CommandKind
	// Worker and Incarnation say who it is meant for. A worker that has started
	// anew since refuses it.
	Worker      worker.ID
	Incarnation carobkeel.Incarnation
	Ref         TaskRef
	// Until ends the grant of a start or renewal, by the worker's clock.
	Until Instant
	// Demand and Class belong to a start.
	Demand carobkeel.Resources
	Class  carobkeel.Class
	// Entry is the catalogue entry to run, in a start.
	Entry string
	// Checkpoint names the whole checkpoint that a start resumes from.
	Checkpoint string
	// SharePercent is the part of the demand that a throttled copy may use.
	SharePercent uint8
	// CheckpointSequence numbers the checkpoint that is asked for.
	CheckpointSequence uint64
}

// Outcome says how a copy ended.
type Outcome uint8

// Outcomes of a copy.
const (
	// OutcomeSucceeded says that the task has done its work.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed says that the task ended with an error of its own.
	OutcomeFailed
	// OutcomeStopped says that the copy was ended by a stop command.
	OutcomeStopped
	// OutcomeLapsed says that the worker ended the copy when its grant ran out.
	OutcomeLapsed
	// OutcomeShed says that the worker ended the copy because its capacity had
	// shrunk.
	OutcomeShed
)

// RunningReport is what a worker reports about a copy that it runs.
type RunningReport struct {
	Ref   TaskRef
	Until Instant
	// SharePercent is 100 unless the copy is throttled.
	SharePercent uint8
	// CheckpointSequence is the highest one asked for and finished.
	CheckpointSequence uint64
	// Checkpoint names the last whole checkpoint of this copy.
	Checkpoint string
	Demand     carobkeel.Resources
}

// EndedReport is what a worker reports about a copy that ended, until it is
// told to forget it.
type EndedReport struct {
	Ref     TaskRef
	Outcome Outcome
	// Checkpoint names the last whole checkpoint of this copy.
	Checkpoint string
	// Reason explains a failure.
	Reason string
}

// Report is a worker's whole state. A report replaces every earlier one of the
// same incarnation, so a lost one costs nothing and a late one is dropped.
type Report struct {
	Worker      worker.ID
	Incarnation carobkeel.Incarnation
	// Stamp is the worker's clock when the report was made.
	Stamp Instant
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	// Epoch is the highest that the worker has seen.
	Epoch    carobkeel.Epoch
	Capacity carobkeel.Resources
	Running  []RunningReport
	Ended    []EndedReport
	// Refused lists the commands refused since the last report.
	Refused []Refusal
}

// Refusal is a command that a worker did not carry out.
type Refusal struct {
	ID   CommandID
	Ref  TaskRef
	Code carobkeel.Code
}
