package loadtest

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the largest latency that a histogram distinguishes, about 71
	// minutes. Longer latencies are counted as this one.
	maxMicros  = 1<<32 - 1
	microsBits = 32
	// runPrecision gives three significant digits for the histograms of a full
	// run.
	runPrecision = 10
	// slotPrecision gives two significant digits for the histograms of the
	// timeline's intervals.
	slotPrecision = 7
	// significantDigits is the precision of the library's histograms, from which
	// a report is made.
	significantDigits = 3
)

// histogram counts latencies in microseconds, in buckets of about equal relative
// width. It is safe for concurrent use.
type histogram struct {
	// precision is the number of bits that distinguish values within a power of
	// two.
	precision uint
	counts    []atomic.Uint64
}

func newHistogram(precision uint) *histogram {
	buckets := (microsBits - precision + 1) << precision
	return &histogram{precision: precision, counts: make([]atomic.Uint64, buckets)}
}

func (h *histogram) record(latency time.Duration) {
	micros := min(max(latency.Microseconds(), 0), maxMicros)
	h.counts[h.bucketIndex(uint64(micros))].Add(1)
}

// bucketIndex returns the index of a value's bucket. Each value below 2^precision
// has a bucket of its own; above that, each power of two has 2^precision buckets.
func (h *histogram) bucketIndex(micros uint64) int {
	excess := max(bits.Len64(micros)-int(h.precision)-1, 0)
	return excess<<h.precision + int(micros>>excess)
}

// bucketMax returns the largest value of a bucket.
func (h *histogram) bucketMax(index int) int64 {
	excess := max(index>>h.precision-1, 0)
	mantissa := index - excess<<h.precision
	return int64(mantissa+1)<<excess - 1
}

// addTo adds the counts to a histogram of the library.
func (h *histogram) addTo(merged *hdrhistogram.Histogram) {
	for i := range h.counts {
		if count := h.counts[i].Load(); count > 0 {
			// RecordValues fails only for values out of the histogram's range.
			_ = merged.RecordValues(h.bucketMax(i), int64(count))
		}
	}
}

// newMergedHistogram returns an empty histogram of the library whose range covers
// every value of a histogram.
func newMergedHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicros, significantDigits)
}
