package judge

import (
	"time"

	"github.com/carobkeel/carobkeel"
)

// Event is one observation of a play.
type Event struct {
	// Number is the position in the record, from 1.
	Number int
	// At is the time since the record began.
	At time.Duration
	Observation
}

// Observation is what was seen: one of the types below.
type Observation interface {
	// Kind names the type in a stored record.
	Kind() string
}

// Process is one incarnation of a process of the system.
type Process struct {
	// Name stays with the host. It is what a Disruption names.
	Name        string `json:"name"`
	Incarnation int    `json:"incarnation,omitempty"`
}

// Worker is one incarnation of a worker. A worker may start again under its ID.
type Worker struct {
	ID          string `json:"id"`
	Incarnation int    `json:"incarnation"`
}

// RunID identifies one run of a task on one incarnation of a worker.
type RunID struct {
	Worker Worker             `json:"worker"`
	Task   carobkeel.TaskName `json:"task"`
	Run    int                `json:"run"`
}

// Target is what a caller's request names: a host and the path of a queue.
type Target struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// Observations of callers.
type (
	// SubmissionSent means that a caller connected and sent a job. An attempt without a
	// connection isn't recorded.
	SubmissionSent struct {
		Job     carobkeel.JobID `json:"job"`
		Attempt int             `json:"attempt"`
		Entry   Process         `json:"entry"`
		Target  Target          `json:"target"`
		// Spec is the job as sent. Its queue isn't read.
		Spec carobkeel.JobSpec `json:"spec"`
	}
	// SubmissionAnswered means that the attempt has got its answer, or never will.
	SubmissionAnswered struct {
		Job     carobkeel.JobID `json:"job"`
		Attempt int             `json:"attempt"`
		Answer  Answer          `json:"answer"`
	}
	// CancelSent means that a caller asked for the end of a job.
	CancelSent struct {
		Job   carobkeel.JobID `json:"job"`
		Entry Process         `json:"entry"`
	}
	// CancelAcknowledged means that a caller was told that the job is cancelled or gone.
	CancelAcknowledged struct {
		Job carobkeel.JobID `json:"job"`
	}
	// StateAnswered is the answer to a question for the state of a job.
	StateAnswered struct {
		Job   carobkeel.JobID `json:"job"`
		Entry Process         `json:"entry"`
		// AskedAt is when the question was sent, since the record began.
		AskedAt time.Duration `json:"asked_at"`
		Answer  Answer        `json:"answer"`
		// State applies to AnswerAccepted.
		State carobkeel.JobState `json:"state"`
	}
	// WaitingAnswered is the answer to a question for a queue's waiting jobs.
	WaitingAnswered struct {
		Target  Target        `json:"target"`
		Entry   Process       `json:"entry"`
		AskedAt time.Duration `json:"asked_at"`
		Answer  Answer        `json:"answer"`
		Waiting int           `json:"waiting"`
	}
	// TrafficEnded means that callers send no more jobs.
	TrafficEnded struct{}
)

// Answer is how a caller's request was answered.
type Answer string

// Answers to callers.
const (
	// AnswerAccepted means success.
	AnswerAccepted Answer = "accepted"
	// AnswerRejected means that the request isn't and never will be carried out.
	AnswerRejected Answer = "rejected"
	// AnswerNoQueue means that there is no such queue.
	AnswerNoQueue Answer = "no-queue"
	// AnswerGone means that there is no such job.
	AnswerGone Answer = "gone"
	// AnswerNone means no answer, or one that leaves open what happened.
	AnswerNone Answer = "none"
)

// Outcome is how a run ended.
type Outcome string

// Outcomes of runs.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeStopped Outcome = "stopped"
	// OutcomeExpired means that the worker's lease lapsed.
	OutcomeExpired Outcome = "expired"
	// OutcomeGangEnded means that another member of the gang ended.
	OutcomeGangEnded Outcome = "gang-ended"
	// OutcomeGangTimeout means that the gang wasn't complete in time.
	OutcomeGangTimeout Outcome = "gang-timeout"
)

