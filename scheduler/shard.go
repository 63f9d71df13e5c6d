package scheduler

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// Shard is the state of a shard at its holder: every job that has not ended, and
// the last reports of the workers. It is owned by the goroutine that runs the
// shard.
type Shard struct {
	id     ShardID
	epoch  carobkeel.Epoch
	timing Timing
	// inheritedUntil is when every grant of earlier holders has expired.
	inheritedUntil Instant
	// capacity is the sum of the workers' capacities. Dominant shares are
	// computed from it.
	capacity carobkeel.Resources

	tasks   map[carobkeel.TaskID]*task
	workers map[worker.ID]*workerView
	// held is the subset of tasks in StateHeld.
	held  map[carobkeel.TaskID]*task
	queue queue

	// urgent and lazy list the tasks whose rows have to be written. Lazy ones are
	// added when a batch has room.
	urgent, lazy []carobkeel.TaskID
	consumed     []string

	// freed lists the runs removed from their workers since Freed was called.
	freed []FreedTask

	sequence   uint64
	superseded bool
}

// FreedTask identifies a task that no longer occupies resources of a worker.
type FreedTask struct {
	Task   carobkeel.TaskID
	Worker worker.ID
}

// task is a job that has not ended, with the state of its newest run.
type task struct {
	Job
	// grantedUntil is when the last grant of this holder has expired.
	grantedUntil Instant
	// inherited reports that an earlier holder placed the run and that its worker
	// has not reported it to this one.
	inherited bool
	// reported is true once the worker has reported the run as active.
	reported bool
	// stopping reports that the run has to end. It is reset when the run has left
	// its worker.
	stopping bool
	// checkpointBy is the deadline for the checkpoint of an eviction.
	checkpointBy       Instant
	pacePercent        uint8
	reportedPace       uint8
	reportedCheckpoint uint64

	// changeSeq is the number of the task's last change, batchedSeq of the last
	// change put into a batch, and durableSeq of the last durable one. durableRun
	// and durablePlaced are the run number and IsPlaced of the durable row.
	changeSeq, batchedSeq, durableSeq uint64
	durableRun                        uint64
	durablePlaced                     bool
	inUrgentList                      bool
	inLazyList                        bool
	queued                            bool
	// charged is the share added to the owner's usage for the run.
	charged float64
}

// workerView is the holder's view of a worker, from its reports.
type workerView struct {
	id          worker.ID
	incarnation carobkeel.Incarnation
	hasReported bool
	// sequences holds the sequence number of the last report of each incarnation,
	// retired for incarnations that have ended.
	sequences map[carobkeel.Incarnation]uint64
	// confirmedIncarnation is the one that last reported this holder's epoch,
	// zero if none has.
	confirmedIncarnation carobkeel.Incarnation
	// stamp is from the last report, at when that was received.
	stamp      Instant
	reportedAt Instant
	// epochConfirmed is true once the worker has reported this holder's epoch. It
	// then refuses commands of earlier ones.
	epochConfirmed bool
	capacity       carobkeel.Resources
	// tasks are the tasks placed on the worker.
	tasks map[carobkeel.TaskID]*task
	// orphans are active runs on the worker that are not the newest run of a task
	// placed there. They are stopped.
	orphans []RunRef
	// ended are the runs whose end the worker still reports.
	ended []RunRef
}

// NewShard returns the state of a newly acquired shard, from the rows of its
// jobs. Jobs that have ended are skipped.
func NewShard(id ShardID, epoch carobkeel.Epoch, inheritedUntil Instant, timing Timing, jobs []Job) *Shard {
	s := &Shard{
		id:             id,
		epoch:          epoch,
		timing:         timing,
		inheritedUntil: inheritedUntil,
		tasks:          make(map[carobkeel.TaskID]*task),
		workers:        make(map[worker.ID]*workerView),
		held:           make(map[carobkeel.TaskID]*task),
	}
	for i := range jobs {
		s.load(jobs[i])
	}
	return s
}

func (s *Shard) load(job Job) {
	if job.State.IsFinal() {
		return
	}
	t := &task{
		Job:           job,
		pacePercent:   fullPacePercent,
		durableRun:    job.Run,
		durablePlaced: job.State.IsPlaced(),
	}
	s.tasks[t.Ref().Task] = t
	if t.State.IsPlaced() {
		t.inherited = true
		t.stopping = t.Cancelling
		s.view(t.Worker).tasks[t.Ref().Task] = t
		s.chargeOwner(t)
		return
	}
	if t.State == StateHeld {
		s.held[t.Ref().Task] = t
		return
	}
	s.enqueue(t)
}

