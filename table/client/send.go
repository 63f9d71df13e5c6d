package client

import (
	"context"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

// send commits a group as one transaction, and those changes that were refused
// only because of others in further transactions. budgetTaken reports that the
// budget of the first transaction has been taken.
func (b *Batcher) send(ctx context.Context, group *batchGroup, budgetTaken bool) {
	view := &view{client: b.client, purpose: b.purpose}
	for group = b.claimChanges(group); len(group.members) > 0; {
		outcome, err := view.settle(ctx, group.batch.Transaction(table.NewTransactionID()), budgetTaken)
		budgetTaken = false
		if err != nil {
			b.answerError(ctx, group, err)
			return
		}
		b.client.metrics.BatchedChanges.Inc(int64(len(group.members)))
		if outcome.Applied {
			group.answerAll(changeAnswer{outcome: outcome})
			return
		}
		remaining := b.afterRefusal(group, outcome)
		if len(remaining.members) == len(group.members) {
			b.sendEach(ctx, group) // the answer does not show which changes were refused
			return
		}
		group = remaining
	}
}

// claimChanges returns the group without the changes that their callers have
// withdrawn in the meantime.
func (b *Batcher) claimChanges(group *batchGroup) *batchGroup {
	taken := b.newGroup()
	for _, p := range group.members {
		if p.state.CompareAndSwap(changeWaiting, changeTaken) {
			taken.add(p)
		}
	}
	return taken
}

// afterRefusal answers the changes whose own conditions failed and returns the
// others.
func (b *Batcher) afterRefusal(group *batchGroup, outcome table.Outcome) *batchGroup {
	refusedWithOthers := b.newGroup()
	for i, result := range group.batch.ChangeResults(outcome) {
		p := group.members[i]
		if len(result.Conflicts) == 0 {
			refusedWithOthers.add(p)
			continue
		}
		p.answer <- changeAnswer{outcome: table.Outcome{Conflicts: result.Conflicts}}
	}
	return refusedWithOthers
}

// answerError answers every change with the error. After an error about the
// content of the transaction, each change is sent in a transaction of its own.
func (b *Batcher) answerError(ctx context.Context, group *batchGroup, err error) {
	isAboutContent := !errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrUnsettled)
	if !isAboutContent || len(group.members) == 1 {
		group.answerAll(changeAnswer{err: err})
		return
	}
	b.sendEach(ctx, group)
}

// sendEach commits each change in a transaction of its own.
func (b *Batcher) sendEach(ctx context.Context, group *batchGroup) {
	view := b.client.For(b.purpose)
	for _, p := range group.members {
		outcome, err := view.Commit(ctx, table.Transaction{
			ID:         table.NewTransactionID(),
			Conditions: p.change.Conditions,
			Writes:     p.change.Writes,
		})
		p.answer <- changeAnswer{outcome: outcome, err: err}
	}
}

// add appends a change of a batch that was within the limits, so it always fits.
func (g *batchGroup) add(p *pendingChange) {
	if g.batch.Add(p.change) {
		g.members = append(g.members, p)
	}
}

func (g *batchGroup) answerAll(answer changeAnswer) {
	for _, p := range g.members {
		p.answer <- answer
	}
}
