package link

import "sync/atomic"

const (
	// MaxStreams is the maximum number of concurrent streams on one link.
	MaxStreams = 4096
	slotMask   = MaxStreams - 1
	slotBits   = 12
	// maxProbes bounds the search for a free slot.
	maxProbes = 64
)

// Streams is the lock-free table of the streams of one link. The low bits of a
// stream's number select its slot. A number is never reused on a link, so a
// delayed message can't reach a later stream in the same slot.
type Streams[T any] struct {
	slots [MaxStreams]atomic.Pointer[slot[T]]
	last  atomic.Uint64
	count atomic.Int64
}

type slot[T any] struct {
	number uint64
	value  *T
}

// Add stores value in a free slot and returns the stream's number. The second
// result is false if no slot was free within maxProbes tries.
func (s *Streams[T]) Add(value *T) (uint64, bool) {
	for range maxProbes {
		sequence := s.last.Add(1)
		number := sequence<<slotBits | (sequence & slotMask)
		if s.slots[number&slotMask].CompareAndSwap(nil, &slot[T]{number: number, value: value}) {
			s.count.Add(1)
			return number, true
		}
	}
	return 0, false
}

// Put adds a stream under a number assigned by the peer. It returns false if the
// slot is occupied.
func (s *Streams[T]) Put(number uint64, value *T) bool {
	if !s.slots[number&slotMask].CompareAndSwap(nil, &slot[T]{number: number, value: value}) {
		return false
	}
	s.count.Add(1)
	return true
}

// Get returns the stream with the number, or nil if it has ended.
func (s *Streams[T]) Get(number uint64) *T {
	current := s.slots[number&slotMask].Load()
	if current == nil || current.number != number {
		return nil
	}
	return current.value
}

// Remove ends the stream with the number. It returns false if it had
// already ended.
func (s *Streams[T]) Remove(number uint64) bool {
	slotPointer := &s.slots[number&slotMask]
	current := slotPointer.Load()
	if current == nil || current.number != number || !slotPointer.CompareAndSwap(current, nil) {
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
		if current := s.slots[i].Load(); current != nil {
			f(current.value)
		}
	}
}
