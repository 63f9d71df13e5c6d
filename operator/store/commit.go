package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// commitAttempts is how often a transaction is sent while its answers are
	// lost.
	commitAttempts = 4
	// commitTimeout is the time limit for all attempts of one transaction, and
	// for reading back an unknown outcome. It also applies after the operator
	// has disconnected.
	commitTimeout = 5 * time.Second
	// baseBackoff and maxBackoff are the upper bounds of the first and of the
	// longest pause before an attempt is repeated.
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// errOutcomeUnknown is returned if it remains unknown whether a transaction took
// effect.
var errOutcomeUnknown = errors.New("transaction outcome unknown")

// Wait pauses before an attempt is repeated. Attempts are counted from zero.
type Wait func(ctx context.Context, attempt int) error

// Backoff waits with exponential backoff and full jitter.
func Backoff(ctx context.Context, attempt int) error {
	ceiling := min(baseBackoff<<min(attempt, 10), maxBackoff)
	timer := time.NewTimer(rand.N(ceiling))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// committer commits transactions whose answers may be lost.
type committer struct {
	table table.Table
	wait  Wait
}

// commit sends the transaction, and sends it again if the answer is lost. The
// second result is false if the outcome remains unknown. An error means that the
// transaction was never sent.
func (s *committer) commit(ctx context.Context, txn table.Transaction) (table.Outcome, bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	sent := false
	for attempt := range commitAttempts {
		outcome, err := s.table.Commit(ctx, txn)
		if err == nil {
			return outcome, true, nil
		}
		if errors.Is(err, table.ErrUnavailable) && !sent {
			return table.Outcome{}, true, unavailable(err)
		}
		sent = sent || !errors.Is(err, table.ErrUnavailable)
		if s.wait(ctx, attempt) != nil {
			break
		}
	}
	return table.Outcome{}, false, nil
}

// commitMarked commits a transaction that writes its own marker row, which must
// be absent before, and whose fence condition never holds again once it has
// failed. If all answers are lost, it reads both rows back to determine the
// outcome. It reads the fence before the marker: if the fence has changed and
// the marker is still absent afterwards, the transaction had no effect and can
// no longer have one.
func (s *committer) commitMarked(ctx context.Context, txn table.Transaction, fence table.Condition, marker string) (table.Outcome, error) {
	outcome, known, err := s.commit(ctx, txn)
	if known {
		return outcome, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	fenceRow, _, err := s.table.Get(ctx, fence.Key)
	if err != nil {
		return table.Outcome{}, errOutcomeUnknown
	}
	markerRow, found, err := s.table.Get(ctx, marker)
	if err != nil {
		return table.Outcome{}, errOutcomeUnknown
	}
	if found {
		return table.Outcome{Conflicts: []table.Row{markerRow}}, nil
	}
	if fenceRow.Version != fence.Version {
		return table.Outcome{Conflicts: []table.Row{fenceRow}}, nil
	}
	return table.Outcome{}, errOutcomeUnknown
}

func unavailable(err error) *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err).WithRetryAfter(time.Second)
}
