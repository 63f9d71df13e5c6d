package logging

import (
	"sync/atomic"
	"time"
)

// RepeatInterval is how often a line that repeats is written.
const RepeatInterval = 10 * time.Second

// RepeatLimit bounds how often one line is written. Each place that may repeat
// its line, such as a failing connection, has a RepeatLimit of its own. The zero
// value is ready and may be used by several goroutines.
//
//	if skipped, ok := p.refused.Allow(now); ok {
//		p.log.Warn().Int64("skipped", skipped).Msg("link refused")
//	}
type RepeatLimit struct {
	// next is the time from which a line is written again, in nanoseconds of
	// the Unix epoch.
	next    atomic.Int64
	skipped atomic.Int64
}

// Allow reports whether the line may be written now, and how many were skipped
// since the last one that was.
func (l *RepeatLimit) Allow(now time.Time) (skipped int64, ok bool) {
	nanos := now.UnixNano()
	next := l.next.Load()
	if nanos < next || !l.next.CompareAndSwap(next, nanos+int64(RepeatInterval)) {
		l.skipped.Add(1)
		return 0, false
	}
	return l.skipped.Swap(0), true
}
