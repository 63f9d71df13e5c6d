package scheduler

import "github.com/carobkeel/carobkeel"

// touch notes that a task's row has to be written, at once if urgent.
func (s *Shard) touch(t *task, urgent bool) {
	t.change++
	if urgent && !t.listedUrgent {
		t.listedUrgent = true
		s.urgent = append(s.urgent, t.Ref().Task)
	}
	if !urgent && !t.listedLazy && !t.listedUrgent {
		t.listedLazy = true
		s.lazy = append(s.lazy, t.Ref().Task)
	}
}

// NextBatch takes what has to be written next, at most limit rows. The caller
// commits it under the epoch row's version and then calls Committed, or commits
// the same batch again until it is settled. One batch is under way at a time.
//
// That a copy runs can be learnt from its worker again. It is written where a
// batch has room, or where the caller asks for it by lazy.
func (s *Shard) NextBatch(limit int, lazy bool) Batch {
	var b Batch
	b, s.urgent = s.fill(b, s.urgent, limit)
	if lazy || !b.IsEmpty() || len(s.consumed) > 0 {
		b, s.lazy = s.fill(b, s.lazy, limit)
	}
	// An inbox row goes with the last of the changes that it asked for.
	if len(s.urgent) == 0 && len(s.lazy) == 0 {
		b.Consumed, s.consumed = s.consumed, nil
	}
	return b
}

// fill moves ids into the batch and returns those for which there was no room.
func (s *Shard) fill(b Batch, ids []carobkeel.TaskID, limit int) (Batch, []carobkeel.TaskID) {
	for i, id := range ids {
		if len(b.Jobs) >= limit {
			return b, ids[i:]
		}
		t, ok := s.tasks[id]
		if !ok || t.taken == t.change {
			continue
		}
		t.listedUrgent, t.listedLazy = false, false
		t.taken = t.change
		b.Jobs = append(b.Jobs, t.Job)
		b.changes = append(b.changes, t.change)
	}
	return b, nil
}

// Committed takes in that a batch is durable.
func (s *Shard) Committed(b Batch) {
	for i := range b.Jobs {
		written := &b.Jobs[i]
		t, ok := s.tasks[written.Ref().Task]
		if !ok {
			continue
		}
		t.durable = max(t.durable, b.changes[i])
		t.durableGeneration = written.Generation
		t.durablePlaced = written.State.IsPlaced()
		if t.State.IsFinal() && t.durable == t.change {
			s.drop(t)
		}
	}
}

// drop forgets a task whose end is durable.
func (s *Shard) drop(t *task) { delete(s.tasks, t.Ref().Task) }

// isClaimDurable reports whether the placement of the task's newest copy may be
// acted on.
func (t *task) isClaimDurable() bool {
	return t.durablePlaced && t.durableGeneration == t.Generation
}

// isEndDurable reports whether the end of the given copy is written, so that no
// holder ever starts it again.
func (t *task) isEndDurable(generation uint64) bool {
	if t.durableGeneration != generation {
		return t.durableGeneration > generation
	}
	return !t.durablePlaced
}