// Submit adds a job whose row is durable. A job that is already known is left
// unchanged. So is a job that has left its initial state, because the shard
// already processed its submission.
func (s *Shard) Submit(job Job) {
	if _, ok := s.tasks[job.Ref().Task]; ok || s.superseded {
		return
	}
	if job.State != StateQueued || job.Run != 0 {
		return
	}
	s.load(job)
}

// Consume records that an inbox row has been processed. Its key is added to the
// batch that contains the last of the changes requested by the row, or to a
// later one.
func (s *Shard) Consume(key string) { s.consumed = append(s.consumed, key) }

// Cancel ends a job: immediately if no run may be active, else when its run has
// ended. It returns an Error with CodeUnknownJob if the shard has no such job or
// the job has ended.
func (s *Shard) Cancel(id carobkeel.JobID) error {
	t, ok := s.tasks[carobkeel.TaskID(id)]
	if !ok {
		return carobkeel.NewError(carobkeel.CodeUnknownJob, "shard %s has no unfinished job %s", s.id, id)
	}
	if t.Cancelling {
		return nil
	}
	t.Cancelling = true
	if t.State.IsPlaced() {
		t.stopping = true
		s.markDirty(t, false)
		return nil
	}
	s.apply(t, EventCancelled)
	return nil
}

// Hold puts a waiting job into StateHeld, with the reason that its owner sees.
func (s *Shard) Hold(id carobkeel.JobID, code carobkeel.Code, reason string) {
	t, ok := s.tasks[carobkeel.TaskID(id)]
	if !ok || !t.State.IsWaiting() {
		return
	}
	t.Reason, t.Code = reason, code
	s.apply(t, EventHeld)
}

// Release puts held jobs with the given code back into the queue, for example
// jobs that no worker had the capacity for before the fleet changed.
func (s *Shard) Release(code carobkeel.Code) {
	for _, id := range sortedTasks(s.held) {
		if t := s.held[id]; t.Code == code {
			t.Reason, t.Code, t.FailedOn = "", carobkeel.CodeOK, nil
			s.apply(t, EventReleased)
		}
	}
}

// Waiting removes at most limit jobs from the queue and returns them in the order
// in which they should be placed. The caller places, holds or defers each.
func (s *Shard) Waiting(limit int) []Job {
	var jobs []Job
	for len(jobs) < limit {
		id, ok := s.queue.pop()
		if !ok {
			break
		}
		t, ok := s.tasks[id]
		if !ok || !t.queued {
			continue
		}
		t.queued = false
		if t.State.IsWaiting() {
			jobs = append(jobs, t.Job)
		}
	}
	return jobs
}

// Defer puts a job returned by Waiting back into the queue, behind the other jobs
// of its owner.
func (s *Shard) Defer(id carobkeel.JobID) {
	if t, ok := s.tasks[carobkeel.TaskID(id)]; ok && t.State.IsWaiting() && !t.queued {
		s.enqueue(t)
	}
}

// Place assigns the next run of a waiting job to a worker. The start command is
// sent once the placement is durable. The argument checkpoint names the complete
// checkpoint to resume from, empty for none.
func (s *Shard) Place(now Instant, id carobkeel.JobID, to worker.ID, checkpoint string) error {
	t, ok := s.tasks[carobkeel.TaskID(id)]
	if !ok {
		return carobkeel.NewError(carobkeel.CodeUnknownJob, "shard %s has no unfinished job %s", s.id, id)
	}
	v := s.view(to)
	if !v.epochConfirmed || !s.isFresh(now, v) || s.superseded {
		return carobkeel.NewError(carobkeel.CodeHostFull, "worker %s has not reported", to)
	}
	if _, err := t.State.Next(EventPlaced); err != nil {
		return err
	}
	t.Run++
	t.Worker, t.Incarnation, t.Checkpoint = v.id, v.incarnation, checkpoint
	t.Reason, t.Code = "", carobkeel.CodeOK
	v.tasks[t.Ref().Task] = t
	s.chargeOwner(t)
	s.apply(t, EventPlaced)
	return nil
}

