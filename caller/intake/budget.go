package intake

import "sync/atomic"

const (
	// smallBytes is the most that a client may hold and still use the part of the budget that is kept
	// for small requests. Clients that hold more use the rest only, so that large bodies leave room for
	// small ones.
	smallBytes = 16 << 10
	// reservedShare is the divisor that gives the part of the budget kept for small requests.
	reservedShare = 16
	// mostReserved of mostReservedOf equal parts of the budget are the most that one request takes at
	// once for what its body is decoded to.
	mostReserved, mostReservedOf = 3, 4
)

// Budget counts the bytes that clients have sent and nobody has taken yet. All methods are safe
// for use by several goroutines.
type Budget struct {
	capacity int64
	used     atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// Capacity returns the size of the budget in bytes.
func (b *Budget) Capacity() int64 { return b.capacity }

// MostReserved returns how many bytes one request may take at once for what its body is decoded to.
// It is so large that only one large body is decoded at a time, and leaves room for small ones.
func (b *Budget) MostReserved() int64 { return b.capacity / mostReservedOf * mostReserved }

// Used returns the number of bytes taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Take takes n more bytes for a client that holds some already, and reports whether the budget
// had them. A client that is the only one is always served, so that a single large request
// doesn't depend on the size of the budget.
func (b *Budget) Take(n, held int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.available(held+n) && used != held {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// available returns how many bytes of the budget may be used for a client that will hold the given
// number.
func (b *Budget) available(holds int64) int64 {
	if holds <= smallBytes {
		return b.capacity
	}
	return b.capacity - b.capacity/reservedShare
}

// Return gives n bytes back.
func (b *Budget) Return(n int64) { b.used.Add(-n) }
