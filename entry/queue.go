package entry

import (
	"container/heap"
	"time"

	"github.com/carobkeel/carobkeel"
)

// Waiting is a request that waits for a slot.
type Waiting struct {
	// Share is the owner and class that the request counts to.
	Share *Share
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Queue holds the requests that wait for a slot of one upstream. It is for use
// by one goroutine, which also ticks the limiter of its slots.
//
// A free slot goes to a share that runs less than its floor, then to the most
// urgent class, in it to the share that uses the least, and in that to the
// request with the earliest deadline. A request that has less time left than the
// service likely takes is refused in place of being started.
type Queue[T any] struct {
	slots  *Slots
	room   int
	refuse func(T, *carobkeel.Error)
	// lines holds the shares with waiting requests.
	lines  []*line[T]
	length int
	grants uint64
	last   uint64
}

// Item is one request in a queue.
type Item[T any] struct {
	Waiting
	value T
	// sequence keeps the order of arrival among equal deadlines.
	sequence uint64
	// position is the item's index in its line, -1 outside.
	position int
}

// line holds the waiting requests of one share.
type line[T any] struct {
	share *Share
	items items[T]
	// granted is the number of the last grant, for the order among equals.
	granted uint64
}

// NewQueue returns a queue for at most room requests. refuse is called with each
// request that leaves it without a slot.
func NewQueue[T any](slots *Slots, room int, refuse func(T, *carobkeel.Error)) *Queue[T] {
	return &Queue[T]{slots: slots, room: room, refuse: refuse}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// LenOf returns the number of waiting requests of the class.
func (q *Queue[T]) LenOf(class carobkeel.Class) int {
	count := 0
	for _, each := range q.lines {
		if each.share.Class == class {
			count += len(each.items)
		}
	}
	return count
}

// Push adds a request, or refuses it where it can't be served in time or the
// queue is full of requests that go before it. It returns nil for a refused one.
func (q *Queue[T]) Push(w Waiting, value T, now time.Time) *Item[T] {
	target := q.line(w.Share)
	if !w.Share.mayQueue(len(target.items)) {
		q.refuse(value, carobkeel.NewError(carobkeel.CodeQueueFull, "as many requests of this owner and class wait as may"))
		return nil
	}
	if wait := q.expectedWait(target); now.Add(wait + w.Share.neededTime()).After(w.Deadline) {
		q.refuse(value, carobkeel.NewError(carobkeel.CodeOverloaded,
			"the wait of about %s leaves too little time", wait.Round(time.Millisecond)))
		return nil
	}
	if q.length >= q.room && !q.makeRoom(target) {
		q.refuse(value, carobkeel.NewError(carobkeel.CodeQueueFull, "the queue of %d is full", q.room))
		return nil
	}
	q.last++
	item := &Item[T]{Waiting: w, value: value, sequence: q.last}
	if len(target.items) == 0 {
		q.lines = append(q.lines, target)
	}
	heap.Push(&target.items, item)
	q.length++
	return item
}

// line returns the line of the share, a new one where none waits.
func (q *Queue[T]) line(share *Share) *line[T] {
	for _, each := range q.lines {
		if each.share == share {
			return each
		}
	}
	return &line[T]{share: share, granted: q.grants}
}

// Remove takes out a request that no longer waits.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item.position < 0 {
		return
	}
	q.take(q.line(item.Share), item.position)
}

// Next gives a free slot to the request that is due and returns its value. The
// second result is false where no slot is free or nothing that waits may take
// it.
func (q *Queue[T]) Next(now time.Time) (T, bool) {
	for {
		best := q.due()
		if best == nil || !q.slots.TryTake(best.share) {
			var none T
			return none, false
		}
		item := q.take(best, 0)
		if !now.Add(best.share.neededTime()).After(item.Deadline) {
			q.grants++
			best.granted = q.grants
			return item.value, true
		}
		q.slots.Release(best.share, 0)
		q.refuse(item.value, outOfTime())
	}
}

func outOfTime() *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeTimeoutNotRun, "the request waited for a slot until too little time was left")
}

// Expire refuses the requests whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) {
	for i := len(q.lines) - 1; i >= 0; i-- {
		held := q.lines[i]
		for len(held.items) > 0 && !held.items[0].Deadline.After(now) {
			q.refuse(q.take(held, 0).value, outOfTime())
		}
	}
}

// take removes the item at the position of a line.
func (q *Queue[T]) take(from *line[T], position int) *Item[T] {
	item := heap.Remove(&from.items, position).(*Item[T])
	q.length--
	if len(from.items) == 0 {
		q.drop(from)
	}
	return item
}

func (q *Queue[T]) drop(empty *line[T]) {
	for i, each := range q.lines {
		if each == empty {
			q.lines = append(q.lines[:i], q.lines[i+1:]...)
			return
		}
	}
}

// due returns the line that the next slot goes to, nil where none may have it.
func (q *Queue[T]) due() *line[T] {
	var best *line[T]
	limit := q.slots.limit.Load()
	for _, each := range q.lines {
		if each.share.isFull() {
			continue
		}
		if best == nil || each.goesBefore(best, limit) {
			best = each
		}
	}
	return best
}

func (l *line[T]) goesBefore(other *line[T], limit int64) bool {
	if below, otherBelow := l.share.isBelowFloor(limit), other.share.isBelowFloor(limit); below != otherBelow {
		return below
	}
	if l.share.Class != other.share.Class {
		return l.share.Class < other.share.Class
	}
	if usage, others := l.share.usage(), other.share.usage(); usage != others {
		return usage < others
	}
	if l.granted != other.granted {
		return l.granted < other.granted
	}
	return l.share.Owner < other.share.Owner
}

// items is a heap by deadline, then by arrival.
type items[T any] []*Item[T]

func (s items[T]) Len() int { return len(s) }

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].position, s[j].position = i, j
}

func (s items[T]) Less(i, j int) bool {
	if !s[i].Deadline.Equal(s[j].Deadline) {
		return s[i].Deadline.Before(s[j].Deadline)
	}
	return s[i].sequence < s[j].sequence
}

func (s *items[T]) Push(x any) {
	item := x.(*Item[T])
	item.position = len(*s)
	*s = append(*s, item)
}

func (s *items[T]) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	last.position = -1
	return last
}