// Observations of workers.
type (
	// WorkerStarted means that an incarnation of a worker began.
	WorkerStarted struct {
		Worker Worker `json:"worker"`
		// Sidecar is the name of the process that the worker takes orders from.
		Sidecar  string              `json:"sidecar"`
		Service  carobkeel.Service   `json:"service"`
		Capacity carobkeel.Resources `json:"capacity"`
		// EnforcesCapacity reports that the worker itself rejects what doesn't fit.
		EnforcesCapacity bool     `json:"enforces_capacity,omitempty"`
		Labels           []string `json:"labels,omitempty"`
	}
	// WorkerEnded means that an incarnation of a worker ended, with all that it ran.
	WorkerEnded struct {
		Worker Worker `json:"worker"`
	}
	// RunStarted means that a run began on a worker.
	RunStarted struct {
		RunID
		// By is the process that gave the order.
		By Process `json:"by"`
		// Late reports that the worker carried the order out late.
		Late       bool            `json:"late,omitempty"`
		Payload    string          `json:"payload,omitempty"`
		Checkpoint string          `json:"checkpoint,omitempty"`
		Epoch      carobkeel.Epoch `json:"epoch"`
	}
	// CheckpointSaved means that a run has a new checkpoint.
	CheckpointSaved struct {
		RunID
		Checkpoint string `json:"checkpoint"`
	}
	// RunEnded means that a run ended on a worker that goes on.
	RunEnded struct {
		RunID
		Outcome Outcome `json:"outcome"`
		// EndNumber counts the ends of the worker's incarnation.
		EndNumber uint64 `json:"end_number"`
		// Checkpoint is the last one, empty if there is none.
		Checkpoint string `json:"checkpoint,omitempty"`
	}
	// EndsListed means that a worker answered with a list of the ends of these numbers.
	EndsListed struct {
		Worker  Worker   `json:"worker"`
		Numbers []uint64 `json:"numbers"`
	}
	// EndsAcknowledged means that an acknowledgement up to a number reached the worker.
	EndsAcknowledged struct {
		Worker  Worker `json:"worker"`
		Through uint64 `json:"through"`
	}
	// LeaseExpired means that the worker's lease lapsed.
	LeaseExpired struct {
		Worker Worker `json:"worker"`
	}
	// DrainReported means that a worker sent word that it is draining.
	DrainReported struct {
		Worker Worker `json:"worker"`
	}
	// DrainAcknowledged means that a process acknowledged that the worker is draining.
	DrainAcknowledged struct {
		Worker Worker  `json:"worker"`
		By     Process `json:"by"`
	}
)

// Observations of the operator and of the play itself.
type (
	// ConfigurationSent means that a version was handed to the store and may be in force.
	ConfigurationSent struct {
		Config carobkeel.QueueConfig `json:"config"`
	}
	// ConfigurationAcknowledged means that the store acknowledged the version.
	ConfigurationAcknowledged struct {
		Version carobkeel.Revision `json:"version"`
	}
	// Disruption means that something was done to a process or a worker, to the links of
	// one, or to the store. DisruptionEnded ends it; one without an end lasts. Versions of
	// the configuration, cancellations, and workers that drain or are added are none.
	Disruption struct {
		// ID is unique in the record.
		ID int `json:"id"`
		// Trouble says what it is, for the timeline.
		Trouble string `json:"trouble"`
		// Processes are the names of the processes that aren't in touch meanwhile.
		Processes []string `json:"processes,omitempty"`
		// Workers are the IDs of the workers that it acts on.
		Workers []string `json:"workers,omitempty"`
		// Store reports that it acts on the store.
		Store bool `json:"store,omitempty"`
	}
	// DisruptionEnded means that a disruption is over.
	DisruptionEnded struct {
		ID int `json:"id"`
	}
)
