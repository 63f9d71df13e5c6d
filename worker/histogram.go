package worker

import (
	"math"
	"time"
)

const (
	// ratioOctaves is the range of a ratioHistogram in octaves: 2^-5 to 2^5.
	ratioOctaves = 10
	// ratioBucketsPerOctave makes a bucket 12 % wide.
	ratioBucketsPerOctave = 6
	ratioBuckets          = ratioOctaves * ratioBucketsPerOctave
	// rescaleAt is the weight of a new count above which a histogram is scaled
	// down. It is far below the weight at which float32 would lose precision
	// when adding to older counts.
	rescaleAt = 1 << 16
)

// ratioHistogram counts ratios of actual to declared amounts in buckets of equal
// width on a logarithmic scale. Counts lose half their weight in each half-life.
// Instead of reducing old counts, add gives new ones a weight that grows
// exponentially with the time since origin.
type ratioHistogram struct {
	weights [ratioBuckets]float32
	total   float32
	origin  time.Time
}

func (h *ratioHistogram) add(ratio float64, at time.Time, halfLife time.Duration) {
	if h.origin.IsZero() {
		h.origin = at
	}
	weight := float32(math.Exp2(float64(at.Sub(h.origin)) / float64(halfLife)))
	if weight > rescaleAt {
		h.rescale(1/weight, at)
		weight = 1
	}
	h.weights[ratioBucket(ratio)] += weight
	h.total += weight
}

func (h *ratioHistogram) rescale(by float32, at time.Time) {
	h.total, h.origin = 0, at
	for i := range h.weights {
		h.weights[i] *= by
		h.total += h.weights[i]
	}
}

// quantile returns the upper bound of the bucket that contains the quantile, zero
// for an empty histogram.
func (h *ratioHistogram) quantile(q float64) float64 {
	if h.total == 0 {
		return 0
	}
	remaining := float32(q) * h.total
	last := 0
	for i, weight := range h.weights {
		if weight == 0 {
			continue
		}
		last = i
		if remaining -= weight; remaining <= 0 {
			break
		}
	}
	return math.Exp2(float64(last+1)/ratioBucketsPerOctave - ratioOctaves/2)
}

func ratioBucket(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	bucket := int(math.Floor((math.Log2(ratio) + ratioOctaves/2) * ratioBucketsPerOctave))
	return min(max(bucket, 0), ratioBuckets-1)
}
