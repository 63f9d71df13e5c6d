package holder

import (
	"context"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/follow"
)

// followHolder keeps the node's knowledge of the holder up to date.
func (n *Node) followHolder(ctx context.Context) {
	follower := follow.Follower{
		Rows: n.rows, Table: TableHolders, Part: n.config.Shard, Wait: followTimeout, Log: n.log,
		OnUpdate: func(changes follow.Update) {
			n.events.Push(func(l *loop) { l.applyHolderChanges(changes) })
		},
	}
	follower.Run(ctx, 0)
}

func (l *loop) applyHolderChanges(changes follow.Update) {
	holderState := l.node.holderState.Load()
	if changes.Full && len(changes.Rows) == 0 && holderState == nil {
		l.node.holderState.Store(&HolderState{Since: clock.Boottime()})
	}
	for _, row := range changes.Rows {
		if row.Key == holderKey {
			l.applyHolderRow(row)
		}
	}
	l.holdConfirmed = max(l.holdConfirmed, changes.RequestedAt)
}

func (l *loop) applyHolderRow(row table.VersionedRow) {
	old := l.node.holderState.Load()
	if old != nil && row.Version <= old.Version {
		return
	}
	if row.Deleted {
		l.node.log.Error().Msg("holder row removed by another writer")
		l.replaceHolderRow(old, 0)
		return
	}
	holder, err := decodeHolder(row)
	if err != nil {
		l.node.log.Error().Err(err).Msg("holder row left out")
		l.replaceHolderRow(old, row.Version)
		return
	}
	if l.core != nil {
		l.stepDown("the table service names " + holder.Host)
	}
	if l.node.takingOver.Load() && holder.Incarnation != uint64(l.node.config.Incarnation) {
		l.endTakeover()
	}
	l.node.log.Info().Str("holder", holder.Host).Uint64("epoch", holder.Epoch).Msg("holder changed")
	l.node.holderRefuses.Store(false)
	next := &HolderState{Row: holder, Version: row.Version, Since: clock.Boottime()}
	l.recordPredecessor(next)
	l.node.holderState.Store(next)
}

// recordPredecessor records that a newer holder row replaces the current one.
func (l *loop) recordPredecessor(next *HolderState) {
	l.predecessors.prune(next.Since, l.node.config.WorkerLease)
	old := l.node.holderState.Load()
	if next.hides(old) {
		l.predecessors.add(wire.HolderRow{}, next.Since)
	}
	if old != nil && old.Row.Epoch > 0 && !old.Unreadable && old.Version < next.Version {
		l.predecessors.add(old.Row, next.Since)
		// This process doesn't extend leases under the earlier row any more.
		l.predecessors.observe(l.node.config.Host, uint64(l.node.config.Incarnation), next.Row.Epoch, next.Since)
	}
}

// hides reports whether there were holders between the known state, which may be nil, and s
// that this process has not seen.
func (s *HolderState) hides(known *HolderState) bool {
	last := uint64(0)
	if known != nil {
		last = known.Row.Epoch
	}
	return s.Row.Epoch > last+1
}

// decodeHolder decodes the holder row.
func decodeHolder(row table.VersionedRow) (wire.HolderRow, error) {
	var holder wire.HolderRow
	if _, err := holder.UnmarshalMsg(row.Value); err != nil {
		return holder, errors.Wrap(err, "decode")
	}
	if holder.Epoch > maxEpoch {
		return holder, errors.Errorf("epoch %d is out of range", holder.Epoch)
	}
	return holder, nil
}

// replaceHolderRow makes this process take part in replacing a holder row that names
// no holder. The version is zero for a row that was removed.
func (l *loop) replaceHolderRow(old *HolderState, version table.Version) {
	if l.core != nil {
		l.stepDown("the holder row names no holder")
	}
	next := &HolderState{Version: version, Since: clock.Boottime(), Unreadable: true}
	if old != nil {
		next.Row.Epoch = old.Row.Epoch
	}
	l.recordPredecessor(next)
	l.predecessors.addUnknown(next.Row, next.Since) // the row may have hidden one that this process has not seen
	l.node.holderState.Store(next)
}
