package dispatch

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// DecisionKind is the type of a decision.
type DecisionKind string

// Kinds of decisions. Each text is the message of the log line.
const (
	// DecidedJobAdded adds an accepted job.
	DecidedJobAdded DecisionKind = "job added"
	// DecidedJobDone completes a job after its last task.
	DecidedJobDone DecisionKind = "job done"
	// DecidedJobFailed fails a job because one of its tasks has used up
	// its attempts.
	DecidedJobFailed DecisionKind = "job failed"
	// DecidedJobCancelled ends a job at its caller's request.
	DecidedJobCancelled DecisionKind = "job cancelled"
	// DecidedRunStarted orders the start of a run.
	DecidedRunStarted DecisionKind = "run started"
	// DecidedStartRepeated orders the start of a run once more, as its answer was lost or
	// inconclusive. The detail has the number of the order.
	DecidedStartRepeated DecisionKind = "start repeated"
	// DecidedStartAnswered reports the answer to a start order.
	DecidedStartAnswered DecisionKind = "start answered"
	// DecidedRunListed reports the first listing that shows a run to this holder.
	DecidedRunListed DecisionKind = "run listed"
	// DecidedRunConfirmed reports that a worker has confirmed the start of a run, and how long
	// the task had waited for it.
	DecidedRunConfirmed DecisionKind = "run confirmed"
	// DecidedRunStopped orders the stop of a run.
	DecidedRunStopped DecisionKind = "run stopped"
	// DecidedStopOverdue reports a run that has not ended in time after its stop
	// was ordered.
	DecidedStopOverdue DecisionKind = "stop overdue"
	// DecidedRunEnded releases the resources of a run whose end its worker has listed.
	DecidedRunEnded DecisionKind = "run ended"
	// DecidedRunGivenUp releases the resources of a run that has ended although its
	// worker has listed no end of it. The detail names the evidence.
	DecidedRunGivenUp DecisionKind = "run given up"
	// DecidedGivenUpRunEnded reports the listed end of a run that this holder gave up before.
	DecidedGivenUpRunEnded DecisionKind = "given-up run ended"
	// DecidedUnknownRunEnded reports the listed end of another run that this holder does not
	// have: of an earlier holder, or released before.
	DecidedUnknownRunEnded DecisionKind = "unknown run ended"
	// DecidedProgressStored reports that a revision of a job's progress is durable, with the
	// effects of all ends up to that revision.
	DecidedProgressStored DecisionKind = "progress stored"
	// DecidedEndsAcknowledged orders the acknowledgement of a worker's ends up to a number.
	DecidedEndsAcknowledged DecisionKind = "ends acknowledged"
	// DecidedInheritedWorkerListed reports the first full listing of a worker that an earlier
	// holder used. Runs of that holder which it lacks count as over.
	DecidedInheritedWorkerListed DecisionKind = "inherited worker listed"
	// DecidedRunAdopted adopts a run that an earlier holder started.
	DecidedRunAdopted DecisionKind = "run adopted"
	// DecidedPaceSet sets the pace of a best-effort run.
	DecidedPaceSet DecisionKind = "pace set"
	// DecidedLinkLost reports that the link to a host has ended.
	DecidedLinkLost DecisionKind = "link to host lost"
	// DecidedWorkerUnreachable reports that a sidecar can't reach its worker.
	DecidedWorkerUnreachable DecisionKind = "worker does not answer"
	// DecidedWorkerDraining reports that a worker accepts no more tasks.
	DecidedWorkerDraining DecisionKind = "worker draining"
	// DecidedWorkerShutDown reports that a worker has shut down in an orderly way.
	DecidedWorkerShutDown DecisionKind = "worker shut down"
	// DecidedWorkerRestarted reports a new incarnation of a worker. The detail names both.
	DecidedWorkerRestarted DecisionKind = "worker restarted"
	// DecidedEndsMissed reports ends that a worker lists no more although this holder has
	// not read them.
	DecidedEndsMissed DecisionKind = "ends missed"
	// DecidedOtherIncarnation reports a description of another incarnation than the known
	// one, which has not listed its runs.
	DecidedOtherIncarnation DecisionKind = "other worker incarnation described"
	// DecidedLateLease counts the lease that a call to an earlier incarnation may have given a
	// worker. The detail has the evidence, and waited is the time until that lease is over.
	DecidedLateLease DecisionKind = "late lease counted"
	// DecidedLateLeaseRuledOut does not count a lease that the worker's sidecar can't rule out.
	// The detail has what this holder does not know of, and waited is what it would count.
	DecidedLateLeaseRuledOut DecisionKind = "late lease ruled out"
	// DecidedLateStart holds a task back that a worker which does not answer may run by a late start. Waited
	// is the longest time for which it may.
	DecidedLateStart DecisionKind = "task may run by a late start"
	// DecidedWorkerQuarantined quarantines a worker: it gets no tasks for some
	// time.
	DecidedWorkerQuarantined DecisionKind = "worker quarantined"
	// DecidedCommonRefusal takes starts that most workers refused, or did not answer, in one round
	// of orders as no evidence against any of them. The detail has their number.
	DecidedCommonRefusal DecisionKind = "starts refused by most workers"
	// DecidedNearWaitBegun leaves room elsewhere unused for a task that waits for room near its
	// data, or for a gang that waits for room on one rack. The detail has the inputs.
	DecidedNearWaitBegun DecisionKind = "wait for near room begun"
	// DecidedNearWaitEnded ends such a wait with a start near, and DecidedNearWaitGivenUp with one
	// elsewhere. The detail has the limit of the wait.
	DecidedNearWaitEnded   DecisionKind = "wait for near room ended"
	DecidedNearWaitGivenUp DecisionKind = "wait for near room given up"
	// DecidedSlowStartBegun bounds the starts on a worker that has just begun, DecidedSlowStartReduced
	// halves that bound after a refusal, and DecidedSlowStartEnded ends it. Waited is the time since
	// the first of them, and the detail has the bound, zero for none.
	DecidedSlowStartBegun   DecisionKind = "slow start begun"
	DecidedSlowStartReduced DecisionKind = "slow start reduced"
	DecidedSlowStartEnded   DecisionKind = "slow start ended"
	// DecidedOverloadBegan and DecidedOverloadEnded report that batch tasks wait for room in such
	// numbers that moves and copies are withheld, and that they no longer do. The detail has
	// what was measured, and what was withheld meanwhile.
	DecidedOverloadBegan DecisionKind = "overload began"
	DecidedOverloadEnded DecisionKind = "overload ended"
	// DecidedMoveWithheld leaves a slow run where it is although another worker has room for it,
	// and DecidedCopyWithheld starts no copy of a task although one would have room.
	DecidedMoveWithheld DecisionKind = "move withheld"
	DecidedCopyWithheld DecisionKind = "copy withheld"
	// DecidedTaskWaiting reports a task that could not be started for a while.
	DecidedTaskWaiting DecisionKind = "task waiting"
	// DecidedJobsHeldBack reports jobs of an earlier epoch that wait for worker
	// incarnations that have not reported yet.
	DecidedJobsHeldBack DecisionKind = "inherited jobs held back"
	// DecidedAdviceReceived applies the advice service's answer for a step.
	DecidedAdviceReceived DecisionKind = "advice received"
	// DecidedLeaseExpired releases the runs of a worker whose lease has expired.
	DecidedLeaseExpired DecisionKind = "worker lease expired"
	// DecidedInheritedLeaseExpired drops a worker that never listed its runs to this
	// holder.
	DecidedInheritedLeaseExpired DecisionKind = "inherited lease expired"
	// DecidedPredecessorEnded reports that an earlier holder can't extend leases
	// any more.
	DecidedPredecessorEnded DecisionKind = "previous holder ended"
)

