package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/interference"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Progress is the durable record of a job's progress.
type Progress struct {
	Job   carobkeel.JobID
	State carobkeel.JobState
	// DoneUpTo is the number of the first occurrences whose tasks are all done.
	DoneUpTo int
	// Tasks lists the tasks of later occurrences that are done, have failed runs or have saved
	// a checkpoint, in the order of their names.
	Tasks []TaskProgress
}

// TaskProgress is the durable record of one task, or of several that are done.
type TaskProgress struct {
	Task carobkeel.TaskName
	Done bool
	// Count is the number of tasks that are done, in the order of their indexes from Task on, zero for one.
	Count int
	// FailedRuns holds the numbers of the runs that failed.
	FailedRuns []int
	Checkpoint string
}

// Batch is a set of records to store in one transaction, with the revisions and
// states that become effective once it is stored.
type Batch struct {
	Progress []Progress
	Workers  []WorkerRecord
	// Ended are records of worker incarnations that are rewritten as ended.
	Ended []WorkerRecord
	// Forgotten are worker incarnations whose records are not needed any more.
	Forgotten []runs.Incarnation
	// Expired are jobs whose records are removed.
	Expired []carobkeel.JobID
	// Marks are the cancellations of unknown jobs that are removed.
	Marks []CancelMark
	// Interference holds the interference model's records of images, empty if they
	// are not due. They are only stored together with other records.
	Interference []interference.ImageRecord
	// revisions holds the revision of each job in the batch.
	revisions map[carobkeel.JobID]uint64
	states    map[carobkeel.JobID]carobkeel.JobState
}

// BatchLimit bounds a batch to what the table service accepts in one transaction.
type BatchLimit struct {
	// Entries bounds the total number of writes and of conditions on rows, with one row
	// for a job's progress.
	Entries int
	// Bytes bounds the total size of the values. The last record may exceed it: the
	// progress of a large job does not fit in any transaction.
	Bytes int
	// Single restricts the batch to one record.
	Single bool
	// taken reports that the batch has a record.
	taken bool
}

// Entries of a transaction that a record uses. The record of a job needs a
// condition and a write. An expired job needs a condition and the deletion of
// three rows.
const (
	progressEntries = 2
	workerEntries   = 1
	expiredEntries  = 4
	learnedEntries  = 1
)

// Upper bounds of the encoded size of records.
const (
	progressBytes     = 64 // for a job without tasks
	taskProgressBytes = 64
	workerBytes       = 256
	learnedBytes      = 64 << 10
)

// take subtracts the needs of a record from the limit, and reports whether the record may
// be taken.
func (l *BatchLimit) take(entries, bytes int) bool {
	if l.Entries < entries || l.Bytes <= 0 || (l.Single && l.taken) {
		return false
	}
	l.taken = true
	l.Entries -= entries
	l.Bytes -= bytes
	return true
}

func (c *Core) markDirty(j *job) {
	j.revision++
	j.storeBy = c.now.Monotonic
	c.dirty[j.spec.ID] = j
}

// Urgent reports whether a caller or a worker waits for records to be stored.
func (c *Core) Urgent() bool {
	for _, j := range c.dirty {
		if c.isFinal(j) {
			return true
		}
	}
	return len(c.workersToRecord) > 0
}

// HasBatch reports whether there are records to store.
func (c *Core) HasBatch() bool {
	return len(c.workersToRecord)+len(c.recordsToEnd)+len(c.incarnationsToForget) > 0 || c.hasDueProgress() || c.hasExpired() || c.hasExpiredMarks()
}

// maxStartDelay is how long the start of a job may wait for other records to be stored with. A
// count of waiting jobs may be 2 s old.
const maxStartDelay = time.Second

// hasDueProgress reports whether there is progress of a job that is to be stored now.
func (c *Core) hasDueProgress() bool {
	for _, j := range c.dirty {
		if c.now.Monotonic >= j.storeBy {
			return true
		}
	}
	return false
}

