package scheduler

import (
	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// Shard is the state of a shard at its holder: every job that has not ended and
// what the workers report. It is owned by the goroutine that runs the shard.
type Shard struct {
	id     ShardID
	epoch  carobkeel.Epoch
	timing Timing
	// inheritedUntil is when every grant of earlier holders has run out.
	inheritedUntil Instant
	// capacity is the sum of the workers' capacities, for shares.
	capacity carobkeel.Resources

	tasks   map[carobkeel.TaskID]*task
	workers map[worker.ID]*workerView
	// held holds those of tasks that are in StateHeld.
	held  map[carobkeel.TaskID]*task
	queue queue

	// urgent and lazy list the tasks whose rows have to be written. Lazy ones
	// ride along where a batch has room.
	urgent, lazy []carobkeel.TaskID
	consumed     []string

	// freed lists copies that have left their workers since Freed was called.
	freed []Freed

	sequence   uint64
	superseded bool
}

// Freed says that a worker's room is no longer held by a task.
type Freed struct {
	Task   carobkeel.TaskID
	Worker worker.ID
}

// task is a job that has not ended, and its copy.
type task struct {
	Job
	// aliveUntil is when the last grant given by this holder has run out.
	aliveUntil Instant
	// inherited says that an earlier holder placed the copy and that its
	// worker has not reported to this one.
	inherited bool
	// reported says that the worker reports the copy as running.
	reported bool
	// stopping says that the copy has to end. It is cleared with the copy.
	stopping bool
	// checkpointBy ends the wait for the checkpoint of an eviction.
	checkpointBy       Instant
	sharePercent       uint8
	reportedPercent    uint8
	reportedCheckpoint uint64

	// change numbers the changes that have to be written, durable is the last
	// of them that was. durableGeneration and durablePlaced are as written.
	// taken is the last change that was put into a batch.
	change, taken, durable uint64
	durableGeneration      uint64
	durablePlaced          bool
	listedUrgent           bool
	listedLazy             bool
	queued                 bool
	// charged is the share that the owner is charged for the copy.
	charged float64
}

// workerView is what the holder knows of a worker.
type workerView struct {
	id          worker.ID
	incarnation carobkeel.Incarnation
	known       bool
	// sequences holds the last report's sequence number of each incarnation,
	// retired for those that a later one has replaced for good.
	sequences map[carobkeel.Incarnation]uint64
	// answered is the incarnation that last reported this holder's epoch, zero
	// if none did.
	answered carobkeel.Incarnation
	// stamp is from the last report, at when that was received.
	stamp Instant
	at    Instant
	// claimed says that the worker refuses every earlier epoch.
	claimed  bool
	capacity carobkeel.Resources
	// tasks are those placed on the worker.
	tasks map[carobkeel.TaskID]*task
	// strays are copies that run there and should not.
	strays []TaskRef
	// ended are the copies whose end the worker still reports.
	ended []TaskRef
}

// NewShard returns the state of a shard just acquired, from the rows of its
// jobs. Rows of jobs that have ended are passed over.
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
		Job:               job,
		sharePercent:      fullShare,
		durableGeneration: job.Generation,
		durablePlaced:     job.State.IsPlaced(),
	}
	s.tasks[t.Ref().Task] = t
	if t.State.IsPlaced() {
		t.inherited = true
		t.stopping = t.Cancelling
		s.view(t.Worker).tasks[t.Ref().Task] = t
		s.charge(t)
		return
	}
	if t.State == StateHeld {
		s.held[t.Ref().Task] = t
		return
	}
	s.enqueue(t)
}

// Submit takes in a job that is durable. A job that is known already is left
// as it is, and so is one that was placed before: the shard knew it when it did.
func (s *Shard) Submit(job Job) {
	if _, ok := s.tasks[job.Ref().Task]; ok || s.superseded {
		return
	}
	if job.State != StateQueued || job.Generation != 0 {
		return
	}
	s.load(job)
}

// Consume notes that an inbox row was taken in. Its key is part of a batch
// together with, or after, everything that the row asked for.
func (s *Shard) Consume(key string) { s.consumed = append(s.consumed, key) }

// Cancel ends a job: at once where no copy may be alive, else when its copy has
// ended. It returns an Error with CodeUnknownJob where the shard has no such
// job or it has ended.
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
		s.touch(t, false)
		return nil
	}
	s.apply(t, EventCancelled)
	return nil
}

// Hold sets a waiting job aside and tells its owner why.
func (s *Shard) Hold(id carobkeel.JobID, code carobkeel.Code, reason string) {
	t, ok := s.tasks[carobkeel.TaskID(id)]
	if !ok || !t.State.IsWaiting() {
		return
	}
	t.Reason, t.Code = reason, code
	s.apply(t, EventHeld)
}

// Release puts held jobs with the given code back into the queue, for instance
// those that fitted on no worker before the fleet changed.
func (s *Shard) Release(code carobkeel.Code) {
	for _, id := range sortedTasks(s.held) {
		if t := s.held[id]; t.Code == code {
			t.Reason, t.Code, t.FailedOn = "", carobkeel.CodeOK, nil
			s.apply(t, EventReleased)
		}
	}
}

