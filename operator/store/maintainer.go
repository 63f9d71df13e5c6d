package store

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
)

const (
	// StopAdvanceInterval is the time between two passes over planned stops.
	StopAdvanceInterval = 5 * time.Second
	// TrimInterval is the time between two trims of the change log. One trim
	// removes up to trimChanges, which is twice the number of changes in a day.
	TrimInterval = time.Minute
	// ChangeRetention is how long changes remain in the change log.
	ChangeRetention = 7 * 24 * time.Hour
)

// Maintainer periodically advances planned stops and trims the change log. It also
// caches the last known stops for readers, so that they remain available while
// the table service is down. Every entry runs a Maintainer, and the work continues
// as long as one of them runs.
type Maintainer struct {
	catalogue *Store
	stops     *Stops
	log       *log.Logger
	current   atomic.Pointer[[]operator.Stop]
}

// NewMaintainer returns a Maintainer that starts its work in Run.
func NewMaintainer(catalogue *Store, stops *Stops, logger *log.Logger) *Maintainer {
	u := &Maintainer{catalogue: catalogue, stops: stops, log: logger}
	u.current.Store(&[]operator.Stop{})
	return u
}

// Current returns the stops that were read last. The slice is shared and must
// not be modified.
func (u *Maintainer) Current() []operator.Stop { return *u.current.Load() }

// IsDraining reports whether a planned stop drains the location. It takes no
// lock and may be called on the path of a request.
func (u *Maintainer) IsDraining(at carobkeel.Location) bool {
	return operator.IsDraining(u.Current(), at)
}

// Run advances stops and trims the change log until ctx ends.
func (u *Maintainer) Run(ctx context.Context) {
	passes := time.NewTicker(StopAdvanceInterval)
	defer passes.Stop()
	trims := time.NewTicker(TrimInterval)
	defer trims.Stop()
	u.pass(ctx)
	for {
		select {
		case <-passes.C:
			u.pass(ctx)
		case <-trims.C:
			u.trim(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pass advances the stops once. It also caches the stops that were read if a
// step failed.
func (u *Maintainer) pass(ctx context.Context) {
	stops, err := u.stops.Advance(ctx)
	if err != nil {
		u.log.Warn().Err(err).Msg("advancing planned stops failed")
	}
	if err == nil || stops != nil {
		u.current.Store(&stops)
	}
}

func (u *Maintainer) trim(ctx context.Context) {
	if _, err := u.catalogue.Trim(ctx, u.catalogue.now().Add(-ChangeRetention)); err != nil {
		u.log.Warn().Err(err).Msg("trimming the change log failed")
	}
}
