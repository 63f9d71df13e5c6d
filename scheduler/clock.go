package scheduler

import "time"

// Instant is a reading of one process's monotonic clock. Instants of different
// processes can't be compared.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Timing holds the durations of leases and grants. All processes of a fleet must
// use the same Timing.
type Timing struct {
	// ShardLease is the duration of a shard lease after its last renewal.
	// Another scheduler may take over the shard once it has expired.
	ShardLease time.Duration
	// RenewalInterval is the interval between renewals of a shard lease.
	RenewalInterval time.Duration
	// GrantWindow is the time after its last renewal for which a holder may extend the
	// grants of runs. It bounds the store outage that active runs survive.
	GrantWindow time.Duration
	// Grant is the longest time for which a worker may execute a run without
	// contact with the holder.
	Grant time.Duration
	// CheckpointTimeout is how long an eviction waits for the checkpoint.
	CheckpointTimeout time.Duration
	// DriftPPM bounds the difference in rate of two clocks, in parts per million.
	DriftPPM int64
}

// DefaultTiming returns a Timing with which active runs survive a store outage
// of an hour.
func DefaultTiming() Timing {
	return Timing{
		ShardLease:        10 * time.Second,
		RenewalInterval:   3 * time.Second,
		GrantWindow:       75 * time.Minute,
		Grant:             20 * time.Second,
		CheckpointTimeout: 30 * time.Second,
		DriftPPM:          1_000,
	}
}

const partsPerMillion = 1_000_000

// WithDrift returns the time that has to pass on one clock to guarantee that d
// has passed on every other.
func (t Timing) WithDrift(d time.Duration) time.Duration {
	if t.DriftPPM == 0 {
		return d
	}
	perPart := (d + partsPerMillion - 1) / partsPerMillion
	return d + perPart*time.Duration(t.DriftPPM)
}
