// Package clock tells the time and waits, so that tests can put in a clock of
// their own.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and waits. Tests put in one of their own.
type Clock interface {
	Now() time.Time
	// Sleep returns ctx's error where ctx ends before d has passed.
	Sleep(ctx context.Context, d time.Duration) error
}

// System is the clock of the process.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	return Sleep(ctx, d)
}

// Sleep parks until d has passed, or returns ctx's error where ctx ends before.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
