package holder

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Metrics holds the metrics of a node's decisions while it holds the shard.
type Metrics struct {
	Takeovers, StepDowns tally.Counter
	// Panics counts the scheduling steps that panicked.
	Panics tally.Counter
	// OrdersDropped counts the orders that were decided on a link that has been replaced
	// or has ended.
	OrdersDropped tally.Counter
	// StoreLatency is the time until a batch of records is stored.
	StoreLatency tally.Histogram
	// Rejected counts the transactions that the table service has rejected, and LearnedLeftOut the learned
	// images and pairs of images that did not fit in their row.
	Rejected, LearnedLeftOut tally.Counter
	// stepTime is the time that the parts of each step of the event loop take.
	stepTime [stepParts]tally.Histogram
	series   *telemetry.ByOwner[series]
	workers  map[dispatch.DecisionKind]tally.Counter
	// givenUpEnds counts the listed ends of runs that were given up before, by outcome.
	givenUpEnds map[runs.Outcome]tally.Counter
}

// labelOutcome is the label with the outcome of a run.
const labelOutcome = "outcome"

// labelPart is the label with the part of a step of the event loop.
const labelPart = "part"

// labelLateness is the label with the lateness of a job.
const labelLateness = "lateness"

// series holds the metrics of one queue and class.
type series struct {
	// startDelay is the time that a task waited for its confirmed start, and jobTime the
	// time from the acceptance of a job to its end.
	startDelay, jobTime tally.Histogram
	// nearWait is the time that a task waited for room near its data or its gang.
	nearWait tally.Histogram
	jobs     map[dispatch.DecisionKind]tally.Counter
	// byLateness counts the jobs that were done, by how late, where the queue sets an objective.
	byLateness map[dispatch.Lateness]tally.Counter
}

// NewMetrics creates the metrics in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("scheduler")
	givenUpEnds := make(map[runs.Outcome]tally.Counter)
	for outcome := runs.OutcomeDone; outcome <= runs.OutcomeUnknown; outcome++ {
		givenUpEnds[outcome] = scope.Tagged(map[string]string{labelOutcome: outcome.String()}).Counter("given_up_runs_ended")
	}
	var stepTime [stepParts]tally.Histogram
	for part, name := range stepPartNames {
		stepTime[part] = scope.Tagged(map[string]string{labelPart: name}).Histogram("step_time", telemetry.LatencyBuckets())
	}
	return &Metrics{
		Takeovers:      scope.Counter("takeovers"),
		StepDowns:      scope.Counter("step_downs"),
		Panics:         scope.Counter("panics"),
		OrdersDropped:  scope.Counter("orders_dropped"),
		Rejected:       scope.Counter("transactions_rejected"),
		LearnedLeftOut: scope.Counter("learned_left_out"),
		StoreLatency:   scope.Histogram("store_latency", telemetry.LatencyBuckets()),
		series:         telemetry.NewByOwner(scope, telemetry.DefaultMaxOwners, newSeries),
		workers: map[dispatch.DecisionKind]tally.Counter{
			dispatch.DecidedLinkLost:          scope.Counter("links_lost"),
			dispatch.DecidedWorkerUnreachable: scope.Counter("workers_unreachable"),
			dispatch.DecidedWorkerRestarted:   scope.Counter("workers_replaced"),
			dispatch.DecidedEndsMissed:        scope.Counter("ends_missed"),
			dispatch.DecidedLateLease:         scope.Counter("late_leases"),
			dispatch.DecidedLateLeaseRuledOut: scope.Counter("late_leases_ruled_out"),
			dispatch.DecidedLateStart:         scope.Counter("late_starts"),
			dispatch.DecidedWorkerQuarantined: scope.Counter("workers_set_aside"),
			dispatch.DecidedCommonRefusal:     scope.Counter("common_refusals"),
			dispatch.DecidedSlowStartBegun:    scope.Counter("slow_starts_begun"),
			dispatch.DecidedSlowStartReduced:  scope.Counter("slow_starts_reduced"),
			dispatch.DecidedSlowStartEnded:    scope.Counter("slow_starts_ended"),
			dispatch.DecidedWorkerDraining:    scope.Counter("workers_draining"),
			dispatch.DecidedLeaseExpired:      scope.Counter("leases_lapsed"),
			dispatch.DecidedOverloadBegan:     scope.Counter("overloads_begun"),
			dispatch.DecidedOverloadEnded:     scope.Counter("overloads_ended"),
		},
		givenUpEnds: givenUpEnds,
		stepTime:    stepTime,
	}
}