// NextBatch returns records within a limit, first those that callers and
// workers wait for. The batch must be passed to BatchStored or BatchFailed before the
// next one is taken.
func (c *Core) NextBatch(limit BatchLimit) Batch {
	b := Batch{
		revisions: make(map[carobkeel.JobID]uint64),
		states:    make(map[carobkeel.JobID]carobkeel.JobState),
	}
	for len(c.workersToRecord) > 0 && limit.take(workerEntries, workerBytes) {
		b.Workers = append(b.Workers, c.workersToRecord[0])
		c.workersToRecord = c.workersToRecord[1:]
	}
	c.addReplaced(&b, &limit)
	c.addProgress(&b, &limit)
	for len(c.recordsToEnd) > 0 && limit.take(workerEntries, workerBytes) {
		b.Ended = append(b.Ended, c.recordsToEnd[0])
		c.recordsToEnd = c.recordsToEnd[1:]
	}
	for len(c.incarnationsToForget) > 0 && limit.take(workerEntries, workerBytes) {
		if incarnation := c.incarnationsToForget[0]; !b.hasRecordOf(incarnation) {
			b.Forgotten = append(b.Forgotten, incarnation)
		}
		c.incarnationsToForget = c.incarnationsToForget[1:]
	}
	c.addExpired(&b, &limit)
	c.addExpiredMarks(&b, &limit)
	c.addLearned(&b, &limit)
	return b
}

// addProgress adds the records of jobs that have changed, first those of jobs
// that have ended.
func (c *Core) addProgress(b *Batch, limit *BatchLimit) {
	for _, final := range []bool{true, false} {
		for id, j := range c.dirty {
			wasRejected := j.rejectedUntil > 0
			if c.isFinal(j) != final || c.now.Monotonic < j.rejectedUntil || (wasRejected && limit.taken) {
				continue
			}
			p := j.progress()
			if !limit.take(progressEntries, progressBytes+taskProgressBytes*len(p.Tasks)) {
				continue
			}
			limit.Single = limit.Single || wasRejected // no other record waits for it once more
			b.Progress = append(b.Progress, p)
			b.revisions[id] = j.revision
			b.states[id] = j.state()
		}
	}
}

// hasRecordOf reports whether the batch writes a record of a worker
// incarnation.
func (b *Batch) hasRecordOf(incarnation runs.Incarnation) bool {
	return containsIncarnation(b.Workers, incarnation)
}

// Len returns the number of records in the batch that are due.
func (b *Batch) Len() int {
	return len(b.Progress) + len(b.Workers) + len(b.Ended) + len(b.Forgotten) + len(b.Expired) + len(b.Marks)
}

// BatchStored records that a batch is durable, and makes the states in it visible to
// callers.
func (c *Core) BatchStored(b Batch) {
	for id, revision := range b.revisions {
		c.recordStored(id, b.states[id], revision)
		j := c.jobs[id]
		j.storedRevision, j.rejectedUntil = revision, 0
		if j.revision == revision {
			delete(c.dirty, id)
		}
		if state := b.states[id]; state != j.visibleState && !j.visibleState.IsFinal() {
			c.publishState(j, state)
		}
	}
	c.confirmIncarnations(b)
	c.forgetJobs(b.Expired)
	for _, mark := range b.Marks {
		c.marks.remove(mark)
	}
}

// pendingEnd is an end that has not been acknowledged yet.
type pendingEnd struct {
	number uint64
	// job is the job of the ended run, nil if it is unknown, and revision is
	// the job's revision that includes the effect of the end.
	job      *job
	revision uint64
}

// acknowledgeEnds lets workers discard the ends whose effects are durable.
func (c *Core) acknowledgeEnds() {
	for _, w := range c.workers {
		before := w.acknowledged
		for len(w.pendingEnds) > 0 && w.pendingEnds[0].isStored() {
			w.acknowledged = w.pendingEnds[0].number
			w.pendingEnds = w.pendingEnds[1:]
		}
		if w.acknowledged > before {
			c.orderAcknowledge(w)
		}
	}
}

// orderAcknowledge tells the sidecar up to which number the worker's ends are stored.
func (c *Core) orderAcknowledge(w *workerState) {
	c.order(w, Order{Kind: OrderAcknowledge, Acknowledged: w.acknowledged})
	c.recordAcknowledged(w)
}

func (e *pendingEnd) isStored() bool { return e.job == nil || e.job.storedRevision >= e.revision }

