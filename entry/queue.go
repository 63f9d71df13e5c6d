package entry

import (
	"container/heap"
	"time"

	"github.com/carobkeel/carobkeel"
)

// Waiting is a request that waits for a slot.
type Waiting struct {
	Class    carobkeel.Class
	Deadline time.Time
	// sequence keeps the order of arrival among equals.
	sequence uint64
}

// Queue orders waiting requests by class, then by deadline, then by arrival. It
// is for use by one goroutine.
type Queue[T any] struct {
	items queueItems[T]
	last  uint64
}

// Push adds a request with its value.
func (q *Queue[T]) Push(w Waiting, value T) {
	q.last++
	w.sequence = q.last
	heap.Push(&q.items, queueItem[T]{Waiting: w, value: value})
}

// Pop removes the first request. The second result is false where there is none.
func (q *Queue[T]) Pop() (T, bool) {
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	item := heap.Pop(&q.items).(queueItem[T])
	return item.value, true
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.items) }

type queueItem[T any] struct {
	Waiting
	value T
}

type queueItems[T any] []queueItem[T]

func (s queueItems[T]) Len() int      { return len(s) }
func (s queueItems[T]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s queueItems[T]) Less(i, j int) bool {
	a, b := s[i].Waiting, s[j].Waiting
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

func (s *queueItems[T]) Push(x any) { *s = append(*s, x.(queueItem[T])) }

func (s *queueItems[T]) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = queueItem[T]{}
	*s = old[:len(old)-1]
	return last
}
