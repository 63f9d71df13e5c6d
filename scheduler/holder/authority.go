package holder

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

// A holder promises in the table service until when it lets leases be extended at the latest, on
// the service's steady clock, and makes a later promise every authorityInterval. A holder that takes
// over after all entries were away then knows that the leases of earlier ones are over. What it sees
// itself, the replacement of a row, says nothing of the time before.
const (
	// authorityTerm is how far a promise reaches. As long as promises are stored, it binds no holder sooner
	// than leaseAuthority does. A later holder waits for it, and for a lease, if it has seen the holder
	// before it silent for long.
	authorityTerm = leaseAuthority + authorityInterval + holdReadInterval
	// authorityInterval is the interval of the promises, and authorityRetry the one after a promise
	// that was not stored.
	authorityInterval = time.Second
	authorityRetry    = 500 * time.Millisecond
	// storeClockDrift bounds how much the clocks of the service and of this process drift apart: 2%.
	storeClockDrift = 0.02
)

// storeInstant is a reading of the table service's steady clock.
type storeInstant struct {
	// at is the reading, zero if the service states none.
	at time.Duration
	// requested and received are when the request was sent and its answer arrived.
	requested, received time.Duration
}

// promise returns a promise that begins with the reading. It promises nothing if the clock is not
// the one that since was read from.
func (i storeInstant) promise(epoch uint64, since time.Duration) triedPromise {
	if i.at < since {
		return triedPromise{row: wire.AuthorityRow{Epoch: epoch}}
	}
	return triedPromise{
		row:   wire.AuthorityRow{Epoch: epoch, Since: since.Milliseconds(), Until: (i.at + authorityTerm).Milliseconds()},
		until: i.requested + authorityTerm - drift(authorityTerm),
	}
}

// localAfter returns a time on this process's clock that a time of the service's clock has certainly
// reached.
func (i storeInstant) localAfter(at time.Duration) time.Duration {
	left := at - i.at
	if left < 0 {
		return i.received + left + drift(-left)
	}
	return i.received + left + drift(left)
}

// drift returns how far the two clocks may drift apart in a time.
func drift(d time.Duration) time.Duration { return time.Duration(float64(d) * storeClockDrift) }

// authority is the state of a holder's promises.
type authority struct {
	// since is when this holder had replaced all earlier ones, zero if the service has no clock.
	since time.Duration
	// version is that of the row, as far as known.
	version table.Version
	// tried are the last promises whose outcome is not known, at most maxTried.
	tried    []triedPromise
	inFlight bool
	nextAt   time.Duration
	// stored reports that a promise of this term is stored.
	stored bool
	// ended reports that no further promise is made: the service rejects the row, or its clock
	// has changed.
	ended bool
}

// triedPromise is a promise that was sent, with its end on this process's clock. The end is zero
// if it promises nothing.
type triedPromise struct {
	row   wire.AuthorityRow
	until time.Duration
}

// maxTried bounds the promises that are kept in mind. An older one that turns out to be stored is
// replaced like one of another holder.
const maxTried = 32

func (n *Node) authorityRow() table.RowID {
	return table.RowID{Table: TableAuthority, Part: n.config.Shard, Key: holderKey}
}

// startAuthority begins the promises of a term, and shortens what is known of earlier holders by the
// last promise of the one before.
func (l *loop) startAuthority(t *takeoverState) {
	l.node.promisedUntil.Store(0)
	l.authority = authority{since: t.storeClock.at}
	row := findRow(t.authority, holderKey)
	if row.Version == 0 {
		return
	}
	l.authority.version = row.Version
	var promised wire.AuthorityRow
	if _, err := promised.UnmarshalMsg(row.Value); err != nil {
		l.node.log.Error().Err(err).Msg("promise of the earlier holder left out")
		return
	}
	if promised.Epoch+1 == t.holderState.Row.Epoch {
		l.predecessors.shorten(promised, t.storeClock)
	}
}

// renewAuthority stores a later promise if one is due.
func (l *loop) renewAuthority() {
	a, now := &l.authority, clock.Boottime()
	if a.since == 0 || l.storeClock.at == 0 || a.inFlight || a.ended || now < a.nextAt {
		return
	}
	a.inFlight = true
	next := l.storeClock.promise(l.node.holderState.Load().Row.Epoch, a.since)
	if len(a.tried) == maxTried {
		a.tried = slices.Delete(a.tried, 0, 1)
	}
	a.tried = append(a.tried, next)
	if !a.stored {
		l.node.promisedUntil.CompareAndSwap(0, int64(next.until)) // from now on it may be stored
	}
	l.writePromise(next.row)
}

// writePromise writes a promise, unless the row or the holder has changed.
func (l *loop) writePromise(row wire.AuthorityRow) {
	n, term, id := l.node, l.term, l.node.authorityRow()
	txn := table.RowTransaction{
		Conditions: []table.RowCondition{
			{RowID: n.holderRow(), Version: n.holderState.Load().Version}, {RowID: id, Version: l.authority.version},
		},
		Writes: []table.RowWrite{{RowID: id, Value: mustEncode(&row)}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(term, followTimeout)
		defer cancel()
		outcome, err := n.rows.Transact(ctx, txn)
		n.events.Push(func(l *loop) {
			if l.core != nil && l.term == term {
				l.promiseWritten(outcome, err)
			}
		})
	}()
}

// promiseWritten handles the outcome of the last promise that was tried.
func (l *loop) promiseWritten(outcome table.RowOutcome, err error) {
	a := &l.authority
	a.inFlight = false
	a.nextAt = clock.Boottime() + authorityRetry
	switch {
	case errors.Is(err, table.ErrInvalid) && len(a.tried) == 1 && !a.stored:
		a.ended = true // nothing is promised
		l.node.promisedUntil.Store(0)
		l.node.log.Error().Err(err).Msg("table service rejects the promise of the holder")
	case err != nil:
	case outcome.Applied:
		l.promiseStored(a.tried[len(a.tried)-1], outcome.Version)
	default:
		l.findPromise(&outcome)
	}
}

// promiseStored records that a promise is the one that later holders read. Those tried before can't
// be stored any more.
func (l *loop) promiseStored(stored triedPromise, version table.Version) {
	a := &l.authority
	a.version, a.tried, a.stored = version, nil, true
	a.ended = stored.until == 0
	a.nextAt = clock.Boottime() + authorityInterval
	l.node.promisedUntil.Store(int64(stored.until))
}

// findPromise adopts the row that kept a promise from being stored: one whose answer was lost.
func (l *loop) findPromise(outcome *table.RowOutcome) {
	a := &l.authority
	for i := range outcome.Current {
		current := &outcome.Current[i]
		if current.RowID != l.node.authorityRow() {
			continue
		}
		a.version = current.Version
		var row wire.AuthorityRow
		if _, err := row.UnmarshalMsg(current.Value); err != nil {
			return
		}
		for _, tried := range a.tried {
			if tried.row == row {
				l.promiseStored(tried, current.Version)
				a.nextAt = 0
				return
			}
		}
	}
}
