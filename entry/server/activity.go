package server

import (
	"context"
	"sync/atomic"
)

// activity counts the requests that a server has accepted and not ended.
type activity struct {
	count atomic.Int64
	idle  chan struct{}
}

func (a *activity) begin() { a.count.Add(1) }

func (a *activity) end() {
	if a.count.Add(-1) > 0 {
		return
	}
	select {
	case a.idle <- struct{}{}:
	default:
	}
}

// wait blocks until there is no request or ctx ends.
func (a *activity) wait(ctx context.Context) error {
	for a.count.Load() > 0 {
		select {
		case <-a.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
