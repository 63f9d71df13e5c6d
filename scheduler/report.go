package scheduler

import (
	"math"
	"slices"
	"strings"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// failedWorkersToHold is the number of different workers on which a task has to
// fail before it is held. With fewer, the workers may be the cause.
const failedWorkersToHold = 3

// maxFailures is the number of failures after which a task is failed even if it
// ran on too few workers to tell whether it or the workers are the cause.
const maxFailures = 5

// Report processes a worker's report. It returns false if the report was dropped
// because it was out of date or from an earlier incarnation.
func (s *Shard) Report(now Instant, r Report) bool {
	v := s.view(r.Worker)
	if !v.accept(now, r, s.epoch) {
		return false
	}
	if r.Epoch > s.epoch {
		s.superseded = true
		return true
	}
	s.capacity = s.capacity.Sub(v.capacity).Add(r.Capacity)
	v.capacity = r.Capacity
	v.epochConfirmed = r.Epoch == s.epoch
	if !v.epochConfirmed {
		return true
	}
	s.reconcile(v, r)
	return true
}

// retired is the sequence number stored for an incarnation that has ended. Every
// report of that incarnation is dropped.
const retired = math.MaxUint64

// accept records the report's sequence number and timestamp, and returns false
// if the report is older than the last one. An incarnation counts as ended only
// when another one has reported this holder's epoch, because the first report
// received may be a delayed one of an earlier incarnation.
func (v *workerView) accept(now Instant, r Report, epoch carobkeel.Epoch) bool {
	if v.sequences == nil {
		v.sequences = make(map[carobkeel.Incarnation]uint64)
	}
	if r.Sequence <= v.sequences[r.Incarnation] {
		return false
	}
	if r.Epoch == epoch {
		if v.confirmedIncarnation != 0 && v.confirmedIncarnation != r.Incarnation {
			v.sequences[v.confirmedIncarnation] = retired
		}
		v.confirmedIncarnation = r.Incarnation
	}
	v.sequences[r.Incarnation] = r.Sequence
	v.hasReported, v.incarnation = true, r.Incarnation
	v.stamp, v.reportedAt = r.Timestamp, now
	return true
}

// reconcile updates the worker's tasks from a report made after the worker saw
// this holder's epoch. The worker refuses the commands of earlier holders from
// then on. An inherited run that the report does not list was therefore never
// started and will not be; a run that this holder placed may have a start
// command in flight.
func (s *Shard) reconcile(v *workerView, r Report) {
	running := make(map[RunRef]*RunningReport, len(r.Running))
	v.orphans, v.ended = v.orphans[:0], v.ended[:0]
	for i := range r.Running {
		ref := r.Running[i].Ref
		running[ref] = &r.Running[i]
		if t, ok := v.tasks[ref.Task]; !ok || t.Ref() != ref {
			v.orphans = append(v.orphans, ref)
		}
	}
	for i := range r.Ended {
		v.ended = append(v.ended, r.Ended[i].Ref)
		if t, ok := v.tasks[r.Ended[i].Ref.Task]; ok && t.Ref() == r.Ended[i].Ref {
			s.handleEnded(v, t, r.Ended[i].Outcome, r.Ended[i].Reason)
		}
	}
	for _, t := range v.tasks {
		report, ok := running[t.Ref()]
		switch {
		case ok:
			s.handleRunning(t, report)
		case t.Incarnation != v.incarnation || t.inherited:
			s.handleLost(v, t)
		}
	}
	s.handleRefusals(v, r.Refused)
}

// handleRunning processes the report of an active run.
func (s *Shard) handleRunning(t *task, r *RunningReport) {
	t.inherited = false
	t.reported = true
	t.reportedPace = r.PacePercent
	t.reportedCheckpoint = r.CheckpointSequence
	if t.State == StateStarting || t.State == StateResuming {
		s.apply(t, EventReported)
	}
	if t.State == StateCheckpointing && r.CheckpointSequence >= t.wantedCheckpoint() {
		s.apply(t, EventCheckpointed)
		t.stopping = true
	}
}

// wantedCheckpoint returns the sequence number of the checkpoint of an eviction.
// It is always 1, because a run is evicted only once.
func (t *task) wantedCheckpoint() uint64 { return 1 }

// handleRefusals stops runs for which the worker has no room or whose checkpoint
// it can't use. The stop command prevents a repeated start command from being
// executed after the task has been placed on another worker.
func (s *Shard) handleRefusals(v *workerView, refusals []Refusal) {
	for _, refusal := range refusals {
		t, ok := v.tasks[refusal.Ref.Task]
		if !ok || t.Ref() != refusal.Ref || t.reported {
			continue
		}
		if refusal.Code == carobkeel.CodeHostFull || refusal.Code == carobkeel.CodeCheckpointInvalid {
			t.stopping = true
		}
	}
}

// handleEnded processes the report of an ended run.
func (s *Shard) handleEnded(v *workerView, t *task, outcome Outcome, reason string) {
	switch outcome {
	case OutcomeSucceeded:
		s.detach(v, t)
		s.apply(t, EventSucceeded)
	case OutcomeFailed:
		t.recordFailure(v.id)
		s.handleLost(v, t)
		s.checkFailures(t, reason)
	default:
		s.handleLost(v, t)
	}
}

// checkFailures holds a task that failed on several workers, and fails one that
// has failed too often on fewer workers.
func (s *Shard) checkFailures(t *task, reason string) {
	if !t.State.IsWaiting() {
		return
	}
	t.Reason = "failed on " + joinWorkers(t.FailedOn) + ": " + reason
	switch {
	case len(t.FailedOn) >= failedWorkersToHold:
		s.apply(t, EventHeld)
	case t.Failures >= maxFailures:
		s.apply(t, EventFailed)
	}
}

func (t *task) recordFailure(id worker.ID) {
	t.Failures++
	if !slices.Contains(t.FailedOn, id) {
		t.FailedOn = append(slices.Clone(t.FailedOn), id)
	}
}

func joinWorkers(ids []worker.ID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return strings.Join(names, ", ")
}

// handleLost detaches a task whose run can no longer be active and has not
// completed it. The task waits for its next run, or ends if it is being cancelled.
func (s *Shard) handleLost(v *workerView, t *task) {
	s.detach(v, t)
	s.apply(t, EventRunLost)
	if t.Cancelling {
		s.apply(t, EventCancelled)
	}
}

// detach removes a task from its worker.
func (s *Shard) detach(v *workerView, t *task) {
	s.creditOwner(t)
	delete(v.tasks, t.Ref().Task)
	s.freed = append(s.freed, FreedTask{Task: t.Ref().Task, Worker: v.id})
	t.Worker, t.Incarnation = "", 0
	t.inherited, t.reported, t.stopping = false, false, false
	t.grantedUntil, t.checkpointBy = 0, 0
	t.pacePercent, t.reportedPace, t.reportedCheckpoint = fullPacePercent, 0, 0
}

// Tick processes the expiry of deadlines. Runs on workers that don't report are
// lost once their last grant has expired, and an eviction proceeds without a
// checkpoint when its timeout expires.
func (s *Shard) Tick(now Instant) {
	for _, v := range s.workers {
		silent := !v.hasReported || now.Sub(v.reportedAt) >= s.timing.Grant
		for _, t := range v.tasks {
			if t.State == StateCheckpointing && now >= t.checkpointBy {
				t.stopping = true
			}
			if silent && !s.mayRun(now, t) {
				s.handleLost(v, t)
			}
		}
	}
}

// mayRun reports whether the task's run may be active, or may still be started
// by a command in flight.
func (s *Shard) mayRun(now Instant, t *task) bool {
	if t.inherited && now < s.inheritedUntil {
		return true
	}
	return now < t.grantedUntil
}
