package submission

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/holder"
)

// memoryRetryAfter is the least retry delay of a caller whose job has no room in the memory of the holder.
const memoryRetryAfter = 5 * time.Second

// BoundMemory has jobs refused while those that were accepted take all the memory that they may. Without it,
// none is refused for that.
func (s *Service) BoundMemory(memory func() holder.JobMemory) { s.memory = memory }

// checkMemory returns a refusal if the accepted jobs take all the memory that they may. A job that may be stored
// already is not refused.
func (s *Service) checkMemory(ctx context.Context, job *carobkeel.JobSpec) error {
	if s.memory == nil {
		return nil
	}
	m := s.memory()
	if !m.IsFull() || s.unsettled.contains(job.ID, time.Now()) || s.mayBeStored(ctx, job.ID) {
		return nil
	}
	s.metrics.memoryRefused.Inc(1)
	if skipped, ok := s.memoryRefusals.Allow(time.Now()); ok {
		s.log.Warn().Str("job", string(job.ID)).Int64("bytes", m.Used).Int64("limit", m.Limit).Int64("skipped", skipped).
			Msg("job refused: accepted jobs take all the memory that they may")
	}
	delay := memoryRetryAfter + time.Duration(retryJitter*rand.Float64()*float64(memoryRetryAfter))
	return carobkeel.NewError(carobkeel.CodeBacklog, "accepted jobs take %d bytes of memory, at most %d are allowed", m.Used, m.Limit).
		WithRetryAfter(delay)
}
