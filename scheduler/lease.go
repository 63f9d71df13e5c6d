package scheduler

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/table"
)

// ShardID names a shard of the fleet.
type ShardID string

// HolderID names one incarnation of a scheduler process.
type HolderID string

// EpochRow is the durable record of the holder of a shard. It is written only on
// takeover and on release, so that its version fences every other write of the
// holder.
type EpochRow struct {
	Holder HolderID
	// Epoch increases by one with each takeover.
	Epoch carobkeel.Epoch
	// Released reports that the holder has stepped down and renews no grants.
	Released bool
	// GrantsRemaining is set in a released row. It bounds the time after the write of
	// the row for which grants of this holder and earlier ones remain valid.
	GrantsRemaining time.Duration
}

// LeaseRows is a shard's lease as returned by one read of the table.
type LeaseRows struct {
	Epoch EpochRow
	// EpochVersion is the version of the epoch row, zero if the row does not exist.
	EpochVersion table.Version
	// RenewalVersion is the version of the renewal row, which each renewal writes.
	RenewalVersion table.Version
}

// LeaseWriteKind is the kind of a lease write.
type LeaseWriteKind uint8

// Kinds of lease writes.
const (
	// LeaseNone means that no write is due.
	LeaseNone LeaseWriteKind = iota
	// LeaseAcquire writes both rows if both have the observed versions.
	LeaseAcquire
	// LeaseRenew writes the renewal row if the epoch row is unchanged.
	LeaseRenew
	// LeaseRelease writes both rows if the epoch row is unchanged.
	LeaseRelease
)

// LeaseWrite is one conditional write to a shard's lease rows. It is sent again
// with the same Attempt until its result is known.
type LeaseWrite struct {
	Kind LeaseWriteKind
	// Attempt numbers the writes of one scheduler.
	Attempt uint64
	// Rows holds the versions that the write is conditional on.
	Rows LeaseRows
	// Next is the new epoch row. A renewal does not write the epoch row.
	Next EpochRow
	// SentAt is a time before the write was first sent.
	SentAt Instant
}

// Lease is one scheduler's view of one shard's lease. It is owned by the
// goroutine that runs the shard.
type Lease struct {
	self   HolderID
	timing Timing

	// rows are the newest rows read or written. observedAt is when this process
	// noticed their last change, by its own clock. observed is false until rows
	// are known.
	rows       LeaseRows
	observedAt Instant
	observed   bool

	// held is true from an acquisition until another epoch is observed or the
	// lease is released. It remains true while the lease has expired.
	held bool
	// renewedAt is the SentAt of the last write that took effect.
	renewedAt Instant
	// inheritedUntil is when the last grant of earlier holders has expired.
	inheritedUntil Instant

	attempt uint64
	pending *LeaseWrite
}

// NewLease returns the view of a scheduler that has not read the rows yet.
func NewLease(self HolderID, timing Timing) *Lease {
	return &Lease{self: self, timing: timing}
}

// Observe records rows that were read, at the time now after the read returned.
// While the result of a write is unknown the rows are ignored: repeating the
// write gives a result that is at least as recent.
func (l *Lease) Observe(now Instant, rows LeaseRows) {
	if l.pending != nil || (l.observed && rows == l.rows) {
		return
	}
	if l.held && (rows.Epoch.Epoch != l.rows.Epoch.Epoch || rows.Epoch.Holder != l.self) {
		l.stepDown()
	}
	l.rows, l.observedAt, l.observed = rows, now, true
}

// Next returns the write that is due, or one with LeaseNone. A write whose
// result is unknown is returned again until Applied or Refused is called.
func (l *Lease) Next(now Instant) LeaseWrite {
	if l.pending != nil {
		return *l.pending
	}
	switch {
	case !l.observed:
		return LeaseWrite{}
	case l.held:
		if now.Sub(l.renewedAt) < l.timing.RenewalInterval {
			return LeaseWrite{}
		}
		return l.propose(now, LeaseRenew, l.rows.Epoch)
	case l.isVacant(now):
		next := EpochRow{Holder: l.self, Epoch: l.rows.Epoch.Epoch + 1}
		return l.propose(now, LeaseAcquire, next)
	}
	return LeaseWrite{}
}

