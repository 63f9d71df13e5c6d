// Package telemetry makes the root scope of a process's metrics, serves them as
// Prometheus text, and bounds how many label values they may have.
//
// Each package keeps its metrics in one file, metrics.go, whose constructor
// takes the root scope, adds a SubScope named after the package and makes every
// metric once. docs/METRICS.md lists them all, and a test holds the page
// against the code. Counters, gauges and histograms are atomics and may be used
// on the path of a request; a tally.Timer takes a lock and may not.
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
	// Prefix begins the name of every metric.
	Prefix = "carobkeel"
	// defaultInterval is how often counters are copied to the page of metrics.
	defaultInterval = time.Second
)

// Labels that metrics are broken down by.
const (
	LabelOwner = "owner"
	LabelClass = "class"
	LabelCode  = "code"
)

// Config is the settings of a process's metrics.
type Config struct {
	// Interval is how often values are copied to the page. Zero means a second.
	Interval time.Duration
	// OnError is told of a metric that could not be registered, which is then
	// left out of the page. Nil ignores it.
	OnError func(error)
}

// New returns the root scope, the handler of /metrics, and a closer that copies
// the last values and ends the copying.
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

// sanitizeOptions are Prometheus's rules, with dashes and dots kept in label
// values, since owners and classes have them.
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
