package scheduler

import (
	"strings"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// Job is the durable record of one submitted run of a catalogued task, and of
// the one task that it consists of. After it was submitted only the holder of
// its shard writes it, in transactions fenced by the shard's epoch row.
type Job struct {
	ID     carobkeel.JobID
	Entry  string
	Owner  carobkeel.Owner
	Class  carobkeel.Class
	Demand carobkeel.Resources
	State  State
	// Reason says why a job is held, failed, or waits.
	Reason string
	// Code is the result code that belongs to Reason, CodeOK if none.
	Code carobkeel.Code
	// Generation counts the starts that were claimed. It only grows.
	Generation uint64
	// Worker and Incarnation say where the copy of Generation may be alive.
	// Worker is empty unless the state is a placed one.
	Worker      worker.ID
	Incarnation carobkeel.Incarnation
	// Checkpoint names the whole checkpoint that Generation was started from.
	Checkpoint string
	// Cancelling is set once the owner asked to cancel. It is never cleared.
	Cancelling bool
	// FailedOn lists the workers on which copies ended with an error.
	FailedOn []worker.ID
	// Failures counts the copies that ended with an error.
	Failures int
}

// Ref returns the reference of the job's newest copy.
func (j *Job) Ref() TaskRef {
	return TaskRef{Task: carobkeel.TaskID(j.ID), Generation: j.Generation}
}

// jobIDSeparator divides the shard from the rest of a job's id.
const jobIDSeparator = "."

// NewJobID returns the id of a job in the given shard. The unique part must not
// be used twice.
func NewJobID(shard ShardID, unique string) carobkeel.JobID {
	return carobkeel.JobID(string(shard) + jobIDSeparator + unique)
}

// ShardOf returns the shard in which a job was submitted. The second result is
// false where the id has not the form that NewJobID gives it.
func ShardOf(id carobkeel.JobID) (ShardID, bool) {
	at := strings.LastIndex(string(id), jobIDSeparator)
	if at <= 0 || at == len(id)-1 {
		return "", false
	}
	return ShardID(id[:at]), true
}

// NewJob returns a job of a catalogue entry as it is submitted, or an Error
// where the entry is not a batch task.
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

// Inbox is a durable message from an entry to the holder of a shard. One row
// carries many requests.
type Inbox struct {
	// Key is the row's key.
	Key string
	// Submitted is the common beginning of the ids of the jobs that were
	// written with this row, empty for none.
	Submitted string
	// Cancelled lists jobs that their owners want cancelled.
	Cancelled []carobkeel.JobID
}

// Batch is what a shard's holder wants to be durable next, in one transaction.
type Batch struct {
	Jobs []Job
	// Consumed lists the keys of inbox rows whose content the batch, or an
	// earlier one, has made durable elsewhere.
	Consumed []string
	// changes holds the number of the change of each job.
	changes []uint64
}

// IsEmpty reports whether there is nothing to write.
func (b Batch) IsEmpty() bool { return len(b.Jobs) == 0 && len(b.Consumed) == 0 }
