package configuration

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/telemetry"
)

// Metrics holds the metrics of the configuration in force.
type Metrics struct {
	// Version is that of the configuration in force.
	Version tally.Gauge
	// Age is the time since the last call was sent whose answer confirmed it.
	Age tally.Gauge
	// Transfer is the time from the first to the last byte of an answer that held a
	// configuration.
	Transfer tally.Histogram
}

// NewMetrics creates the metrics in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("configuration")
	return &Metrics{
		Version:  scope.Gauge("version"),
		Age:      scope.Gauge("age"),
		Transfer: scope.Histogram("transfer", telemetry.LatencyBuckets()),
	}
}

func (m *Metrics) recordAge(age time.Duration) { m.Age.Update(age.Seconds()) }