// Waiting returns at most limit jobs that wait for a worker, in the order in
// which they should be placed. The caller places, holds or defers each of them.
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

// Defer puts a job that was returned by Waiting back, behind its owner's others.
func (s *Shard) Defer(id carobkeel.JobID) {
	if t, ok := s.tasks[carobkeel.TaskID(id)]; ok && t.State.IsWaiting() && !t.queued {
		s.enqueue(t)
	}
}

// Place claims the next generation of a waiting job for a worker. The start
// command is sent once the claim is durable. Checkpoint names the whole
// checkpoint to resume from, empty for none.
func (s *Shard) Place(now Instant, id carobkeel.JobID, to worker.ID, checkpoint string) error {
	t, ok := s.tasks[carobkeel.TaskID(id)]
	if !ok {
		return carobkeel.NewError(carobkeel.CodeUnknownJob, "shard %s has no unfinished job %s", s.id, id)
	}
	v := s.view(to)
	if !v.claimed || !s.isFresh(now, v) || s.superseded {
		return carobkeel.NewError(carobkeel.CodeHostFull, "worker %s has not reported", to)
	}
	if _, err := t.State.After(EventPlaced); err != nil {
		return err
	}
	t.Generation++
	t.Worker, t.Incarnation, t.Checkpoint = v.id, v.incarnation, checkpoint
	t.Reason, t.Code = "", carobkeel.CodeOK
	v.tasks[t.Ref().Task] = t
	s.charge(t)
	s.apply(t, EventPlaced)
	return nil
}

// Evict begins to take a task off its worker: by a checkpoint where it runs,
// then by a stop. It does nothing where the task has no copy.
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

// Throttle sets the share of its demand that a running task may use.
func (s *Shard) Throttle(id carobkeel.TaskID, sharePercent uint8) {
	t, ok := s.tasks[id]
	if !ok || sharePercent == 0 || sharePercent > fullShare {
		return
	}
	event := EventThrottled
	if sharePercent == fullShare {
		event = EventUnthrottled
	}
	if _, err := t.State.After(event); err == nil {
		s.apply(t, event)
	}
	if t.State == StateRunning || t.State == StateThrottled {
		t.sharePercent = sharePercent
	}
}

// IsSuperseded reports whether a worker has seen a later epoch. The holder then
// sends nothing more for the shard.
func (s *Shard) IsSuperseded() bool { return s.superseded }

// Job returns a job that has not ended.
func (s *Shard) Job(id carobkeel.JobID) (Job, bool) {
	if t, ok := s.tasks[carobkeel.TaskID(id)]; ok {
		return t.Job, true
	}
	return Job{}, false
}

// Freed returns the copies that have left their workers since the last call.
func (s *Shard) Freed() []Freed {
	freed := s.freed
	s.freed = nil
	return freed
}

// Placed returns the jobs that have a copy on the worker.
func (s *Shard) Placed(id worker.ID) []Job {
	v := s.view(id)
	jobs := make([]Job, 0, len(v.tasks))
	for _, taskID := range sortedTasks(v.tasks) {
		jobs = append(jobs, v.tasks[taskID].Job)
	}
	return jobs
}

// IsSilent reports whether nothing was heard of a worker for a grant's length.
func (s *Shard) IsSilent(now Instant, id worker.ID) bool {
	v, ok := s.workers[id]
	return !ok || !v.known || now.Sub(v.at) >= s.timing.Grant
}

// IsPressing reports whether a worker has to be told something before its next
// heartbeat is due.
func (s *Shard) IsPressing(id worker.ID) bool {
	v, ok := s.workers[id]
	if !ok || !v.claimed || len(v.strays) > 0 {
		return true
	}
	for _, t := range v.tasks {
		if t.stopping || t.State == StateCheckpointing || (!t.reported && t.isClaimDurable()) {
			return true
		}
	}
	return false
}

// Len returns the number of jobs that have not ended and of those that wait.
func (s *Shard) Len() (unfinished, waiting int) { return len(s.tasks), s.queue.length }

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

// charge adds a placed task to what its owner uses.
func (s *Shard) charge(t *task) {
	t.charged = t.Demand.DominantShare(s.capacity)
	s.queue.charge(t.Class, t.Owner, t.charged)
}

func (s *Shard) discharge(t *task) {
	s.queue.charge(t.Class, t.Owner, -t.charged)
	t.charged = 0
}

// apply changes a task's state by an event that its state allows and notes what
// has to be written.
func (s *Shard) apply(t *task, event Event) {
	next, err := t.State.After(event)
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
		s.touch(t, true)
	case next.IsWaiting():
		s.touch(t, before != StateHeld)
		s.enqueue(t)
	case event == EventPlaced:
		s.touch(t, true)
	case event == EventReported:
		s.touch(t, false)
	}
}
