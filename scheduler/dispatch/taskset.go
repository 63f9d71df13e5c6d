package dispatch

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// taskSet holds the tasks of a step, so that neither its memory nor a round of placement grows with the
// tasks that wait. Only a task has a structure that runs or has run, has failed, has a checkpoint or was
// looked at. All others wait, since the same time, or are done, of which one bit is kept.
type taskSet struct {
	step  *stepState
	count int
	// since is when the tasks without a structure began to wait.
	since time.Duration
	// known are the tasks with a structure, in the order of their indexes, and running those of them that
	// have runs.
	known, running []*task
	// queue are the known tasks that wait, in the order of their waits.
	queue []*task
	// done has a bit for each task that is done. It is nil before the first one.
	done []uint64
	// untouched counts the tasks that wait and have no structure. There are none before first.
	untouched, first int
}

func newTaskSet(s *stepState, count int, now time.Duration) taskSet {
	return taskSet{step: s, count: count, since: now, untouched: count}
}

func compareIndex(t *task, index int) int { return cmp.Compare(t.index, index) }

// compareWait orders the tasks of a step by the start of their wait, and then by
// index.
func compareWait(a, b *task) int {
	return cmp.Or(cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.index, b.index))
}

// get returns a task, with a structure from now on.
func (s *taskSet) get(index int) *task {
	i, found := slices.BinarySearchFunc(s.known, index, compareIndex)
	if found {
		return s.known[i]
	}
	t := s.blank(index)
	s.known = slices.Insert(s.known, i, t)
	if !t.done {
		s.untouched--
		s.enqueue(t)
	}
	return t
}

// peek returns a task to look at. It is a copy if the task has no structure.
func (s *taskSet) peek(index int) *task {
	if i, found := slices.BinarySearchFunc(s.known, index, compareIndex); found {
		return s.known[i]
	}
	return s.blank(index)
}

func (s *taskSet) blank(index int) *task {
	return &task{step: s.step, index: index, waitingSince: s.since, done: s.isDone(index)}
}

const wordBits = 64

func (s *taskSet) isDone(index int) bool {
	return s.done != nil && s.done[index/wordBits]&(1<<(index%wordBits)) != 0
}

// setDone records that a task is done.
func (s *taskSet) setDone(t *task) {
	if s.done == nil {
		s.done = make([]uint64, (s.count+wordBits-1)/wordBits)
	}
	s.done[t.index/wordBits] |= 1 << (t.index % wordBits)
	t.done = true
	s.update(t)
}

// setDoneRange records that tasks are done, and returns how many of them were not. It is for steps whose
// progress is restored.
func (s *taskSet) setDoneRange(first, count int) int {
	added := 0
	for index := max(0, first); index < min(s.count, first+min(count, s.count)); index++ {
		if !s.isDone(index) {
			s.setDone(s.get(index))
			added++
		}
	}
	return added
}

// update keeps the order of waits and the list of running tasks after a change of a task's runs or of its
// end. A task that is done and has no runs loses its structure.
func (s *taskSet) update(t *task) {
	switch waits := t.isWaiting(); {
	case waits && !t.queued:
		s.enqueue(t)
	case !waits && t.queued:
		s.dequeue(t)
	}
	i, listed := slices.BinarySearchFunc(s.running, t.index, compareIndex)
	switch runs := len(t.runs) > 0; {
	case runs && !listed:
		s.running = slices.Insert(s.running, i, t)
	case !runs && listed:
		s.running = slices.Delete(s.running, i, i+1)
	}
	if t.done && len(t.runs) == 0 {
		s.drop(t)
	}
}

// drop removes the structure of a task that is done.
func (s *taskSet) drop(t *task) {
	if i, found := slices.BinarySearchFunc(s.known, t.index, compareIndex); found && s.known[i] == t {
		s.known = slices.Delete(s.known, i, i+1)
	}
}

func (s *taskSet) enqueue(t *task) {
	i, _ := slices.BinarySearchFunc(s.queue, t, compareWait)
	s.queue = slices.Insert(s.queue, i, t)
	t.queued = true
}

func (s *taskSet) dequeue(t *task) {
	t.queued = false
	switch i, found := slices.BinarySearchFunc(s.queue, t, compareWait); {
	case found && i == 0:
		s.queue[0] = nil
		s.queue = s.queue[1:]
	case found:
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// waiting returns how many tasks wait.
func (s *taskSet) waiting() int { return s.untouched + len(s.queue) }

// nextQueued returns the known task that waits and follows another one in the order of waits, the first one
// after nil, and nil after the last.
func (s *taskSet) nextQueued(after *task) *task {
	i := 0
	if after != nil {
		var found bool
		if i, found = slices.BinarySearchFunc(s.queue, after, compareWait); found {
			i++
		}
	}
	if i == len(s.queue) {
		return nil
	}
	return s.queue[i]
}

// nextUntouched returns the index of the task without a structure that waits and follows another one in the
// order of waits, and -1 after the last.
func (s *taskSet) nextUntouched(after *task) int {
	if s.untouched == 0 || (after != nil && after.waitingSince > s.since) {
		return -1
	}
	for s.first < s.count && !s.isUntouched(s.first) {
		s.first++
	}
	index := s.first
	if after != nil && after.waitingSince == s.since {
		index = max(index, after.index+1)
	}
	for index < s.count && !s.isUntouched(index) {
		index++
	}
	if index >= s.count {
		return -1
	}
	return index
}

func (s *taskSet) isUntouched(index int) bool {
	_, known := slices.BinarySearchFunc(s.known, index, compareIndex)
	return !known && !s.isDone(index)
}

// doneRanges calls visit for each range of consecutive tasks that are done.
func (s *taskSet) doneRanges(visit func(first, count int)) {
	for index := 0; index < len(s.done)*wordBits; {
		first := index + s.runLength(index, false)
		count := s.runLength(first, true)
		if count > 0 {
			visit(first, count)
		}
		index = first + count
	}
}

// runLength returns how many tasks from one on are all done, or all not done.
func (s *taskSet) runLength(from int, done bool) int {
	index := from
	for index < len(s.done)*wordBits {
		word := s.done[index/wordBits] >> (index % wordBits)
		if done {
			word = ^word
		}
		left := wordBits - index%wordBits
		if n := bits.TrailingZeros64(word); n < left {
			return index + n - from
		}
		index += left
	}
	return index - from
}
