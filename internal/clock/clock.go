// Package clock abstracts reading the time and sleeping, so that tests can
// substitute a clock of their own.
package clock

import (
	"context"
	"time"
)

// Clock reads the time and sleeps.
type Clock interface {
	Now() time.Time
	// Sleep waits for d. It returns ctx's error if ctx ends earlier.
	Sleep(ctx context.Context, d time.Duration) error
}

// System is the system clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	return Sleep(ctx, d)
}

// Sleep blocks until d has passed. It returns ctx's error if ctx ends earlier.
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
