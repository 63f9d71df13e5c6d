package entry

import (
	"container/heap"
	"time"

	"github.com/carobkeel/carobkeel"
)

// QueuedRequest is a request that waits for a slot.
type QueuedRequest struct {
	// Share is the share of the request's owner and class.
	Share *Share
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Queue holds the requests that wait for a slot of one upstream. It is not safe
// for concurrent use; the goroutine that uses it must also call Limiter.Tick for
// its slots.
//
// A free slot goes to a share that runs fewer requests than its guaranteed share
// of the slots, then to the most urgent class, then to the share with the lowest
// usage, and within a share to the request with the earliest deadline. A request
// with less time left than it is expected to need is refused instead of started.
type Queue[T any] struct {
	slots    *Slots
	capacity int
	refuse   func(T, *carobkeel.Error)
	// shareQueues holds the shares that have waiting requests.
	shareQueues []*shareQueue[T]
	length      int
	// grants is the number of slots granted.
	grants uint64
	// lastSequence is the sequence number of the last item that was added.
	lastSequence uint64
}

// Item is one request in a queue.
type Item[T any] struct {
	QueuedRequest
	value T
	// sequence orders items with equal deadlines by arrival.
	sequence uint64
	// position is the item's index in its share's heap, -1 if it is not in one.
	position int
}

// shareQueue holds the waiting requests of one share.
type shareQueue[T any] struct {
	share *Share
	items itemHeap[T]
	// lastGrant is the number of the share's last grant. Of shares with equal
	// usage, the one with the older grant goes first.
	lastGrant uint64
}

// NewQueue returns a queue for at most capacity requests. refuse is called for
// each request that is refused, on arrival or while it waits; it is not called
// for one that Remove removes.
func NewQueue[T any](slots *Slots, capacity int, refuse func(T, *carobkeel.Error)) *Queue[T] {
	return &Queue[T]{slots: slots, capacity: capacity, refuse: refuse}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// LenOfClass returns the number of waiting requests of a class.
func (q *Queue[T]) LenOfClass(class carobkeel.Class) int {
	count := 0
	for _, each := range q.shareQueues {
		if each.share.Class == class {
			count += len(each.items)
		}
	}
	return count
}

// Push adds a request. It refuses the request and returns nil if its share's
// queue limit is reached, if it can't be served before its deadline, or if the
// queue is full and none of the other requests may be refused in its place.
func (q *Queue[T]) Push(w QueuedRequest, value T, now time.Time) *Item[T] {
	target := q.queueOf(w.Share)
	if !w.Share.mayQueue(len(target.items)) {
		q.refuse(value, carobkeel.NewError(carobkeel.CodeQueueFull, "as many requests of this owner and class wait as may"))
		return nil
	}
	if wait := q.expectedWait(target); now.Add(wait + w.Share.neededTime()).After(w.Deadline) {
		q.refuse(value, carobkeel.NewError(carobkeel.CodeOverloaded,
			"the wait of about %s leaves too little time", wait.Round(time.Millisecond)))
		return nil
	}
	if q.length >= q.capacity && !q.refuseOther(target) {
		q.refuse(value, carobkeel.NewError(carobkeel.CodeQueueFull, "the queue of %d is full", q.capacity))
		return nil
	}
	q.lastSequence++
	item := &Item[T]{QueuedRequest: w, value: value, sequence: q.lastSequence}
	if len(target.items) == 0 {
		q.shareQueues = append(q.shareQueues, target)
	}
	heap.Push(&target.items, item)
	q.length++
	return item
}

// queueOf returns the queue of the share, a new one if none of its requests wait.
func (q *Queue[T]) queueOf(share *Share) *shareQueue[T] {
	for _, each := range q.shareQueues {
		if each.share == share {
			return each
		}
	}
	return &shareQueue[T]{share: share, lastGrant: q.grants}
}

// Remove removes a request that no longer waits. It does nothing if the request
// has left the queue.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item.position < 0 {
		return
	}
	q.removeAt(q.queueOf(item.Share), item.position)
}

// Next takes a free slot for the next request and returns the request's value.
// The second result is false if no slot is free or no waiting request may take
// it. Requests with too little time left are refused on the way.
func (q *Queue[T]) Next(now time.Time) (T, bool) {
	for {
		next := q.nextQueue()
		if next == nil || !q.slots.TryAcquire(next.share) {
			var zero T
			return zero, false
		}
		item := q.removeAt(next, 0)
		if !now.Add(next.share.neededTime()).After(item.Deadline) {
			q.grants++
			next.lastGrant = q.grants
			return item.value, true
		}
		q.slots.Release(next.share, 0)
		q.refuse(item.value, timeoutError())
	}
}

func timeoutError() *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeTimeoutNotRun, "the request waited for a slot until too little time was left")
}

// Expire refuses the requests whose deadlines have passed.
func (q *Queue[T]) Expire(now time.Time) {
	for i := len(q.shareQueues) - 1; i >= 0; i-- {
		waiting := q.shareQueues[i]
		for len(waiting.items) > 0 && !waiting.items[0].Deadline.After(now) {
			q.refuse(q.removeAt(waiting, 0).value, timeoutError())
		}
	}
}

// removeAt removes the item at the position in a share's heap.
func (q *Queue[T]) removeAt(from *shareQueue[T], position int) *Item[T] {
	item := heap.Remove(&from.items, position).(*Item[T])
	q.length--
	if len(from.items) == 0 {
		q.removeQueue(from)
	}
	return item
}

func (q *Queue[T]) removeQueue(empty *shareQueue[T]) {
	for i, each := range q.shareQueues {
		if each == empty {
			q.shareQueues = append(q.shareQueues[:i], q.shareQueues[i+1:]...)
			return
		}
	}
}

// nextQueue returns the share's queue that gets the next slot, nil if no share
// may have it.
func (q *Queue[T]) nextQueue() *shareQueue[T] {
	var best *shareQueue[T]
	limit := q.slots.limit.Load()
	for _, each := range q.shareQueues {
		if each.share.isFull() {
			continue
		}
		if best == nil || each.precedes(best, limit) {
			best = each
		}
	}
	return best
}

func (l *shareQueue[T]) precedes(other *shareQueue[T], limit int64) bool {
	if below, otherBelow := l.share.isBelowGuaranteed(limit), other.share.isBelowGuaranteed(limit); below != otherBelow {
		return below
	}
	if l.share.Class != other.share.Class {
		return l.share.Class < other.share.Class
	}
	if usage, others := l.share.usage(), other.share.usage(); usage != others {
		return usage < others
	}
	if l.lastGrant != other.lastGrant {
		return l.lastGrant < other.lastGrant
	}
	return l.share.Owner < other.share.Owner
}

// itemHeap is a heap ordered by deadline, then by arrival.
type itemHeap[T any] []*Item[T]

func (s itemHeap[T]) Len() int { return len(s) }

func (s itemHeap[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].position, s[j].position = i, j
}

func (s itemHeap[T]) Less(i, j int) bool {
	if !s[i].Deadline.Equal(s[j].Deadline) {
		return s[i].Deadline.Before(s[j].Deadline)
	}
	return s[i].sequence < s[j].sequence
}

func (s *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.position = len(*s)
	*s = append(*s, item)
}

func (s *itemHeap[T]) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	last.position = -1
	return last
}
