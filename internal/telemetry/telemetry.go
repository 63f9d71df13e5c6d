// Package telemetry creates the root scope of a process's metrics, serves them as
// Prometheus text, and bounds the number of label values.
//
// Each package keeps its metrics in one file, metrics.go, whose constructor
// takes the root scope, adds a SubScope named after the package and creates every
// metric once. docs/METRICS.md lists all metrics, and a test compares the page
// with the code. Counters, gauges and histograms use atomics and may be
// used on the path of a request; a tally.Timer takes a lock and must not be.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

const (
	// Prefix is the prefix of the name of every metric.
	Prefix = "carobkeel"
	// defaultInterval is the default of Config.Interval.
	defaultInterval = time.Second
)

// Labels that metrics are broken down by.
const (
	LabelOwner = "owner"
	LabelClass = "class"
	LabelCode  = "code"
)

// Config holds the settings of a process's metrics.
type Config struct {
	// Interval is the time between two updates of the values served at /metrics.
	// Zero means one second.
	Interval time.Duration
	// OnError is called with the error if a metric can't be registered; that
	// metric is not served. Nil ignores such errors.
	OnError func(error)
}

// New returns the root scope, the handler of /metrics, and a closer that updates
// the served values a last time and stops further updates.
func New(c Config) (tally.Scope, http.Handler, io.Closer) {
	if c.Interval <= 0 {
		c.Interval = defaultInterval
	}
	if c.OnError == nil {
		c.OnError = func(error) {}
	}
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer:      prometheus.NewRegistry(),
		OnRegisterError: c.OnError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, c.Interval)
	return scope, reporter.HTTPHandler(), closer
}

// sanitizeOptions returns Prometheus's rules, but allows dashes and dots in label
// values, since names of owners and classes contain them.
func sanitizeOptions() *tally.SanitizeOptions {
	options := tallyprometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: tally.UnderscoreDashDotCharacters,
	}
	return &options
}

// LatencyBuckets returns the buckets of histograms of latency, queue wait and
// start delay, from half a millisecond to a minute.
func LatencyBuckets() tally.DurationBuckets {
	return tally.DurationBuckets{
		500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
		10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
		5 * time.Second, 10 * time.Second, time.Minute,
	}
}
