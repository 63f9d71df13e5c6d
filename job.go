package carobkeel

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// QueueName is the name of a job queue.
type QueueName string

// Queue is the operator's configuration of one kind of job.
type Queue struct {
	Name QueueName
	// Host and PathPrefix select the HTTP requests that go to the queue.
	Host, PathPrefix string
	// Service is the service whose workers run the queue's tasks.
	Service Service
	// Priority orders queues. Zero is the highest and may preempt the others.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job
	// fails. Zero means no limit.
	MaxAttempts int
	// Timeout is the time limit of a caller's request.
	Timeout time.Duration
	// SlowdownFactor and Objective define the target completion time of a job:
	// SlowdownFactor times the length of its critical path, plus Objective.
	SlowdownFactor float64
	Objective      time.Duration
	// Advice is the policy of the advice service, which names the only workers
	// that may run the queue's steps. Nil allows any worker.
	Advice *AdvicePolicy
}

// AdvicePolicy describes the answers of the advice service for a queue.
type AdvicePolicy struct {
	// BaseDelay is the base time of an answer, and DelayPerWorker the additional time
	// for each worker in the request.
	BaseDelay, DelayPerWorker time.Duration
	// Validity is how long a worker accepts a ticket.
	Validity time.Duration
}

// WorkerPool is the configuration of the workers of one service.
type WorkerPool struct {
	Service Service
	// EnforcesCapacity reports that the workers reject runs that exceed their
	// capacity.
	EnforcesCapacity bool
}

// QueueConfig is one version of the operator's configuration of queues. It is
// immutable.
type QueueConfig struct {
	Version Revision
	Queues  []Queue
	Pools   []WorkerPool
	// MaxBodyBytes is the maximum size of a submission's body, in bytes.
	MaxBodyBytes int64
	// LeftOut is the number of queues and pools that could not be decoded.
	LeftOut int
}