func newSeries(scope tally.Scope) series {
	byLateness := make(map[dispatch.Lateness]tally.Counter)
	for _, l := range []dispatch.Lateness{dispatch.DoneInTime, dispatch.DoneLate, dispatch.DoneTooLate} {
		byLateness[l] = scope.Tagged(map[string]string{labelLateness: string(l)}).Counter("jobs_by_lateness")
	}
	return series{
		byLateness: byLateness,
		startDelay: scope.Histogram("start_delay", telemetry.LatencyBuckets()),
		jobTime:    scope.Histogram("job_time", telemetry.LatencyBuckets()),
		nearWait:   scope.Histogram("near_wait", telemetry.LatencyBuckets()),
		jobs: map[dispatch.DecisionKind]tally.Counter{
			dispatch.DecidedJobAdded:     scope.Counter("jobs_taken"),
			dispatch.DecidedJobDone:      scope.Counter("jobs_done"),
			dispatch.DecidedJobFailed:    scope.Counter("jobs_failed"),
			dispatch.DecidedJobCancelled: scope.Counter("jobs_cancelled"),
			dispatch.DecidedRunStarted:   scope.Counter("runs_started"),
			dispatch.DecidedRunStopped:   scope.Counter("runs_stopped"),
			dispatch.DecidedRunAdopted:   scope.Counter("runs_found"),
			dispatch.DecidedRunEnded:     scope.Counter("runs_over"),
			dispatch.DecidedRunGivenUp:   scope.Counter("runs_given_up"),
			dispatch.DecidedPaceSet:      scope.Counter("paces_set"),

			dispatch.DecidedNearWaitBegun:   scope.Counter("near_waits_begun"),
			dispatch.DecidedNearWaitEnded:   scope.Counter("near_waits_ended"),
			dispatch.DecidedNearWaitGivenUp: scope.Counter("near_waits_given_up"),
			dispatch.DecidedMoveWithheld:    scope.Counter("moves_withheld"),
			dispatch.DecidedCopyWithheld:    scope.Counter("copies_withheld"),
		},
	}
}

// recordDecision counts a decision.
func (m *Metrics) recordDecision(d *dispatch.Decision) {
	if counter, known := m.workers[d.Kind]; known {
		counter.Inc(1)
		return
	}
	s := m.series.For(carobkeel.Owner(d.Queue), d.Class)
	if counter, known := s.jobs[d.Kind]; known {
		counter.Inc(1)
	}
	switch d.Kind {
	case dispatch.DecidedRunConfirmed:
		s.startDelay.RecordDuration(max(0, d.Waited))
	case dispatch.DecidedNearWaitEnded, dispatch.DecidedNearWaitGivenUp:
		s.nearWait.RecordDuration(d.Waited)
	case dispatch.DecidedJobDone:
		s.jobTime.RecordDuration(d.Waited)
		if d.Objective > 0 {
			s.byLateness[d.Lateness()].Inc(1)
		}
	case dispatch.DecidedGivenUpRunEnded:
		m.givenUpEnds[min(d.Outcome, runs.OutcomeUnknown)].Inc(1)
	}
}

// recordStore records how long it took to store a batch.
func (m *Metrics) recordStore(took time.Duration) { m.StoreLatency.RecordDuration(took) }
