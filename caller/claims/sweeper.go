package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
)

const (
	// KeyRetention is how long a repeat of a key finds what became of it.
	KeyRetention = 24 * time.Hour
	// sweepInterval is the mean time between two sweeps of one process.
	sweepInterval = time.Minute
)

// RunSweeper removes claims older than KeyRetention, a part of them at a time,
// until ctx ends. Any number of processes may do so at once.
func (s *Store) RunSweeper(ctx context.Context, logger *log.Logger) {
	after := ""
	for {
		timer := time.NewTimer(sweepInterval/2 + rand.N(sweepInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		next, err := s.Sweep(ctx, after, time.Now().Add(-KeyRetention))
		if err != nil {
			logger.Debug().Err(err).Msg("claims not swept")
		}
		after = next
	}
}
