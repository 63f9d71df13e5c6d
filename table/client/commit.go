package client

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
)

// Commit implements table.Table. It settles the transaction: ErrUnsettled means
// that the time ran out before its effect was known, and the caller may repeat
// it with the same id through this client. An outcome that is not applied is
// final.
func (v *view) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	return v.settle(ctx, txn, false)
}

// settle is Commit; budgetTaken reports that the budget of the first attempt has
// already been taken.
func (v *view) settle(ctx context.Context, txn table.Transaction, budgetTaken bool) (table.Outcome, error) {
	c, begin := v.client, time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	entry, err := c.unsettled.begin(txn.ID, begin)
	if err != nil {
		return table.Outcome{}, err
	}
	defer func() { c.metrics.recordCommit(v.purpose, time.Since(begin)) }()
	settler := &settler{view: v, txn: txn, since: entry.since, budgetTaken: budgetTaken, delays: c.newBackoff()}
	state, action := settler.run(ctx, entry.state)
	c.unsettled.end(txn.ID, unsettledEntry{state: state, since: entry.since}, action == table.ReportUnsettled)
	c.generation.Add(1)
	return settler.report(action)
}

// settler executes the actions of one table.Settlement.
type settler struct {
	view *view
	txn  table.Transaction
	// since is the start of the first call for the transaction.
	since time.Time
	// budgetTaken reports that the budget of the next attempt has been taken.
	budgetTaken bool
	delays      *backoff.ExponentialBackOff
	outcome     table.Outcome
	// refused is the service's last answer to the transaction itself.
	refused table.Outcome
	// err is the last failure.
	err error
	// rejected reports that a retry would fail with err again.
	rejected bool
}

func (s *settler) run(ctx context.Context, state table.Settlement) (table.Settlement, table.SettlementAction) {
	action := state.Start()
	for !action.IsReport() {
		event, failed := s.perform(ctx, action)
		state, action = state.Next(event)
		if s.rejected || (failed && clock.Sleep(ctx, s.delays.NextBackOff()) != nil) {
			state, action = state.Next(table.DeadlinePassed)
		}
	}
	return state, action
}

// perform executes one action. The second result reports that it failed.
func (s *settler) perform(ctx context.Context, action table.SettlementAction) (table.SettlementEvent, bool) {
	switch action {
	case table.SendFence:
		return s.sendFence(ctx)
	case table.ReadFenceRow:
		return s.readFenceRow(ctx)
	}
	return s.sendCommit(ctx)
}

func (s *settler) sendCommit(ctx context.Context) (table.SettlementEvent, bool) {
	limiter := s.view.client.budgets[s.view.purpose].writes
	if s.budgetTaken {
		limiter, s.budgetTaken = unlimited, false
	}
	outcome, err := s.view.client.commitOnce(ctx, limiter, s.txn)
	s.err = err
	if errors.Is(err, table.ErrUnavailable) {
		return table.CommitNotSent, true
	}
	if errors.Is(err, table.ErrInvalid) {
		s.rejected = true
		return table.CommitNotSent, true
	}
	if err != nil { // with an unknown kind of error the effect is not known either
		s.view.client.metrics.LostAnswers.Inc(1)
		return table.CommitLost, true
	}
	s.outcome = outcome
	if outcome.Applied {
		return table.CommitApplied, false
	}
	s.refused = outcome
	if table.IsPermanentRefusal(s.txn, outcome) {
		return table.CommitRefusedPermanently, false
	}
	return table.CommitRefused, false
}

func (s *settler) sendFence(ctx context.Context) (table.SettlementEvent, bool) {
	s.view.client.metrics.Fences.Inc(1)
	outcome, err := s.view.client.commitOnce(ctx, s.view.client.settlingWrites(), table.Fence(s.txn.ID, time.Now()))
	s.err = err
	if err != nil {
		return table.FenceFailed, true
	}
	s.outcome = outcome
	return table.FenceApplied, false
}

// readFenceRow bypasses the coalescing of reads: the read must begin after the
// fence.
func (s *settler) readFenceRow(ctx context.Context) (table.SettlementEvent, bool) {
	key := table.FenceKey(s.txn.ID)
	settling := &view{client: s.view.client, purpose: table.PurposeSettlement}
	result, err := readOnce(ctx, settling, func(ctx context.Context) (readResult, error) {
		row, ok, err := s.view.client.raw.Get(ctx, key)
		return readResult{row: row, ok: ok}, err
	})
	s.err = err
	if err != nil {
		return table.ReadFailed, true
	}
	if result.ok {
		return table.FenceRowFound, false
	}
	if elapsed(s.since, time.Now()) > table.FenceRowValidity {
		return table.DeadlinePassed, false // the row may have been swept
	}
	return table.FenceRowAbsent, false
}

// elapsed returns the greater of the times elapsed by the monotonic clock and by
// the wall clock: the monotonic clock stops while a machine is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// report returns the outcome or error for the last action.
func (s *settler) report(action table.SettlementAction) (table.Outcome, error) {
	metrics := s.view.client.metrics
	switch action {
	case table.ReportApplied:
		metrics.Applied.Inc(1)
		return s.outcome, nil
	case table.ReportFenced:
		metrics.Refused.Inc(1)
		s.deleteFenceRow()
		return s.refused, nil
	case table.ReportRefused:
		metrics.Refused.Inc(1)
		return s.refused, nil
	case table.ReportUnavailable:
		metrics.Unavailable.Inc(1)
		return table.Outcome{}, s.err
	}
	metrics.Unsettled.Inc(1)
	return table.Outcome{}, errors.Wrapf(table.ErrUnsettled, "transaction %s: %v", s.txn.ID, s.err)
}

// deleteFenceRow deletes the fence row once the outcome is known. The caller
// does not wait for it; a row that remains is harmless.
func (s *settler) deleteFenceRow() {
	c := s.view.client
	drop := table.Transaction{
		ID:     table.NewTransactionID(),
		Writes: []table.Write{{Key: table.FenceKey(s.txn.ID), Delete: true}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.config.Timeout)
		defer cancel()
		delays := c.newBackoff()
		for {
			_, err := c.commitOnce(ctx, c.settlingWrites(), drop)
			if err == nil || clock.Sleep(ctx, delays.NextBackOff()) != nil {
				return
			}
		}
	}()
}

// unlimited is used for attempts whose budget has already been taken.
var unlimited = rate.NewLimiter(rate.Inf, 0)

func (c *Client) settlingWrites() *rate.Limiter { return c.budgets[table.PurposeSettlement].writes }

func (c *Client) commitOnce(ctx context.Context, limiter *rate.Limiter, txn table.Transaction) (table.Outcome, error) {
	done, err := c.admit(ctx, limiter, c.commits)
	if err != nil {
		return table.Outcome{}, err
	}
	attempt, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	c.metrics.CommitCalls.Inc(1)
	outcome, err := c.raw.Commit(attempt, txn)
	done(breakerResult(ctx, err))
	return outcome, err
}
