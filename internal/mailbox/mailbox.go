// Package mailbox implements an unbounded lock-free queue with many senders and
// one receiver. Senders never block. The receiver takes all queued values at once
// and blocks while the queue is empty.
package mailbox

import (
	"context"
	"sync/atomic"
)

// Mailbox is a first-in, first-out queue of T. Use New.
type Mailbox[T any] struct {
	head   atomic.Pointer[node[T]]
	signal chan struct{}
}

type node[T any] struct {
	value T
	next  *node[T]
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] {
	return &Mailbox[T]{signal: make(chan struct{}, 1)}
}

// Push adds a value. It is safe for use by several goroutines.
func (m *Mailbox[T]) Push(value T) {
	n := &node[T]{value: value}
	for {
		old := m.head.Load()
		n.next = old
		if m.head.CompareAndSwap(old, n) {
			if old == nil {
				m.notify()
			}
			return
		}
	}
}

func (m *Mailbox[T]) notify() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// TryTake appends all queued values to into, oldest first, and returns it. Only
// the receiver may call it.
func (m *Mailbox[T]) TryTake(into []T) []T {
	n := m.head.Swap(nil)
	first := len(into)
	for ; n != nil; n = n.next {
		into = append(into, n.value)
	}
	reverse(into[first:])
	return into
}

// Take is like TryTake but blocks until there is a value or ctx ends.
func (m *Mailbox[T]) Take(ctx context.Context, into []T) ([]T, error) {
	first := len(into)
	for {
		into = m.TryTake(into)
		if len(into) > first {
			return into, nil
		}
		select {
		case <-m.signal:
		case <-ctx.Done():
			return into, ctx.Err()
		}
	}
}

// Signal returns a channel on which the receiver can wait together with other
// channels. A value on it means that the queue may not be empty.
func (m *Mailbox[T]) Signal() <-chan struct{} { return m.signal }

func reverse[T any](values []T) {
	for i, j := 0, len(values)-1; i < j; i, j = i+1, j-1 {
		values[i], values[j] = values[j], values[i]
	}
}
