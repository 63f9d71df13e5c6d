package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// Stats holds the changing statistics of one sidecar: this entry's requests in
// flight, the load that the sidecar reports, and observed latency and failures.
// All fields are updated atomically on the request path.
type Stats struct {
	// inFlight counts this entry's requests at the sidecar by class.
	inFlight [carobkeel.ClassCount]atomic.Int64
	// sequence and lastAnnounced are the sequence number and the arrival time, in
	// Unix nanoseconds, of the last announcement.
	sequence      atomic.Uint64
	lastAnnounced atomic.Int64
	// reported is the last reported number of requests of all entries that run at
	// the sidecar, plus those queued in the class or a more urgent one.
	reported [carobkeel.ClassCount]atomic.Int64
	// limit is the last reported number of requests that the sidecar runs at
	// once, zero before the first report.
	limit atomic.Int64
	// LatencyMicros is a moving average of the latency, in microseconds, without
	// the wait for a slot. It is zero before the first answer.
	LatencyMicros atomic.Int64
	// RoundTripMicros is the last round-trip time of a heartbeat to the sidecar,
	// in microseconds.
	RoundTripMicros atomic.Int64
	// failures is a moving average of the share of failed requests, in units of
	// 1/failureUnit.
	failures atomic.Int64
	// consecutiveFailures is the number of failures since the last success. An
	// ejection sets it to one below the number that makes the member a candidate.
	consecutiveFailures atomic.Int64
	// consecutiveEjections is the number of ejections since the last success.
	consecutiveEjections atomic.Int64
	// ejectedUntil is the end of the last ejection in Unix nanoseconds.
	ejectedUntil atomic.Int64
	// slowStartFrom is when the slow start begins, in Unix nanoseconds.
	slowStartFrom atomic.Int64
	// draining is set when the sidecar refuses a request because it is draining,
	// and cleared by its next announcement.
	draining atomic.Bool
}

const (
	// latencyWeight is the inverse weight of a new sample in the moving average.
	latencyWeight = 8
	// failureWeight is the inverse weight of one result in the share of failures.
	failureWeight = 8
	// failureUnit represents a failure share of 1.
	failureUnit = 1 << 16
)

// newStats returns the statistics of a sidecar that is first announced at now.
func newStats(now time.Time) *Stats {
	l := &Stats{}
	l.slowStartFrom.Store(now.UnixNano())
	return l
}

// LastAnnounced returns the arrival time of the last announcement.
func (l *Stats) LastAnnounced() time.Time { return time.Unix(0, l.lastAnnounced.Load()) }

// recordAnnouncement records an announcement's arrival and the load in it. The
// failure share decays with each announcement, so that a member that gets no
// requests because of it gets some again.
func (l *Stats) recordAnnouncement(a Announcement, now time.Time) {
	l.sequence.Store(a.Sequence)
	l.lastAnnounced.Store(now.UnixNano())
	l.RecordLoad(Load{Running: a.Running, Queued: a.Queued, UrgentQueued: a.UrgentQueued})
	l.draining.Store(false)
	share := l.failures.Load()
	l.failures.Store(share - share/failureWeight)
}

// Load is the load that a sidecar reports.
type Load struct {
	// Running is the number of requests that have a slot.
	Running int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// UrgentQueued is the number of queued requests that are latency-critical.
	UrgentQueued int
	// Limit is the number of requests that run at once, zero if not reported.
	Limit int
}

// RecordLoad records the load that the sidecar reports.
func (l *Stats) RecordLoad(load Load) {
	l.reported[carobkeel.ClassLatencyCritical].Store(int64(load.Running + load.UrgentQueued))
	l.reported[carobkeel.ClassBatch].Store(int64(load.Running + load.Queued))
	if load.Limit > 0 {
		l.limit.Store(int64(load.Limit))
	}
}

// ReportedRequests returns the last reported number of requests of all entries that
// run or wait at the sidecar.
func (l *Stats) ReportedRequests() int64 { return l.reported[carobkeel.ClassBatch].Load() }

// Begin counts a request of the class as in flight. Each call must be matched by
// one of End.
func (l *Stats) Begin(class carobkeel.Class) { l.inFlight[class].Add(1) }

// End removes a request that Begin counted.
func (l *Stats) End(class carobkeel.Class) { l.inFlight[class].Add(-1) }

// InFlight returns the number of this entry's requests at the sidecar in the class
// and in more urgent classes.
func (l *Stats) InFlight(class carobkeel.Class) int64 {
	count := l.inFlight[carobkeel.ClassLatencyCritical].Load()
	if class != carobkeel.ClassLatencyCritical {
		count += l.inFlight[carobkeel.ClassBatch].Load()
	}
	return count
}

// MarkDraining records that the sidecar refused a request because it is draining. The
// member gets no further requests before its next announcement.
func (l *Stats) MarkDraining() { l.draining.Store(true) }

// RecordLatency records a success and adds its latency to the moving average. The
// latency must not include the wait for a slot: the queue is counted separately,
// and the next request may be of an owner with a shorter wait. Concurrent calls
// may lose a sample, which the average tolerates.
func (l *Stats) RecordLatency(latency time.Duration) {
	l.recordSuccess()
	sample := max(latency.Microseconds(), 1)
	old := l.LatencyMicros.Load()
	if old == 0 {
		l.LatencyMicros.Store(sample)
		return
	}
	l.LatencyMicros.Store(max(old+(sample-old)/latencyWeight, 1))
}

// recordSuccess resets the failure counters and lowers the failure share.
func (l *Stats) recordSuccess() {
	if l.consecutiveFailures.Load() != 0 {
		l.consecutiveFailures.Store(0)
	}
	if l.consecutiveEjections.Load() != 0 {
		l.consecutiveEjections.Store(0)
	}
	if share := l.failures.Load(); share != 0 {
		l.failures.Store(share - (share+failureWeight-1)/failureWeight)
	}
}

// recordFailure counts one failure and returns the number of consecutive failures.
// The latency of a failure is not recorded: it doesn't reflect the load, and an
// upstream that fails immediately would look the fastest.
func (l *Stats) recordFailure() int64 {
	share := l.failures.Load()
	l.failures.Store(share + (failureUnit-share)/failureWeight)
	return l.consecutiveFailures.Add(1)
}

// FailureShare returns the moving average of the share of failed requests, in 0..1.
func (l *Stats) FailureShare() float64 { return float64(l.failures.Load()) / failureUnit }

// IsEjected reports whether the member is ejected at now, that is skipped because
// it failed much more often than others.
func (l *Stats) IsEjected(now time.Time) bool { return l.isEjectedAt(now.UnixNano()) }

func (l *Stats) isEjectedAt(now int64) bool { return l.ejectedUntil.Load() > now }
