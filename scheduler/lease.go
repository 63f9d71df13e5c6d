package scheduler

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/table"
)

// ShardID names a shard of the fleet.
type ShardID string

// HolderID names one start of one scheduler process.
type HolderID string

// EpochRow is the durable record of who holds a shard. It is written on
// takeover and on release only, so that its version fences every other write
// of the holder.
type EpochRow struct {
	Holder HolderID
	// Epoch grows by one with each holder.
	Epoch carobkeel.Epoch
	// Released says that the holder has given the shard up and renews no
	// grants any more.
	Released bool
	// GrantsFor is, in a released row, how long after it was written a grant of
	// this holder or of one before it may still run.
	GrantsFor time.Duration
}

// LeaseRows is a shard's lease as read from the table in one go.
type LeaseRows struct {
	Epoch EpochRow
	// EpochVersion is the version of the epoch row, zero where it is absent.
	EpochVersion table.Version
	// RenewalVersion is the version of the row that each renewal rewrites.
	RenewalVersion table.Version
}

// LeaseStep is a write that a scheduler has to make for its lease.
type LeaseStep uint8

// Writes of a lease.
const (
	// LeaseNone asks for no write.
	LeaseNone LeaseStep = iota
	// LeaseAcquire writes both rows if both have the observed versions.
	LeaseAcquire
	// LeaseRenew writes the renewal row if the epoch row is unchanged.
	LeaseRenew
	// LeaseRelease writes the epoch row if it is unchanged.
	LeaseRelease
)

// LeaseWrite is one conditional write for a shard's lease. It is repeated with
// the same Attempt until it is settled.
type LeaseWrite struct {
	Step LeaseStep
	// Attempt numbers the writes of one scheduler.
	Attempt uint64
	// Rows holds the versions that the write is conditional on.
	Rows LeaseRows
	// Next is the new epoch row. A renewal leaves the epoch row alone.
	Next EpochRow
	// SentAt is the time before the write was first sent.
	SentAt Instant
}

// Lease is one scheduler's view of one shard's lease. It is owned by the
// goroutine that runs the shard.
type Lease struct {
	self   HolderID
	timing Timing

	// rows are the newest rows read or written, seenAt when they were found
	// changed, by this process's clock.
	rows   LeaseRows
	seenAt Instant
	seen   bool

	// held is true from an acquisition until another epoch is seen or the
	// lease is released, also while the lease has lapsed.
	held bool
	// renewedAt is the time before the last settled write was first sent.
	renewedAt Instant
	// inheritedUntil is when the last grant of earlier holders has run out.
	inheritedUntil Instant

	attempt uint64
	pending *LeaseWrite
}

// NewLease returns the view of a scheduler that has not read the rows yet.
func NewLease(self HolderID, timing Timing) *Lease {
	return &Lease{self: self, timing: timing}
}

// Observe takes in rows that were read. The time is that after the answer. While
// a write is unsettled its repeat tells more than a read, which is passed over.
func (l *Lease) Observe(now Instant, rows LeaseRows) {
	if l.pending != nil || (l.seen && rows == l.rows) {
		return
	}
	if l.held && (rows.Epoch.Epoch != l.rows.Epoch.Epoch || rows.Epoch.Holder != l.self) {
		l.stepDown()
	}
	l.rows, l.seenAt, l.seen = rows, now, true
}

// Next returns the write that is due, or one with LeaseNone. An unsettled write
// is returned again until Settle or Refuse is called.
func (l *Lease) Next(now Instant) LeaseWrite {
	if l.pending != nil {
		return *l.pending
	}
	switch {
	case !l.seen:
		return LeaseWrite{}
	case l.held:
		if now.Sub(l.renewedAt) < l.timing.Renewal {
			return LeaseWrite{}
		}
		return l.propose(now, LeaseRenew, l.rows.Epoch)
	case l.isVacant(now):
		next := EpochRow{Holder: l.self, Epoch: l.rows.Epoch.Epoch + 1}
		return l.propose(now, LeaseAcquire, next)
	}
	return LeaseWrite{}
}

// Release returns the write that gives the shard up. From here on the scheduler
// sends no command for the shard.
func (l *Lease) Release(now Instant) LeaseWrite {
	if !l.held {
		return LeaseWrite{}
	}
	next := l.rows.Epoch
	next.Released = true
	next.GrantsFor = max(l.timing.Grant, l.inheritedUntil.Sub(now))
	write := l.propose(now, LeaseRelease, next)
	l.held = false
	return write
}

// Settle takes in that the pending write took effect and left the given
// versions.
func (l *Lease) Settle(now Instant, versions LeaseRows) {
	write := l.pending
	l.pending = nil
	if write == nil {
		return
	}
	if write.Step == LeaseAcquire {
		l.inheritedUntil = l.inherited()
		l.held = true
	}
	l.rows = LeaseRows{
		Epoch:          write.Next,
		EpochVersion:   versions.EpochVersion,
		RenewalVersion: versions.RenewalVersion,
	}
	l.seenAt = now
	l.renewedAt = write.SentAt
}

// Refuse takes in that the pending write did not take effect because the rows
// have changed.
func (l *Lease) Refuse() {
	l.pending = nil
	l.stepDown()
	l.seen = false
}

// IsHeld reports whether this scheduler was the last to acquire the shard, as
// far as it knows. A held lease may have lapsed.
func (l *Lease) IsHeld() bool { return l.held }

// Epoch returns the epoch under which this scheduler holds the shard.
func (l *Lease) Epoch() carobkeel.Epoch { return l.rows.Epoch.Epoch }

// EpochVersion returns the version of the epoch row that every write of the
// holder is conditional on.
func (l *Lease) EpochVersion() table.Version { return l.rows.EpochVersion }

// Holder returns the last known holder of the shard.
func (l *Lease) Holder() HolderID { return l.rows.Epoch.Holder }

// LapsesAt returns when another scheduler may take the shard over.
func (l *Lease) LapsesAt() Instant { return l.renewedAt.Add(l.timing.ShardLease) }

// KeepUntil returns the end of all grants that this scheduler may give. It does
// not depend on whether another scheduler has taken the shard over meanwhile:
// that one waits until this instant has passed on every clock.
func (l *Lease) KeepUntil() Instant { return l.renewedAt.Add(l.timing.Keep) }

// InheritedUntil returns when every grant of earlier holders has run out.
func (l *Lease) InheritedUntil() Instant { return l.inheritedUntil }

func (l *Lease) propose(now Instant, step LeaseStep, next EpochRow) LeaseWrite {
	l.attempt++
	l.pending = &LeaseWrite{Step: step, Attempt: l.attempt, Rows: l.rows, Next: next, SentAt: now}
	return *l.pending
}

func (l *Lease) isVacant(now Instant) bool {
	if l.rows.EpochVersion == 0 || l.rows.Epoch.Released {
		return true
	}
	return now.Sub(l.seenAt) >= l.timing.WithDrift(l.timing.ShardLease)
}

// inherited returns when the grants of the previous holders have run out. The
// previous holder counts from before it sent its last renewal, this scheduler
// from after it read the row, so every grant ends earlier.
func (l *Lease) inherited() Instant {
	var longest time.Duration
	switch {
	case l.rows.EpochVersion == 0:
		return l.seenAt
	case l.rows.Epoch.Released:
		longest = l.rows.Epoch.GrantsFor
	default:
		longest = l.timing.Keep
	}
	return l.seenAt.Add(l.timing.WithDrift(longest))
}

func (l *Lease) stepDown() {
	l.held = false
	l.renewedAt = 0
}
