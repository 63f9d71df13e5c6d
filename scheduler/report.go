package scheduler

import (
	"math"
	"slices"
	"strings"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// failuresHeld is the number of different workers on which a task has to fail
// before it is held. Fewer may be the workers' fault.
const failuresHeld = 3

// failuresMax is the number of failures after which a task is given up though
// it found too few workers to tell whose fault it is.
const failuresMax = 5

// Report takes in a worker's report. It returns false where the report was late
// or from an earlier incarnation and was dropped.
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
	v.claimed = r.Epoch == s.epoch
	if !v.claimed {
		return true
	}
	s.reconcile(v, r)
	return true
}

// retired marks an incarnation that is over.
const retired = math.MaxUint64

// accept drops what is older than the last report and notes the stamp. An
// incarnation is taken to be over only once a later one has answered under this
// holder's epoch, because the first report of all may be a late one.
func (v *workerView) accept(now Instant, r Report, epoch carobkeel.Epoch) bool {
	if v.sequences == nil {
		v.sequences = make(map[carobkeel.Incarnation]uint64)
	}
	if r.Sequence <= v.sequences[r.Incarnation] {
		return false
	}
	if r.Epoch == epoch {
		if v.answered != 0 && v.answered != r.Incarnation {
			v.sequences[v.answered] = retired
		}
		v.answered = r.Incarnation
	}
	v.sequences[r.Incarnation] = r.Sequence
	v.known, v.incarnation = true, r.Incarnation
	v.stamp, v.at = r.Stamp, now
	return true
}

// reconcile brings the worker's tasks in line with a report that was made after
// the worker saw this holder's epoch. What the report does not list was either
// started by no earlier holder, and can't be any more, or is on its way.
func (s *Shard) reconcile(v *workerView, r Report) {
	running := make(map[TaskRef]*RunningReport, len(r.Running))
	v.strays, v.ended = v.strays[:0], v.ended[:0]
	for i := range r.Running {
		ref := r.Running[i].Ref
		running[ref] = &r.Running[i]
		if t, ok := v.tasks[ref.Task]; !ok || t.Ref() != ref {
			v.strays = append(v.strays, ref)
		}
	}
	for i := range r.Ended {
		v.ended = append(v.ended, r.Ended[i].Ref)
		if t, ok := v.tasks[r.Ended[i].Ref.Task]; ok && t.Ref() == r.Ended[i].Ref {
			s.end(v, t, r.Ended[i].Outcome, r.Ended[i].Reason)
		}
	}
	for _, t := range v.tasks {
		report, ok := running[t.Ref()]
		switch {
		case ok:
			s.seen(t, report)
		case t.Incarnation != v.incarnation || t.inherited:
			s.gone(v, t)
		}
	}
	s.refused(v, r.Refused)
}

// seen takes in that a copy runs.
func (s *Shard) seen(t *task, r *RunningReport) {
	t.inherited = false
	t.reported = true
	t.reportedPercent = r.SharePercent
	t.reportedCheckpoint = r.CheckpointSequence
	if t.State == StateStarting || t.State == StateResuming {
		s.apply(t, EventReported)
	}
	if t.State == StateCheckpointing && r.CheckpointSequence >= t.wantedCheckpoint() {
		s.apply(t, EventCheckpointed)
		t.stopping = true
	}
}

// wantedCheckpoint is the sequence number of the checkpoint of an eviction. A
// copy is evicted once.
func (t *task) wantedCheckpoint() uint64 { return 1 }

// refused stops copies that the worker has no room for. The stop keeps a repeat
// of the start command from being carried out after the task went elsewhere.
func (s *Shard) refused(v *workerView, refusals []Refusal) {
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

// end takes in how a copy ended.
func (s *Shard) end(v *workerView, t *task, outcome Outcome, reason string) {
	switch outcome {
	case OutcomeSucceeded:
		s.detach(v, t)
		s.apply(t, EventSucceeded)
	case OutcomeFailed:
		t.failedOn(v.id)
		s.gone(v, t)
		s.judge(t, reason)
	default:
		s.gone(v, t)
	}
}

// judge sets a task aside that failed on several workers, and gives one up that
// failed too often for any other reason.
func (s *Shard) judge(t *task, reason string) {
	if !t.State.IsWaiting() {
		return
	}
	t.Reason = "failed on " + joinWorkers(t.FailedOn) + ": " + reason
	switch {
	case len(t.FailedOn) >= failuresHeld:
		s.apply(t, EventHeld)
	case t.Failures >= failuresMax:
		s.apply(t, EventFailed)
	}
}

func (t *task) failedOn(id worker.ID) {
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

// gone takes in that a copy can't live any more without having done its work.
func (s *Shard) gone(v *workerView, t *task) {
	s.detach(v, t)
	s.apply(t, EventCopyGone)
	if t.Cancelling {
		s.apply(t, EventCancelled)
	}
}

// detach takes a task off its worker.
func (s *Shard) detach(v *workerView, t *task) {
	s.discharge(t)
	delete(v.tasks, t.Ref().Task)
	s.freed = append(s.freed, Freed{Task: t.Ref().Task, Worker: v.id})
	t.Worker, t.Incarnation = "", 0
	t.inherited, t.reported, t.stopping = false, false, false
	t.aliveUntil, t.checkpointBy = 0, 0
	t.sharePercent, t.reportedPercent, t.reportedCheckpoint = fullShare, 0, 0
}

// Tick takes in that time has passed: copies on silent workers count as gone
// once their last grant has run out, and evictions wait no longer for a
// checkpoint than they may.
func (s *Shard) Tick(now Instant) {
	for _, v := range s.workers {
		silent := !v.known || now.Sub(v.at) >= s.timing.Grant
		for _, t := range v.tasks {
			if t.State == StateCheckpointing && now >= t.checkpointBy {
				t.stopping = true
			}
			if silent && !s.mayLive(now, t) {
				s.gone(v, t)
			}
		}
	}
}

// mayLive reports whether the task's copy may be alive, or may still be started
// by a command that is under way.
func (s *Shard) mayLive(now Instant, t *task) bool {
	if t.inherited && now < s.inheritedUntil {
		return true
	}
	return now < t.aliveUntil
}
