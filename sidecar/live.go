package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// Live counts what this entry has in flight at one sidecar and what it has seen
// of it. All fields are changed atomically on the path of requests.
type Live struct {
	// inFlight counts this entry's requests there by class.
	inFlight [carobkeel.ClassCount]atomic.Int64
	// sequence and heard are those of the last announcement.
	sequence atomic.Uint64
	heard    atomic.Int64
	// reported is the sidecar's own last word on what runs there and what waits
	// in a class or a more urgent one, of all entries.
	reported [carobkeel.ClassCount]atomic.Int64
	// limit is the sidecar's own last word on how many requests it runs at
	// once, zero before it has said so.
	limit atomic.Int64
	// LatencyMicros is a moving average of the latency in microseconds without
	// the wait for a slot, zero before the first answer.
	LatencyMicros atomic.Int64
	// RoundTripMicros is the last round trip of a heartbeat to the sidecar in
	// microseconds.
	RoundTripMicros atomic.Int64
	// failures is a moving average of the share of requests that failed, in
	// parts of failureUnit.
	failures atomic.Int64
	// failuresInARow is the number of failures since the last success.
	failuresInARow atomic.Int64
	// ejections is the number of ejections in a row that no success has ended.
	ejections atomic.Int64
	// ejectedUntil is the end of the last ejection in Unix nanoseconds.
	ejectedUntil atomic.Int64
	// rampFrom is when the slow start began, in Unix nanoseconds.
	rampFrom atomic.Int64
	// draining says that the sidecar refused a request because it drains.
	draining atomic.Bool
}

const (
	// latencyWeight is the inverse weight of a new sample in the moving average.
	latencyWeight = 8
	// failureWeight is the inverse weight of one result in the share of failures.
	failureWeight = 8
	// failureUnit is a share of failures of one.
	failureUnit = 1 << 16
)

// newLive returns the counts of a sidecar that is first heard of at now.
func newLive(now time.Time) *Live {
	l := &Live{}
	l.rampFrom.Store(now.UnixNano())
	return l
}

// Heard returns when the last announcement arrived.
func (l *Live) Heard() time.Time { return time.Unix(0, l.heard.Load()) }

// take notes an announcement's arrival and the load that it tells. Failures are
// forgotten step by step, so that a member with no requests gets some again.
func (l *Live) take(a Announcement, now time.Time) {
	l.sequence.Store(a.Sequence)
	l.heard.Store(now.UnixNano())
	l.Report(Load{Running: a.Running, Queued: a.Queued, UrgentQueued: a.UrgentQueued})
	l.draining.Store(false)
	share := l.failures.Load()
	l.failures.Store(share - share/failureWeight)
}

// Load is what a sidecar tells of itself.
type Load struct {
	// Running is the number of requests that have a slot.
	Running int
	// Queued is the number of requests that wait.
	Queued int
	// UrgentQueued is how many of those are latency-critical.
	UrgentQueued int
	// Limit is how many run at once, zero where that is not told.
	Limit int
}

// Report notes the load that a sidecar tells.
func (l *Live) Report(load Load) {
	l.reported[carobkeel.ClassLatencyCritical].Store(int64(load.Running + load.UrgentQueued))
	l.reported[carobkeel.ClassBatch].Store(int64(load.Running + load.Queued))
	if load.Limit > 0 {
		l.limit.Store(int64(load.Limit))
	}
}

// Reported returns the sidecar's own last word on the requests that run or wait
// there, of all entries.
func (l *Live) Reported() int64 { return l.reported[carobkeel.ClassBatch].Load() }

// Begin counts a request of the class that is sent to the sidecar, End one that
// is over.
func (l *Live) Begin(class carobkeel.Class) { l.inFlight[class].Add(1) }

// End ends a request that Begin counted.
func (l *Live) End(class carobkeel.Class) { l.inFlight[class].Add(-1) }

// InFlight returns this entry's requests at the sidecar in the class and the
// more urgent ones.
func (l *Live) InFlight(class carobkeel.Class) int64 {
	count := l.inFlight[carobkeel.ClassLatencyCritical].Load()
	if class != carobkeel.ClassLatencyCritical {
		count += l.inFlight[carobkeel.ClassBatch].Load()
	}
	return count
}

// Drained notes that the sidecar refused a request because it drains. It gets no
// further one before its next announcement.
func (l *Live) Drained() { l.draining.Store(true) }

// Observe adds one answer's latency to the moving average. The time that the
// request waited for a slot is left out: what waits there is counted apart, and
// the next request may be of an owner that waits less. Two answers at the
// same moment may lose one sample, which the average bears.
func (l *Live) Observe(latency time.Duration) {
	l.succeed()
	sample := max(latency.Microseconds(), 1)
	old := l.LatencyMicros.Load()
	if old == 0 {
		l.LatencyMicros.Store(sample)
		return
	}
	l.LatencyMicros.Store(max(old+(sample-old)/latencyWeight, 1))
}

func (l *Live) succeed() {
	if l.failuresInARow.Load() != 0 {
		l.failuresInARow.Store(0)
	}
	if l.ejections.Load() != 0 {
		l.ejections.Store(0)
	}
	if share := l.failures.Load(); share != 0 {
		l.failures.Store(share - (share+failureWeight-1)/failureWeight)
	}
}

// fail adds one failure and returns the number of failures in a row. The latency
// of a failure says nothing of the load and is left out, since an upstream that
// fails at once would look the fastest.
func (l *Live) fail() int64 {
	share := l.failures.Load()
	l.failures.Store(share + (failureUnit-share)/failureWeight)
	return l.failuresInARow.Add(1)
}

// FailureShare returns the recent share of requests that failed, in 0..1.
func (l *Live) FailureShare() float64 { return float64(l.failures.Load()) / failureUnit }

// IsEjected reports whether the member is passed over at now because it failed
// much more than others.
func (l *Live) IsEjected(now time.Time) bool { return l.isEjectedAt(now.UnixNano()) }

func (l *Live) isEjectedAt(now int64) bool { return l.ejectedUntil.Load() > now }
