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
	// StopInterval is the time between two passes over planned stops.
	StopInterval = 5 * time.Second
	// TrimInterval is the time between two trims of the log of changes. One trim
	// removes up to trimChanges, twice as many as a day's changes come to.
	TrimInterval = time.Minute
	// ChangeRetention is how long changes stay in the log.
	ChangeRetention = 7 * 24 * time.Hour
)

// Upkeep carries planned stops on, trims the log of changes, and keeps the last
// known stops for readers, also while the table service is down. Every entry
// runs one; none of them has to live.
type Upkeep struct {
	catalogue *Store
	stops     *Stops
	log       *log.Logger
	current   atomic.Pointer[[]operator.Stop]
}

// NewUpkeep returns an upkeep. It does nothing before Run.
func NewUpkeep(catalogue *Store, stops *Stops, logger *log.Logger) *Upkeep {
	u := &Upkeep{catalogue: catalogue, stops: stops, log: logger}
	u.current.Store(&[]operator.Stop{})
	return u
}

// Current returns the stops that were read last. The slice is shared and must
// not be written.
func (u *Upkeep) Current() []operator.Stop { return *u.current.Load() }

// IsDraining reports whether a planned stop takes the location out of use. It
// takes no lock and may be called on the path of a request.
func (u *Upkeep) IsDraining(at carobkeel.Location) bool {
	return operator.IsDraining(u.Current(), at)
}

// Run works until ctx ends.
func (u *Upkeep) Run(ctx context.Context) {
	passes := time.NewTicker(StopInterval)
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

// pass carries stops on. What was read stands also where a step failed.
func (u *Upkeep) pass(ctx context.Context) {
	stops, err := u.stops.Advance(ctx)
	if err != nil {
		u.log.Warn().Err(err).Msg("planned stops could not be carried on")
	}
	if err == nil || stops != nil {
		u.current.Store(&stops)
	}
}

func (u *Upkeep) trim(ctx context.Context) {
	if _, err := u.catalogue.Trim(ctx, u.catalogue.now().Add(-ChangeRetention)); err != nil {
		u.log.Warn().Err(err).Msg("the log of changes could not be trimmed")
	}
}
