package httpapi

import (
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
)

// Metrics measures what callers are answered, by owner and class.
type Metrics struct {
	scope tally.Scope
	// series is replaced as a whole when an owner is seen for the first time.
	series atomic.Pointer[map[seriesKey]*series]
}

type seriesKey struct {
	owner carobkeel.Owner
	class carobkeel.Class
}

type series struct {
	latency tally.Histogram
	results map[carobkeel.Code]tally.Counter
}

const (
	firstBucket  = 500 * time.Microsecond
	bucketFactor = 2
	bucketCount  = 18
)

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{scope: scope}
	m.series.Store(&map[seriesKey]*series{})
	return m
}

func (m *Metrics) answered(owner carobkeel.Owner, class carobkeel.Class, code carobkeel.Code, took time.Duration) {
	s := m.of(seriesKey{owner: owner, class: class})
	s.latency.RecordDuration(took)
	if counter, ok := s.results[code]; ok {
		counter.Inc(1)
	}
}

func (m *Metrics) of(key seriesKey) *series {
	for {
		all := m.series.Load()
		if found, ok := (*all)[key]; ok {
			return found
		}
		next := maps.Clone(*all)
		next[key] = newSeries(m.scope, key)
		m.series.CompareAndSwap(all, &next)
	}
}

func newSeries(scope tally.Scope, key seriesKey) *series {
	tagged := scope.Tagged(map[string]string{"owner": string(key.owner), "class": key.class.String()})
	buckets := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount)
	s := &series{
		latency: tagged.Histogram("request_latency", buckets),
		results: make(map[carobkeel.Code]tally.Counter),
	}
	for _, info := range carobkeel.Codes() {
		labels := map[string]string{"code": strconv.Itoa(int(info.Code))}
		s.results[info.Code] = tagged.Tagged(labels).Counter("requests")
	}
	return s
}
