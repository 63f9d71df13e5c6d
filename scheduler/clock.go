package scheduler

import "time"

// Instant is a reading of one process's monotonic clock. Instants of different
// processes can't be compared.
type Instant time.Duration

// Add returns the instant that lies d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Timing holds the lengths of the leases. All processes of a fleet must have
// the same Timing.
type Timing struct {
	// ShardLease is how long a shard stays with a holder that no longer renews
	// its lease. Another scheduler may take the shard over after it.
	ShardLease time.Duration
	// Renewal is the time between two renewals of a shard lease.
	Renewal time.Duration
	// Keep is how long after its last renewal a holder may go on renewing the
	// grants of tasks. It bounds the outage of the store that running tasks
	// survive.
	Keep time.Duration
	// Grant is the longest time for which a worker may run a task without
	// hearing from the holder.
	Grant time.Duration
	// CheckpointTimeout is how long an eviction waits for the checkpoint.
	CheckpointTimeout time.Duration
	// DriftPPM bounds by how much two clocks run apart, in parts per million.
	DriftPPM int64
}

// DefaultTiming returns the lengths that survive a store outage of an hour.
func DefaultTiming() Timing {
	return Timing{
		ShardLease:        10 * time.Second,
		Renewal:           3 * time.Second,
		Keep:              75 * time.Minute,
		Grant:             20 * time.Second,
		CheckpointTimeout: 30 * time.Second,
		DriftPPM:          1_000,
	}
}

const partsPerMillion = 1_000_000

// WithDrift returns the time that has to pass on one clock to be sure that d
// has passed on another.
func (t Timing) WithDrift(d time.Duration) time.Duration {
	if t.DriftPPM == 0 {
		return d
	}
	perPart := (d + partsPerMillion - 1) / partsPerMillion
	return d + perPart*time.Duration(t.DriftPPM)
}
