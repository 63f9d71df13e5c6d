package submission

import (
	"context"

	"github.com/carobkeel/carobkeel"
)

// Refuse returns what is true of a job whose submission is refused before it was read: nil if the
// holder knows the job by an earlier submission, and an error with an unknown outcome if this entry
// had no answer to one.
func (s *Service) Refuse(ctx context.Context, id carobkeel.JobID, refusal *carobkeel.Error) error {
	return s.checkEarlier(ctx, id, refusal)
}