// Evict starts the eviction of a task from its worker: by a checkpoint if the
// task is running, then by a stop. It does nothing if the task is not placed.
func (s *Shard) Evict(now Instant, id carobkeel.TaskID) {
	t, ok := s.tasks[id]
	if !ok || !t.State.IsPlaced() || t.stopping {
		return
	}
	s.apply(t, EventEvicted)
	switch t.State {
	case StateCheckpointing:
		t.checkpointBy = now.Add(s.timing.CheckpointTimeout)
	case StateCheckpointed:
		t.stopping = true
	}
}

// Throttle sets the pace of a running task, in percent of its demand.
func (s *Shard) Throttle(id carobkeel.TaskID, pacePercent uint8) {
	t, ok := s.tasks[id]
	if !ok || pacePercent == 0 || pacePercent > fullPacePercent {
		return
	}
	event := EventThrottled
	if pacePercent == fullPacePercent {
		event = EventUnthrottled
	}
	if _, err := t.State.Next(event); err == nil {
		s.apply(t, event)
	}
	if t.State == StateRunning || t.State == StateThrottled {
		t.pacePercent = pacePercent
	}
}

// IsSuperseded reports whether a worker has seen a later epoch. The holder then
// sends no more commands for the shard.
func (s *Shard) IsSuperseded() bool { return s.superseded }

// Job returns a job that has not ended.
func (s *Shard) Job(id carobkeel.JobID) (Job, bool) {
	if t, ok := s.tasks[carobkeel.TaskID(id)]; ok {
		return t.Job, true
	}
	return Job{}, false
}

// Freed returns the tasks removed from their workers since the last call.
func (s *Shard) Freed() []FreedTask {
	freed := s.freed
	s.freed = nil
	return freed
}

// PlacedOn returns the jobs that are placed on the worker.
func (s *Shard) PlacedOn(id worker.ID) []Job {
	v := s.view(id)
	jobs := make([]Job, 0, len(v.tasks))
	for _, taskID := range sortedTasks(v.tasks) {
		jobs = append(jobs, v.tasks[taskID].Job)
	}
	return jobs
}

// HasTimedOut reports whether the last report of a worker is older than a grant, or
// it has sent none.
func (s *Shard) HasTimedOut(now Instant, id worker.ID) bool {
	v, ok := s.workers[id]
	return !ok || !v.hasReported || now.Sub(v.reportedAt) >= s.timing.Grant
}

// NeedsExchange reports whether the worker needs an exchange before its next
// heartbeat is due.
func (s *Shard) NeedsExchange(id worker.ID) bool {
	v, ok := s.workers[id]
	if !ok || !v.epochConfirmed || len(v.orphans) > 0 {
		return true
	}
	for _, t := range v.tasks {
		if t.stopping || t.State == StateCheckpointing || (!t.reported && t.isClaimDurable()) {
			return true
		}
	}
	return false
}

// Counts returns the number of jobs that have not ended and the number of those
// that wait in the queue.
func (s *Shard) Counts() (unfinished, waiting int) { return len(s.tasks), s.queue.length }

func (s *Shard) view(id worker.ID) *workerView {
	v, ok := s.workers[id]
	if !ok {
		v = &workerView{id: id, tasks: make(map[carobkeel.TaskID]*task)}
		s.workers[id] = v
	}
	return v
}

func (s *Shard) enqueue(t *task) {
	t.queued = true
	s.queue.push(t.Class, t.Owner, t.Ref().Task)
}

// chargeOwner adds the share of a placed task to the usage of its owner.
func (s *Shard) chargeOwner(t *task) {
	t.charged = t.Demand.DominantShare(s.capacity)
	s.queue.addUsage(t.Class, t.Owner, t.charged)
}

func (s *Shard) creditOwner(t *task) {
	s.queue.addUsage(t.Class, t.Owner, -t.charged)
	t.charged = 0
}

// apply changes a task's state by an event and marks its row for writing. An
// event that the state does not allow is ignored.
func (s *Shard) apply(t *task, event Event) {
	next, err := t.State.Next(event)
	if err != nil {
		return
	}
	before := t.State
	t.State = next
	delete(s.held, t.Ref().Task)
	if next == StateHeld {
		s.held[t.Ref().Task] = t
	}
	switch {
	case next.IsFinal() || next == StateHeld:
		s.markDirty(t, true)
	case next.IsWaiting():
		s.markDirty(t, before != StateHeld)
		s.enqueue(t)
	case event == EventPlaced:
		s.markDirty(t, true)
	case event == EventReported:
		s.markDirty(t, false)
	}
}
