package link

import "sync/atomic"

const (
	// MaxStreams is how many streams one link carries at once.
	MaxStreams = 4096
	slotMask   = MaxStreams - 1
	slotBits   = 12
	// probes bounds the search for a free slot.
	probes = 64
)

// Streams holds the streams of one link without locks. A stream's number names
// its slot in the low bits and is never used twice on a link, so that a late
// message can't reach the stream that has the slot now.
type Streams[T any] struct {
	slots [MaxStreams]atomic.Pointer[slot[T]]
	last  atomic.Uint64
	count atomic.Int64
}

type slot[T any] struct {
	number uint64
	value  *T
}

// Add takes a free slot for value and returns the stream's number. The second
// result is false where the table has no free slot nearby.
func (s *Streams[T]) Add(value *T) (uint64, bool) {
	for range probes {
		sequence := s.last.Add(1)
		number := sequence<<slotBits | (sequence & slotMask)
		if s.slots[number&slotMask].CompareAndSwap(nil, &slot[T]{number: number, value: value}) {
			s.count.Add(1)
			return number, true
		}
	}
	return 0, false
}

// Put enters a stream under the number that the peer gave it. It returns false
// where the slot is taken.
func (s *Streams[T]) Put(number uint64, value *T) bool {
	if !s.slots[number&slotMask].CompareAndSwap(nil, &slot[T]{number: number, value: value}) {
		return false
	}
	s.count.Add(1)
	return true
}

// Get returns the stream with the number, nil where it has ended.
func (s *Streams[T]) Get(number uint64) *T {
	held := s.slots[number&slotMask].Load()
	if held == nil || held.number != number {
		return nil
	}
	return held.value
}

// Remove ends the stream with the number. It returns false where it had ended.
func (s *Streams[T]) Remove(number uint64) bool {
	place := &s.slots[number&slotMask]
	held := place.Load()
	if held == nil || held.number != number || !place.CompareAndSwap(held, nil) {
		return false
	}
	s.count.Add(-1)
	return true
}

// Len returns the number of streams.
func (s *Streams[T]) Len() int { return int(s.count.Load()) }

// Each calls f for every stream.
func (s *Streams[T]) Each(f func(value *T)) {
	for i := range s.slots {
		if held := s.slots[i].Load(); held != nil {
			f(held.value)
		}
	}
}
