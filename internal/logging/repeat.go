package logging

import (
	"sync/atomic"
	"time"
)

// RepeatInterval is the minimum time between two writes of a repeated line.
const RepeatInterval = 10 * time.Second

// RateLimit limits the rate of one log line. Each call site that may repeat its
// line, such as for a failing connection, has a RateLimit of its own. The zero
// value is ready for use, also by several goroutines.
//
//	if skipped, ok := p.refused.Allow(now); ok {
//		p.log.Warn().Int64("skipped", skipped).Msg("link refused")
//	}
type RateLimit struct {
	// next is the earliest time of the next line, in nanoseconds since the Unix
	// epoch.
	next    atomic.Int64
	skipped atomic.Int64
}

// Allow reports whether the line may be written now, and how many lines were
// skipped since the last one written.
func (l *RateLimit) Allow(now time.Time) (skipped int64, ok bool) {
	nanos := now.UnixNano()
	next := l.next.Load()
	if nanos < next || !l.next.CompareAndSwap(next, nanos+int64(RepeatInterval)) {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}
