package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
)

const (
	// KeyRetention is the time for which the result of a request with an
	// idempotency key can be found by the key.
	KeyRetention = 24 * time.Hour
	// sweepInterval is the mean time between two sweeps by one process.
	sweepInterval = time.Minute
)

// RunSweeper deletes claims older than KeyRetention in batches until ctx ends. Any
// number of processes may run it at the same time.
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
			logger.Debug().Err(err).Msg("could not delete expired claims")
		}
		after = next
	}
}
