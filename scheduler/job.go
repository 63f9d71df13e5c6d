package scheduler

import (
	"strings"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// Job is the durable record of a submitted job and of the one task that it
// consists of. After submission only the holder of its shard writes it, in
// transactions fenced by the shard's epoch row.
type Job struct {
	ID     carobkeel.JobID
	Entry  string
	Owner  carobkeel.Owner
	Class  carobkeel.Class
	Demand carobkeel.Resources
	State  State
	// Reason explains why the job is held, has failed, or waits.
	Reason string
	// Code is the result code that belongs to Reason, CodeOK if none.
	Code carobkeel.Code
	// Run is the number of the newest run, zero before the first. It
	// never decreases.
	Run uint64
	// Worker and Incarnation identify the worker on which the newest run may be
	// active. Worker is empty unless State.IsPlaced is true.
	Worker      worker.ID
	Incarnation carobkeel.Incarnation
	// Checkpoint names the complete checkpoint from which the newest run started.
	Checkpoint string
	// Cancelling is set once the owner has requested cancellation. It is never
	// cleared.
	Cancelling bool
	// FailedOn lists the workers on which runs ended with an error.
	FailedOn []worker.ID
	// Failures counts the runs that ended with an error.
	Failures int
}

// Ref returns the reference of the job's newest run.
func (j *Job) Ref() RunRef {
	return RunRef{Task: carobkeel.TaskID(j.ID), Run: j.Run}
}

// jobIDSeparator separates the shard from the rest of a job's id.
const jobIDSeparator = "."

// NewJobID returns the id of a job in the given shard. The argument unique must
// not be used twice in a shard.
func NewJobID(shard ShardID, unique string) carobkeel.JobID {
	return carobkeel.JobID(string(shard) + jobIDSeparator + unique)
}

// ShardOf returns the shard in which a job was submitted. The second result is
// false if the id does not have the form produced by NewJobID.
func ShardOf(id carobkeel.JobID) (ShardID, bool) {
	at := strings.LastIndex(string(id), jobIDSeparator)
	if at <= 0 || at == len(id)-1 {
		return "", false
	}
	return ShardID(id[:at]), true
}

// NewJob returns a new job of a catalogue entry. It returns an Error if the
// entry is not a batch task or declares no demand.
func NewJob(id carobkeel.JobID, entry *carobkeel.Entry) (Job, error) {
	if entry.Class != carobkeel.ClassBatch {
		return Job{}, carobkeel.NewError(carobkeel.CodeInvalidRequest, "%s is a service, not a batch task", entry.Name)
	}
	if entry.Demand.IsZero() {
		return Job{}, carobkeel.NewError(carobkeel.CodeInvalidEntry, "%s declares no demand", entry.Name)
	}
	return Job{
		ID:     id,
		Entry:  entry.Name,
		Owner:  entry.Owner,
		Class:  entry.Class,
		Demand: entry.Demand,
	}, nil
}

// InboxMessage is a durable message from an entry to the holder of a shard. One row
// carries requests of many callers.
type InboxMessage struct {
	// Key is the row's key.
	Key string
	// SubmittedPrefix is the common prefix of the ids of the jobs that were written
	// with this row, empty for none.
	SubmittedPrefix string
	// Cancelled lists the jobs to cancel.
	Cancelled []carobkeel.JobID
}

// Batch holds the changes that a shard's holder makes durable in one transaction.
type Batch struct {
	Jobs []Job
	// Consumed lists the keys of inbox rows to delete. This batch or an earlier
	// one contains every change that they requested.
	Consumed []string
	// changeSeqs holds the change number of each job.
	changeSeqs []uint64
}

// IsEmpty reports whether there is nothing to write.
func (b Batch) IsEmpty() bool { return len(b.Jobs) == 0 && len(b.Consumed) == 0 }
