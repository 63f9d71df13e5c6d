package client

import (
	"context"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/table"
)

// send carries out a group: as one transaction, and what was refused only for
// the others' sake in further ones. The budget of the first is paid or not.
func (b *Batcher) send(ctx context.Context, group *batchGroup, paid bool) {
	view := &view{client: b.client, purpose: b.purpose}
	for group = b.take(group); len(group.members) > 0; {
		outcome, err := view.settle(ctx, group.batch.Transaction(table.NewTransactionID()), paid)
		paid = false
		if err != nil {
			b.fail(ctx, group, err)
			return
		}
		b.client.metrics.BatchedChanges.Inc(int64(len(group.members)))
		if outcome.Applied {
			group.answerAll(changeAnswer{outcome: outcome})
			return
		}
		remaining := b.afterRefusal(group, outcome)
		if len(remaining.members) == len(group.members) {
			b.sendEach(ctx, group) // the answer does not say who was refused
			return
		}
		group = remaining
	}
}

// take leaves out the changes that their callers took back in the meantime.
func (b *Batcher) take(group *batchGroup) *batchGroup {
	taken := b.newGroup()
	for _, p := range group.members {
		if p.state.CompareAndSwap(changeWaits, changeTaken) {
			taken.add(p)
		}
	}
	return taken
}

// afterRefusal answers the changes whose own conditions failed and returns the
// others.
func (b *Batcher) afterRefusal(group *batchGroup, outcome table.Outcome) *batchGroup {
	again := b.newGroup()
	for i, verdict := range group.batch.Verdicts(outcome) {
		p := group.members[i]
		if len(verdict.Conflicts) == 0 {
			again.add(p)
			continue
		}
		p.answer <- changeAnswer{outcome: table.Outcome{Conflicts: verdict.Conflicts}}
	}
	return again
}

// fail answers every change with the error. An error that is about the
// transaction's content is found out for each change by itself.
func (b *Batcher) fail(ctx context.Context, group *batchGroup, err error) {
	isAboutContent := !errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrUnsettled)
	if !isAboutContent || len(group.members) == 1 {
		group.answerAll(changeAnswer{err: err})
		return
	}
	b.sendEach(ctx, group)
}

// sendEach carries out each change in a transaction of its own.
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

// add appends a change that fits: it is one of a batch that fitted as a whole.
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