// Decision is a log entry: a decision about a job, a task or a worker, with the
// inputs that led to it.
type Decision struct {
	Kind DecisionKind
	Job  carobkeel.JobID
	// Queue and Class are those of the job, if the decision is about a job.
	Queue carobkeel.QueueName
	Class carobkeel.Class
	Task  carobkeel.TaskName
	Run   int
	Host  string
	// Waited is how long the task or job had waited, if it had.
	Waited time.Duration
	// Objective is the time in which the job should have been done, zero if its queue sets none.
	Objective time.Duration
	// Detail holds further inputs.
	Detail string
	// Incarnation is that of the worker, if the decision depends on it: it numbers its ends.
	Incarnation runs.Incarnation
	// Listing is the number of the sidecar's listing that led to the decision, or that was in
	// progress at an answer, zero for none.
	Listing uint64
	// End is the number of an end or, for an acknowledgement, of the last one that it covers.
	// Outcome is that of the end.
	End     uint64
	Outcome runs.Outcome
	// Revision is the revision of the job's progress in this epoch that includes the effect
	// of the end, or that is stored. Zero is the one that the holder began with.
	Revision uint64
}

// Lateness is how late a job was done.
type Lateness string

// Values of Lateness.
const (
	DoneInTime  Lateness = "in_time"
	DoneLate    Lateness = "late"
	DoneTooLate Lateness = "too_late"
)

// Lateness rates the time that a job took by its objective.
func (d *Decision) Lateness() Lateness {
	switch {
	case d.Waited <= d.Objective:
		return DoneInTime
	case d.Waited <= maxUsefulSlowdown*d.Objective:
		return DoneLate
	}
	return DoneTooLate
}

func (c *Core) recordDecision(d Decision) {
	id := d.Job
	if id == "" {
		id = d.Task.Job
	}
	if j := c.jobs[id]; j != nil {
		q := c.queueOf(j)
		d.Queue, d.Class = q.Name, classOf(q)
	}
	c.decisions = append(c.decisions, d)
}

// classOf returns the class of a queue's jobs. Jobs of the highest priority
// count as latency-critical.
func classOf(q *carobkeel.Queue) carobkeel.Class {
	if q.Priority == highestPriority {
		return carobkeel.ClassLatencyCritical
	}
	return carobkeel.ClassBatch
}