// Queue returns the queue of the host with the longest prefix of the path.
func (c *QueueConfig) Queue(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best < 0 || len(q.PathPrefix) > len(c.Queues[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks in the step.
	Count int
	// Demand is the amount of a worker's resources that each task needs.
	Demand Resources
	// Estimate is the declared duration of a task, which is often inaccurate.
	Estimate time.Duration
	// After lists the earlier steps, by number, that must complete before this
	// one starts.
	After []int
	// SavesProgress reports that tasks write checkpoints.
	SavesProgress bool
	// Gang reports that the tasks make progress only while all of them run, and
	// end together.
	Gang bool
	// SameRack reports that the tasks are slower when spread over several racks.
	SameRack bool
	// RequiredLabel is a label that the worker must have, empty for none.
	RequiredLabel string
	// DataRack is the rack where the tasks' data is, empty for none.
	DataRack string
	// MaxPerWorker bounds how many tasks of the step one worker may run at a
	// time. Zero means no bound.
	MaxPerWorker int
	// AllowsDuplicates reports that several runs of a task may exist at a time.
	AllowsDuplicates bool
	// LongRunning marks long-running tasks, which run until the job is cancelled.
	LongRunning bool
	// Image is the program that the tasks run. Tasks of one image are assumed to
	// behave alike.
	Image string
	// LatencyTarget is the upper bound of the tail latency of a service task.
	// Zero means that the task serves no requests.
	LatencyTarget time.Duration
	// BestEffort marks best-effort tasks. They use the processor time that others
	// leave free, so their MilliCPU does not count against a worker's capacity.
	BestEffort bool
	// MaxUnavailable is the maximum number of tasks of a long-running step that may be
	// unavailable at a time because of the scheduler's own actions.
	MaxUnavailable int
}

// Reserved returns the resources that a task of the step reserves on a worker.
func (s *Step) Reserved() Resources {
	reserved := s.Demand
	if s.BestEffort {
		reserved.MilliCPU = 0
	}
	return reserved
}

// JobSpec is the specification of a submitted job.
type JobSpec struct {
	ID    JobID
	Queue Queue
	// ConfigVersion is the version of the configuration that Queue is of.
	ConfigVersion Revision
	// Payload is passed to every task.
	Payload string
	Steps   []Step
	// Repeats is the number of times that the steps run. Zero means once,
	// immediately.
	Repeats int
	// First is the start time of occurrence 0, and Period the time between two
	// occurrences. Both refer to the wall clock and apply only if Repeats is
	// above zero.
	First  time.Time
	Period time.Duration
}

// Occurrences returns how many times the steps run.
func (j *JobSpec) Occurrences() int { return max(1, j.Repeats) }

const (
	// MaxJobTasks is the maximum number of tasks of a job, in all its occurrences.
	MaxJobTasks = 1 << 17
	// maxDemand bounds each component of a task's demand, so that sums of demands
	// don't overflow.
	maxDemand = 1 << 50
)

// Validate returns an error if the job can't be run.
func (j *JobSpec) Validate() error {
	if len(j.Steps) == 0 {
		return NewError(CodeInvalidRequest, "a job needs at least one step")
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks = min(MaxJobTasks+1, tasks+j.Steps[i].Count)
	}
	if j.Repeats < 0 || tasks > MaxJobTasks/j.Occurrences() {
		return NewError(CodeInvalidRequest, "%d occurrences of %d tasks or more, at most %d tasks are allowed", j.Repeats, tasks, MaxJobTasks)
	}
	if j.Period < 0 || j.Period > math.MaxInt64/time.Duration(j.Occurrences()) {
		return NewError(CodeInvalidRequest, "period %v is out of range", j.Period)
	}
	return nil
}

// validate returns an error if the step, which is the one with the given number, can't
// be run.
func (s *Step) validate(number int) error {
	if s.Count <= 0 {
		return NewError(CodeInvalidRequest, "step %d has no tasks", number)
	}
	if s.Count > MaxJobTasks {
		return NewError(CodeInvalidRequest, "step %d has %d tasks, at most %d are allowed", number, s.Count, MaxJobTasks)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return NewError(CodeInvalidRequest, "step %d waits for step %d, which is not an earlier one", number, earlier)
		}
	}
	for _, n := range []int64{s.Demand.MilliCPU, s.Demand.MemoryBytes, s.Demand.Accelerators} {
		if n < 0 || n > maxDemand {
			return NewError(CodeInvalidRequest, "step %d has a demand of %d, which is out of range", number, n)
		}
	}
	if s.Estimate < 0 || s.LatencyTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return NewError(CodeInvalidRequest, "step %d has a negative duration or limit", number)
	}
	return nil
}

// TaskName identifies one task of a job of steps.
type TaskName struct {
	Job                     JobID
	Occurrence, Step, Index int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskName) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the form JOB.OCCURRENCE.STEP.
func (t TaskName) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

const (
	// taskNameParts is how many parts the text form of a TaskName has.
	taskNameParts     = 4
	taskNameSeparator = "."
)

// ParseTaskName parses the form that String returns.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, taskNameSeparator)
	if len(parts) != taskNameParts {
		return TaskName{}, errors.Errorf("task name %q does not have %d parts", text, taskNameParts)
	}
	var numbers [taskNameParts - 1]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskName{}, errors.Errorf("task name %q: %q is not a number", text, parts[i+1])
		}
		numbers[i] = n
	}
	return TaskName{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// JobState is the state of a job as reported to its caller.
type JobState uint8

// States of a job.
const (
	// JobPending means that no task has started.
	JobPending JobState = iota
	// JobActive means that at least one task has started.
	JobActive
	// JobCompleted means that all tasks have completed.
	JobCompleted
	// JobFailed means that a task reached the maximum number of failed runs.
	JobFailed
	// JobCancelled means that the caller cancelled the job.
	JobCancelled
)

var jobStateNames = [...]string{"pending", "active", "completed", "failed", "cancelled"}

// String returns the state's name.
func (s JobState) String() string {
	if int(s) >= len(jobStateNames) {
		return "unknown"
	}
	return jobStateNames[s]
}

// IsFinal reports whether a job in state s never changes again.
func (s JobState) IsFinal() bool { return s >= JobCompleted }