// Release returns the write that releases the lease. After the call the
// scheduler must send no command for the shard.
func (l *Lease) Release(now Instant) LeaseWrite {
	if !l.held {
		return LeaseWrite{}
	}
	next := l.rows.Epoch
	next.Released = true
	next.GrantsRemaining = max(l.timing.Grant, l.inheritedUntil.Sub(now))
	write := l.propose(now, LeaseRelease, next)
	l.held = false
	return write
}

// Applied records that the pending write took effect and produced the given
// versions.
func (l *Lease) Applied(now Instant, versions LeaseRows) {
	write := l.pending
	l.pending = nil
	if write == nil {
		return
	}
	if write.Kind == LeaseAcquire {
		l.inheritedUntil = l.inheritedGrantsEnd()
		l.held = true
	}
	l.rows = LeaseRows{
		Epoch:          write.Next,
		EpochVersion:   versions.EpochVersion,
		RenewalVersion: versions.RenewalVersion,
	}
	l.observedAt = now
	l.renewedAt = write.SentAt
}

// Refused records that the pending write, or another write of the holder, did not
// take effect because the rows have changed.
func (l *Lease) Refused() {
	l.pending = nil
	l.stepDown()
	l.observed = false
}

// IsHeld reports whether this scheduler was the last to acquire the shard, as
// far as it has observed. A held lease may have expired.
func (l *Lease) IsHeld() bool { return l.held }

// Epoch returns the epoch under which this scheduler holds the shard.
func (l *Lease) Epoch() carobkeel.Epoch { return l.rows.Epoch.Epoch }

// EpochVersion returns the version of the epoch row that every write of the
// holder is conditional on.
func (l *Lease) EpochVersion() table.Version { return l.rows.EpochVersion }

// Holder returns the last known holder of the shard.
func (l *Lease) Holder() HolderID { return l.rows.Epoch.Holder }

// ExpiresAt returns when the lease expires. Another scheduler may then take over
// the shard.
func (l *Lease) ExpiresAt() Instant { return l.renewedAt.Add(l.timing.ShardLease) }

// GrantsEnd returns the time at which every grant of this scheduler must end. It
// remains valid after a takeover by another scheduler, which waits until this
// instant has passed on every clock.
func (l *Lease) GrantsEnd() Instant { return l.renewedAt.Add(l.timing.GrantWindow) }

// InheritedGrantsEnd returns when every grant of earlier holders has expired.
func (l *Lease) InheritedGrantsEnd() Instant { return l.inheritedUntil }

func (l *Lease) propose(now Instant, step LeaseWriteKind, next EpochRow) LeaseWrite {
	l.attempt++
	l.pending = &LeaseWrite{Kind: step, Attempt: l.attempt, Rows: l.rows, Next: next, SentAt: now}
	return *l.pending
}

func (l *Lease) isVacant(now Instant) bool {
	if l.rows.EpochVersion == 0 || l.rows.Epoch.Released {
		return true
	}
	return now.Sub(l.observedAt) >= l.timing.WithDrift(l.timing.ShardLease)
}

// inheritedGrantsEnd returns when the grants of earlier holders have expired.
// The previous holder counts from a time before it sent its last renewal, this
// scheduler from a time after it read the row, so every grant ends earlier.
func (l *Lease) inheritedGrantsEnd() Instant {
	var longest time.Duration
	switch {
	case l.rows.EpochVersion == 0:
		return l.observedAt
	case l.rows.Epoch.Released:
		longest = l.rows.Epoch.GrantsRemaining
	default:
		longest = l.timing.GrantWindow
	}
	return l.observedAt.Add(l.timing.WithDrift(longest))
}

func (l *Lease) stepDown() {
	l.held = false
	l.renewedAt = 0
}
