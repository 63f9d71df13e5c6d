package faulty

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/table"
)

// Table is a table.Table with faults. A call uses the faults that were set
// when it began.
type Table struct {
	inner table.Table
	clock clock.Clock
	seed  uint64
	calls atomic.Uint64
	state atomic.Pointer[state]
}

// state holds the faults and their rate limiters.
type state struct {
	faults        Faults
	writes, reads *rate.Limiter
}

// New wraps inner with no faults. The seed and the order of calls
// determine every random choice.
func New(inner table.Table, seed uint64, c clock.Clock) *Table {
	t := &Table{inner: inner, clock: c, seed: seed}
	t.state.Store(&state{})
	return t
}

// Set replaces the faults.
func (t *Table) Set(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	t.state.Store(&state{
		faults: f,
		writes: newLimiter(f.WritesPerSecond),
		reads:  newLimiter(f.ReadsPerSecond),
	})
	return nil
}

// Faults returns the present faults.
func (t *Table) Faults() Faults { return t.state.Load().faults }

// newLimiter returns a limiter with a burst of a tenth of a second, or nil for
// no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Get implements table.Table.
func (t *Table) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if err := t.beforeRead(ctx); err != nil {
		return table.Row{}, false, err
	}
	return t.inner.Get(ctx, key)
}

// Range implements table.Table.
func (t *Table) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := t.beforeRead(ctx); err != nil {
		return nil, err
	}
	return t.inner.Range(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (t *Table) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	s, random := t.state.Load(), t.random()
	if err := t.admit(s, s.writes); err != nil {
		return table.Outcome{}, err
	}
	if err := t.wait(ctx, s.faults, random); err != nil {
		return table.Outcome{}, errors.Wrap(table.ErrUnsettled, err.Error())
	}
	if happens(random, s.faults.LostRequests) {
		return table.Outcome{}, errors.Wrap(table.ErrUnsettled, "request lost")
	}
	if happens(random, s.faults.LateEffects) {
		go t.commitLate(context.WithoutCancel(ctx), txn, s.faults.LateBy)
		return table.Outcome{}, errors.Wrap(table.ErrUnsettled, "answer lost, effect to come")
	}
	if happens(random, s.faults.Conflicts) {
		t.compete(ctx, txn)
	}
	outcome, err := t.inner.Commit(ctx, txn)
	if err == nil && happens(random, s.faults.LostAnswers) {
		return table.Outcome{}, errors.Wrap(table.ErrUnsettled, "answer lost after the effect")
	}
	return outcome, err
}

// commitLate applies the transaction as if the network had delayed it. The
// outcome is not returned to the caller.
func (t *Table) commitLate(ctx context.Context, txn table.Transaction, after time.Duration) {
	if err := t.clock.Sleep(ctx, after); err != nil {
		return
	}
	_, _ = t.inner.Commit(ctx, txn)
}

// compete rewrites each row that txn has a condition on with its current value,
// so that the version of the row changes.
func (t *Table) compete(ctx context.Context, txn table.Transaction) {
	for _, condition := range txn.Conditions {
		row, ok, err := t.inner.Get(ctx, condition.Key)
		if err != nil || !ok {
			continue
		}
		// A competing write that fails has changed nothing.
		_, _ = t.inner.Commit(ctx, table.Transaction{
			ID:         table.NewTransactionID(),
			Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
			Writes:     []table.Write{{Key: row.Key, Value: row.Value}},
		})
	}
}

func (t *Table) beforeRead(ctx context.Context) error {
	s, random := t.state.Load(), t.random()
	if err := t.admit(s, s.reads); err != nil {
		return err
	}
	if err := t.wait(ctx, s.faults, random); err != nil {
		return errors.Wrap(table.ErrUnavailable, err.Error())
	}
	if happens(random, s.faults.LostAnswers) {
		return errors.Wrap(table.ErrUnavailable, "answer lost")
	}
	return nil
}

func (t *Table) admit(s *state, limiter *rate.Limiter) error {
	if s.faults.Down {
		return errors.Wrap(table.ErrUnavailable, "down")
	}
	if limiter != nil && !limiter.AllowN(t.clock.Now(), 1) {
		return errors.Wrap(table.ErrUnavailable, "limit of calls a second")
	}
	return nil
}

func (t *Table) wait(ctx context.Context, f Faults, random *rand.Rand) error {
	delay := f.Delay
	if f.Jitter > 0 {
		delay += time.Duration(random.Int64N(int64(f.Jitter)))
	}
	if delay == 0 {
		return nil
	}
	return t.clock.Sleep(ctx, delay)
}

// random returns the random source of the next call.
func (t *Table) random() *rand.Rand {
	return rand.New(rand.NewPCG(t.seed, t.calls.Add(1)))
}

func happens(random *rand.Rand, probability float64) bool {
	return probability > 0 && random.Float64() < probability
}
