package loadtest

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestHistogramBucketsHoldTheirValuesWithinThePrecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistogram(rapid.SampledFrom([]uint{slotPrecision, runPrecision}).Draw(t, "precision"))
		micros := rapid.Uint64Range(0, maxMicros).Draw(t, "micros")
		index := h.bucketIndex(micros)
		value := uint64(h.bucketMax(index))
		if value < micros || float64(value-micros) > float64(micros)/float64(uint64(1)<<h.precision) {
			t.Fatalf("%d is counted as %d", micros, value)
		}
		if index > 0 && uint64(h.bucketMax(index-1)) >= micros {
			t.Fatalf("%d belongs to an earlier bucket", micros)
		}
	})
}

func TestHistogramRecordsAnyDuration(t *testing.T) {
	h := newHistogram(runPrecision)
	for _, latency := range []time.Duration{-time.Second, 0, time.Microsecond, 24 * time.Hour} {
		h.record(latency)
	}
	merged := newMergedHistogram()
	h.addTo(merged)
	if merged.TotalCount() != 4 || merged.Max() < maxMicros-maxMicros>>runPrecision {
		t.Fatalf("%d values, maximum %d", merged.TotalCount(), merged.Max())
	}
}
