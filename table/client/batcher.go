package client

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/mailbox"
	"github.com/carobkeel/carobkeel/table"
)

// BatcherConfig is the settings of a Batcher.
type BatcherConfig struct {
	// Limits holds the maximum size of one transaction.
	Limits table.BatchLimits
	// Parallel is the maximum number of concurrent transactions.
	Parallel int
	// MaxPending is the maximum number of queued and running changes.
	MaxPending int64
}

// DefaultBatcherConfig returns the settings for claims of tasks.
func DefaultBatcherConfig() BatcherConfig {
	return BatcherConfig{
		Limits:     table.BatchLimits{Changes: 128, Rows: 512, Bytes: 256 << 10},
		Parallel:   4,
		MaxPending: 16_384,
	}
}

// Batcher commits independent changes in shared transactions. Changes are queued
// only while other transactions run, so batching adds no delay when it is idle.
type Batcher struct {
	client  *Client
	purpose table.Purpose
	config  BatcherConfig
	arrived *mailbox.Mailbox[*pendingChange]
	pending atomic.Int64
	stopped chan struct{}
}

// changeState records whether a change may still be withdrawn.
type changeState = uint32

const (
	// changeWaiting means that the caller may withdraw the change.
	changeWaiting changeState = iota
	// changeTaken means that the change is part of a transaction.
	changeTaken
	// changeWithdrawn means that the caller withdrew the change.
	changeWithdrawn
)

// pendingChange is a change with the channel on which its caller waits.
type pendingChange struct {
	change table.Change
	state  atomic.Uint32
	answer chan changeAnswer
}

type changeAnswer struct {
	outcome table.Outcome
	err     error
}

// NewBatcher returns a batcher that commits through c, within the budget of the
// purpose. Changes are sent only while Run is executing.
func NewBatcher(c *Client, purpose table.Purpose, config BatcherConfig) *Batcher {
	return &Batcher{
		client:  c,
		purpose: purpose,
		config:  config,
		arrived: mailbox.New[*pendingChange](),
		stopped: make(chan struct{}),
	}
}

// Submit commits one change and returns its own outcome. ErrUnavailable means
// that the change was not and will not be applied; ErrUnsettled means that its
// effect is not known.
func (b *Batcher) Submit(ctx context.Context, change table.Change) (table.Outcome, error) {
	defer b.pending.Add(-1)
	if b.pending.Add(1) > b.config.MaxPending {
		return table.Outcome{}, errors.Wrap(table.ErrUnavailable, "too many pending changes")
	}
	p := &pendingChange{change: change, answer: make(chan changeAnswer, 1)}
	b.arrived.Push(p)
	select {
	case answer := <-p.answer:
		return answer.outcome, answer.err
	case <-ctx.Done():
		return p.withdraw(ctx.Err())
	case <-b.stopped:
		return p.withdrawOrWait(ctx)
	}
}

// withdraw withdraws the change, or returns ErrUnsettled if it is part of a
// transaction without a result so far.
func (p *pendingChange) withdraw(reason error) (table.Outcome, error) {
	if p.state.CompareAndSwap(changeWaiting, changeWithdrawn) {
		return table.Outcome{}, errors.Wrap(table.ErrUnavailable, reason.Error())
	}
	select {
	case answer := <-p.answer:
		return answer.outcome, answer.err
	default:
		return table.Outcome{}, errors.Wrap(table.ErrUnsettled, reason.Error())
	}
}

// withdrawOrWait withdraws the change from a stopped batcher, or waits for the
// transaction that contains it.
func (p *pendingChange) withdrawOrWait(ctx context.Context) (table.Outcome, error) {
	if p.state.CompareAndSwap(changeWaiting, changeWithdrawn) {
		return table.Outcome{}, errors.Wrap(table.ErrUnavailable, "batcher stopped")
	}
	select {
	case answer := <-p.answer:
		return answer.outcome, answer.err
	case <-ctx.Done():
		return p.withdraw(ctx.Err())
	}
}

// Run sends batches until ctx is done, and then waits for the running ones.
func (b *Batcher) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	defer close(b.stopped)
	slots := make(chan struct{}, b.config.Parallel)
	var waiting []*pendingChange
	for {
		if len(waiting) == 0 {
			var err error
			if waiting, err = b.arrived.Take(ctx, waiting); err != nil {
				return
			}
		}
		budgetTaken, err := b.acquireSlotAndBudget(ctx, slots)
		if err != nil {
			return
		}
		waiting = b.arrived.TryTake(waiting)
		var group *batchGroup
		group, waiting = b.pack(waiting)
		running.Go(func() {
			defer func() { <-slots }()
			b.send(context.WithoutCancel(ctx), group, budgetTaken)
		})
	}
}

// acquireSlotAndBudget acquires a slot and then the budget of one transaction, so
// that a batch is packed only when it can be sent. It returns false if the
// purpose has no budget for writes; the transaction will then be refused.
func (b *Batcher) acquireSlotAndBudget(ctx context.Context, slots chan<- struct{}) (budgetTaken bool, err error) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	budgetTaken = b.client.budgets[b.purpose].writes.Wait(ctx) == nil
	return budgetTaken, ctx.Err()
}

// batchGroup is a batch with the callers of its changes, in the same order.
type batchGroup struct {
	batch   *table.Batch
	members []*pendingChange
}

func (b *Batcher) newGroup() *batchGroup { return &batchGroup{batch: table.NewBatch(b.config.Limits)} }

// pack returns the changes that may share the next transaction, and the
// remaining ones in their order.
func (b *Batcher) pack(waiting []*pendingChange) (*batchGroup, []*pendingChange) {
	group := b.newGroup()
	rest := waiting[:0]
	for _, p := range waiting {
		if p.state.Load() == changeWithdrawn {
			continue
		}
		if group.batch.Len() == b.config.Limits.Changes || !group.batch.Add(p.change) {
			rest = append(rest, p)
			continue
		}
		group.members = append(group.members, p)
	}
	clear(waiting[len(rest):])
	return group, rest
}

// Write submits a change with one condition and one write.
func (b *Batcher) Write(ctx context.Context, condition table.Condition, write table.Write) (table.Outcome, error) {
	return b.Submit(ctx, table.Change{Conditions: []table.Condition{condition}, Writes: []table.Write{write}})
}
