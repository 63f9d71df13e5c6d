package loadtest

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestHistogramBucketsHoldTheirValuesWithinThePrecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistogram(rapid.SampledFrom([]uint{slotPrecision, runPrecision}).Draw(t, "precision"))
		micros := rapid.Uint64Range(0, greatestMicros).Draw(t, "micros")
		index := h.index(micros)
		value := uint64(h.value(index))
		if value < micros || float64(value-micros) > float64(micros)/float64(uint64(1)<<h.precision) {
			t.Fatalf("%d is counted as %d", micros, value)
		}
		if index > 0 && uint64(h.value(index-1)) >= micros {
			t.Fatalf("%d belongs to an earlier bucket", micros)
		}
	})
}

func TestHistogramTakesEveryDuration(t *testing.T) {
	h := newHistogram(runPrecision)
	for _, latency := range []time.Duration{-time.Second, 0, time.Microsecond, 24 * time.Hour} {
		h.record(latency)
	}
	sum := newSum()
	h.addTo(sum)
	if sum.TotalCount() != 4 || sum.Max() < greatestMicros-greatestMicros>>runPrecision {
		t.Fatalf("%d values, maximum %d", sum.TotalCount(), sum.Max())
	}
}