// BatchFailed records that a batch was not stored. Its records are kept for the
// next batch.
func (c *Core) BatchFailed(b Batch) {
	recorded := withoutPending(c, b.Workers, incarnationOf)
	ended := withoutPending(c, b.Ended, incarnationOf)
	forgotten := withoutPending(c, b.Forgotten, func(i runs.Incarnation) runs.Incarnation { return i })
	forgotten = slices.DeleteFunc(forgotten, c.isEnded) // they are removed with the records that replace them
	c.workersToRecord = append(recorded, c.workersToRecord...)
	c.recordsToEnd = append(ended, c.recordsToEnd...)
	c.incarnationsToForget = append(forgotten, c.incarnationsToForget...)
	c.marks.order = append(b.Marks, c.marks.order...)
}

// rejectedPause is how long a job's progress that the table service has rejected is not
// offered to it again.
const rejectedPause = 10 * time.Second

// BatchRejected records that the table service rejects a batch of one record. The record
// of a worker is dropped, so that nothing starts there. The progress of a job stays
// unstored, and its ends unacknowledged.
func (c *Core) BatchRejected(b Batch) {
	for id := range b.revisions {
		c.jobs[id].rejectedUntil = c.now.Monotonic + rejectedPause
	}
	c.confirmIncarnations(Batch{Forgotten: b.Forgotten})
	c.forgetJobs(b.Expired)
	for _, mark := range b.Marks {
		c.marks.remove(mark)
	}
}

func (j *job) progress() Progress {
	p := Progress{Job: j.spec.ID, State: j.state()}
	if p.State.IsFinal() {
		return p
	}
	p.DoneUpTo = j.doneUpTo
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			p.Tasks = append(p.Tasks, s.progress()...)
		}
	}
	return p
}

// progress returns the progress of the step's tasks, in the order of their indexes.
func (s *stepState) progress() []TaskProgress {
	name := carobkeel.TaskName{Job: s.occurrence.job.spec.ID, Occurrence: s.occurrence.index, Step: s.index}
	var tasks []TaskProgress
	s.tasks.doneRanges(func(first, count int) {
		name.Index = first
		p := TaskProgress{Task: name, Done: true}
		if count > 1 {
			p.Count = count
		}
		tasks = append(tasks, p)
	})
	for _, t := range s.tasks.known {
		if !t.done && (len(t.failedRuns) > 0 || t.checkpoint != "") {
			tasks = append(tasks, TaskProgress{Task: t.name(), FailedRuns: slices.Clone(t.failedRuns), Checkpoint: t.checkpoint})
		}
	}
	slices.SortFunc(tasks, func(a, b TaskProgress) int { return cmp.Compare(a.Task.Index, b.Task.Index) })
	return tasks
}

// Restore applies the stored progress of a job that was added before.
func (c *Core) Restore(p Progress) {
	j := c.jobs[p.Job]
	if j == nil {
		return
	}
	j.cancelled = j.cancelled || p.State == carobkeel.JobCancelled
	j.failed = p.State == carobkeel.JobFailed
	j.hasStarted = p.State != carobkeel.JobPending
	if p.State == carobkeel.JobCompleted {
		j.completeAll()
	}
	j.restoreDone(p.DoneUpTo)
	for _, tp := range p.Tasks {
		c.restoreTask(j, &tp)
	}
	if c.isFinal(j) {
		c.recordEnded(j)
	}
	c.publishState(j, p.State)
}

// restoreTask applies the stored progress of a task, or of several that are done.
func (c *Core) restoreTask(j *job, p *TaskProgress) {
	t := c.task(p.Task)
	switch {
	case t == nil:
	case p.Done:
		done := t.step.tasks.setDoneRange(p.Task.Index, max(1, p.Count))
		t.step.done += done
		j.remaining -= done
	default:
		t.failedRuns, t.checkpoint = p.FailedRuns, p.Checkpoint
	}
}

// completeAll marks all tasks as done, for a job that is stored as completed.
func (j *job) completeAll() {
	j.remaining = 0
	if j.spec.Repeats > 0 {
		j.occurrences, j.doneUpTo = nil, j.spec.Occurrences()
		return
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.done = s.tasks.count
			s.tasks.setDoneRange(0, s.tasks.count)
		}
	}
}
