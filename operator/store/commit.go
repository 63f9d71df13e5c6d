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
	// settleAttempts is how often a transaction with a lost answer is sent.
	settleAttempts = 4
	// settleTimeout bounds the settling of one transaction, also after the
	// operator who asked went away.
	settleTimeout = 5 * time.Second
	// baseBackoff and maxBackoff bound the pause before a repeat.
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// errUnsettled says that it stays unknown whether a transaction took effect.
var errUnsettled = errors.New("transaction not settled")

// Wait pauses before a repeat. The attempt counts from zero.
type Wait func(ctx context.Context, attempt int) error

// Backoff waits an exponentially growing time with full jitter.
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

// settler carries out transactions whose answers may be lost.
type settler struct {
	table table.Table
	wait  Wait
}

// commit carries out the transaction. The second result says whether it is
// known what became of it. An error says that it was never sent.
func (s *settler) commit(ctx context.Context, txn table.Transaction) (table.Outcome, bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	sent := false
	for attempt := range settleAttempts {
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

// commitMarked is commit for a transaction that writes a marker row of its own,
// which must be absent before, and whose fence condition never holds again once
// it failed. Where the answers stay lost it is settled by reading back. The
// fence is read before the marker: where the fence had moved by then and the
// marker is absent later, the transaction had no effect and can have none.
func (s *settler) commitMarked(ctx context.Context, txn table.Transaction, fence table.Condition, marker string) (table.Outcome, error) {
	outcome, known, err := s.commit(ctx, txn)
	if known {
		return outcome, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	fenceRow, _, err := s.table.Get(ctx, fence.Key)
	if err != nil {
		return table.Outcome{}, errUnsettled
	}
	markerRow, found, err := s.table.Get(ctx, marker)
	if err != nil {
		return table.Outcome{}, errUnsettled
	}
	if found {
		return table.Outcome{Conflicts: []table.Row{markerRow}}, nil
	}
	if fenceRow.Version != fence.Version {
		return table.Outcome{Conflicts: []table.Row{fenceRow}}, nil
	}
	return table.Outcome{}, errUnsettled
}

func unavailable(err error) *carobkeel.Error {
	return carobkeel.NewError(carobkeel.CodeStoreUnavailable, "%v", err).WithRetryAfter(time.Second)
}
