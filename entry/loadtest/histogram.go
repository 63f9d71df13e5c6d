package loadtest

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// greatestMicros bounds what a histogram tells apart, about 71 minutes.
	greatestMicros = 1<<32 - 1
	microsBits     = 32
	// runPrecision keeps three significant digits over a whole run.
	runPrecision = 10
	// slotPrecision keeps two digits in each interval of the timeline.
	slotPrecision = 7
	// significantDigits is the precision of the histograms of a report.
	significantDigits = 3
)

// histogram counts latencies in microseconds in buckets of equal relative
// width. Any number of goroutines may record at once.
type histogram struct {
	// precision is the number of bits that are told apart in each power of two.
	precision uint
	counts    []atomic.Uint64
}

func newHistogram(precision uint) *histogram {
	buckets := (microsBits - precision + 1) << precision
	return &histogram{precision: precision, counts: make([]atomic.Uint64, buckets)}
}

// record counts one latency.
func (h *histogram) record(latency time.Duration) {
	micros := min(max(latency.Microseconds(), 0), greatestMicros)
	h.counts[h.index(uint64(micros))].Add(1)
}

// index returns the bucket of a value. Values below 2^precision have buckets of
// their own; above, each power of two has 2^precision buckets.
func (h *histogram) index(micros uint64) int {
	excess := max(bits.Len64(micros)-int(h.precision)-1, 0)
	return excess<<h.precision + int(micros>>excess)
}

// value returns the greatest value of a bucket.
func (h *histogram) value(index int) int64 {
	excess := max(index>>h.precision-1, 0)
	mantissa := index - excess<<h.precision
	return int64(mantissa+1)<<excess - 1
}

// addTo adds the counts to a histogram of the library.
func (h *histogram) addTo(sum *hdrhistogram.Histogram) {
	for i := range h.counts {
		if count := h.counts[i].Load(); count > 0 {
			// A value within the range of sum is always taken.
			_ = sum.RecordValues(h.value(i), int64(count))
		}
	}
}

// newSum returns an empty histogram that takes every value of a histogram.
func newSum() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, greatestMicros, significantDigits)
}
