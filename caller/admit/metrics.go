package admit

import (
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
)

// Metrics counts what an entry refuses before it is sent.
type Metrics struct {
	byOwner *telemetry.ByOwner[ownerMetrics]
	flood   tally.Gauge
}

type ownerMetrics struct{ refused tally.Counter }

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		byOwner: telemetry.NewByOwner(scope, 0, newOwnerMetrics),
		flood:   scope.Gauge("admission_flooded"),
	}
}

func newOwnerMetrics(scope tally.Scope) ownerMetrics {
	return ownerMetrics{refused: scope.Counter("admission_refused")}
}

func (m *Metrics) refuse(owner carobkeel.Owner, class carobkeel.Class) {
	m.byOwner.For(owner, class).refused.Inc(1)
}

func (m *Metrics) flooded(yes bool) {
	if yes {
		m.flood.Update(1)
		return
	}
	m.flood.Update(0)
}
