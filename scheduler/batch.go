package scheduler

import "github.com/carobkeel/carobkeel"

// markDirty records that a task's row has to be written: in the next batch if
// urgent, else when a batch has room.
func (s *Shard) markDirty(t *task, urgent bool) {
	t.changeSeq++
	if urgent && !t.inUrgentList {
		t.inUrgentList = true
		s.urgent = append(s.urgent, t.Ref().Task)
	}
	if !urgent && !t.inLazyList && !t.inUrgentList {
		t.inLazyList = true
		s.lazy = append(s.lazy, t.Ref().Task)
	}
}

// NextBatch returns the changes to write next, with at most limit job rows. The
// caller commits them conditional on the epoch row's version and then calls
// Committed; while the result is unknown it commits the same batch again. Only
// one batch is in flight at a time.
//
// The worker's next report repeats that a run is active, so this change is not
// urgent. It is written when a batch has room, or when lazy is true.
func (s *Shard) NextBatch(limit int, lazy bool) Batch {
	var b Batch
	b, s.urgent = s.fill(b, s.urgent, limit)
	if lazy || !b.IsEmpty() || len(s.consumed) > 0 {
		b, s.lazy = s.fill(b, s.lazy, limit)
	}
	// An inbox row is deleted together with the last of the changes it requested.
	if len(s.urgent) == 0 && len(s.lazy) == 0 {
		b.Consumed, s.consumed = s.consumed, nil
	}
	return b
}

// fill adds the jobs with the given ids to the batch and returns the ids for
// which it had no room.
func (s *Shard) fill(b Batch, ids []carobkeel.TaskID, limit int) (Batch, []carobkeel.TaskID) {
	for i, id := range ids {
		if len(b.Jobs) >= limit {
			return b, ids[i:]
		}
		t, ok := s.tasks[id]
		if !ok || t.batchedSeq == t.changeSeq {
			continue
		}
		t.inUrgentList, t.inLazyList = false, false
		t.batchedSeq = t.changeSeq
		b.Jobs = append(b.Jobs, t.Job)
		b.changeSeqs = append(b.changeSeqs, t.changeSeq)
	}
	return b, nil
}

// Committed records that a batch is durable.
func (s *Shard) Committed(b Batch) {
	for i := range b.Jobs {
		written := &b.Jobs[i]
		t, ok := s.tasks[written.Ref().Task]
		if !ok {
			continue
		}
		t.durableSeq = max(t.durableSeq, b.changeSeqs[i])
		t.durableRun = written.Run
		t.durablePlaced = written.State.IsPlaced()
		if t.State.IsFinal() && t.durableSeq == t.changeSeq {
			s.drop(t)
		}
	}
}

// drop removes a task whose end is durable.
func (s *Shard) drop(t *task) { delete(s.tasks, t.Ref().Task) }

// isClaimDurable reports whether the placement of the task's newest run is
// stored, so that its start command may be sent.
func (t *task) isClaimDurable() bool {
	return t.durablePlaced && t.durableRun == t.Run
}

// isEndDurable reports whether the end of the given run is stored, so that no
// holder will start it again.
func (t *task) isEndDurable(run uint64) bool {
	if t.durableRun != run {
		return t.durableRun > run
	}
	return !t.durablePlaced
}
