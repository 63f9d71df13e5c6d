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
	// Limits is the most that one transaction carries.
	Limits table.BatchLimits
	// Parallel is how many transactions may be under way at once.
	Parallel int
	// MaxPending is how many changes may wait or be under way.
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

// Batcher carries independent changes in shared transactions. Changes gather
// while transactions are under way, so there is no added delay when it is idle.
type Batcher struct {
	client  *Client
	purpose table.Purpose
	config  BatcherConfig
	arrived *mailbox.Mailbox[*pendingChange]
	pending atomic.Int64
	stopped chan struct{}
}

// changeState says who may still decide about a change.
type changeState = uint32

const (
	// changeWaits says that the caller may take the change back.
	changeWaits changeState = iota
	// changeTaken says that a transaction carries it.
	changeTaken
	// changeWithdrawn says that the caller took it back.
	changeWithdrawn
)

// pendingChange is a change with the caller that waits for it.
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
// purpose. It does nothing until Run.
func NewBatcher(c *Client, purpose table.Purpose, config BatcherConfig) *Batcher {
	return &Batcher{
		client:  c,
		purpose: purpose,
		config:  config,
		arrived: mailbox.New[*pendingChange](),
		stopped: make(chan struct{}),
	}
}

// Submit carries out one change and returns its own outcome. ErrUnavailable
// says that it was not carried out and will not be; ErrUnsettled that this is
// not known.
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
		return p.leave(ctx.Err())
	case <-b.stopped:
		return p.leaveOrWait(ctx)
	}
}

// leave takes the change back, or reports it unsettled where a transaction
// carries it.
func (p *pendingChange) leave(reason error) (table.Outcome, error) {
	if p.state.CompareAndSwap(changeWaits, changeWithdrawn) {
		return table.Outcome{}, errors.Wrap(table.ErrUnavailable, reason.Error())
	}
	select {
	case answer := <-p.answer:
		return answer.outcome, answer.err
	default:
		return table.Outcome{}, errors.Wrap(table.ErrUnsettled, reason.Error())
	}
}

// leaveOrWait takes the change back from a batcher that has stopped, or waits
// for the transaction that carries it.
func (p *pendingChange) leaveOrWait(ctx context.Context) (table.Outcome, error) {
	if p.state.CompareAndSwap(changeWaits, changeWithdrawn) {
		return table.Outcome{}, errors.Wrap(table.ErrUnavailable, "batcher stopped")
	}
	select {
	case answer := <-p.answer:
		return answer.outcome, answer.err
	case <-ctx.Done():
		return p.leave(ctx.Err())
	}
}

// Run sends batches until ctx ends, and then waits for those under way.
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
		paid, err := b.waitForTurn(ctx, slots)
		if err != nil {
			return
		}
		waiting = b.arrived.TryTake(waiting)
		var group *batchGroup
		group, waiting = b.pack(waiting)
		running.Go(func() {
			defer func() { <-slots }()
			b.send(context.WithoutCancel(ctx), group, paid)
		})
	}
}

// waitForTurn takes a slot and then the budget of one transaction, so that a
// batch is packed only when it can be sent. It returns false where the purpose
// has no budget for writes; the transaction will then be refused.
func (b *Batcher) waitForTurn(ctx context.Context, slots chan<- struct{}) (paid bool, err error) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	paid = b.client.budgets[b.purpose].writes.Wait(ctx) == nil
	return paid, ctx.Err()
}

// batchGroup is a batch with the callers of its changes, in the same order.
type batchGroup struct {
	batch   *table.Batch
	members []*pendingChange
}

func (b *Batcher) newGroup() *batchGroup { return &batchGroup{batch: table.NewBatch(b.config.Limits)} }

// pack takes what may share the next transaction and returns the rest in order.
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

// Write is Submit for one write on one condition.
func (b *Batcher) Write(ctx context.Context, condition table.Condition, write table.Write) (table.Outcome, error) {
	return b.Submit(ctx, table.Change{Conditions: []table.Condition{condition}, Writes: []table.Write{write}})
}
