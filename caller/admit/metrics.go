package admit

import (
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/telemetry"
)

// Metrics counts the requests that an entry refuses before they are sent, and shows
// whether the fleet is overloaded.
type Metrics struct {
	byOwner    *telemetry.ByOwner[ownerMetrics]
	overloaded tally.Gauge
}

type ownerMetrics struct{ refused tally.Counter }

// NewMetrics returns metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		byOwner:    telemetry.NewByOwner(scope, 0, newOwnerMetrics),
		overloaded: scope.Gauge("admission_flooded"),
	}
}

func newOwnerMetrics(scope tally.Scope) ownerMetrics {
	return ownerMetrics{refused: scope.Counter("admission_refused")}
}

func (m *Metrics) countRefused(owner carobkeel.Owner, class carobkeel.Class) {
	m.byOwner.For(owner, class).refused.Inc(1)
}

func (m *Metrics) setOverloaded(yes bool) {
	if yes {
		m.overloaded.Update(1)
		return
	}
	m.overloaded.Update(0)
}
