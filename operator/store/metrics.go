package store

import (
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel/internal/telemetry"
)

// Metrics counts what happens to edits and stops.
type Metrics struct {
	// Edits counts edits by result code.
	Edits *telemetry.CodeCounters
	// EditsRepeated counts repeats of edits that had been accepted.
	EditsRepeated tally.Counter
	// EditRaces counts transactions that failed because another edit was
	// committed first.
	EditRaces tally.Counter
	// OlderRevisionReads counts reads that returned an older revision than one seen.
	OlderRevisionReads tally.Counter
	// Revision is the highest revision seen.
	Revision tally.Gauge
	// StopSteps counts steps of planned stops that were written.
	StopSteps tally.Counter
	// StopRaces counts steps of planned stops that another process took first.
	StopRaces tally.Counter
}

// NewMetrics returns the metrics, which it registers in the scope.
func NewMetrics(root tally.Scope) *Metrics {
	scope := root.SubScope("operator")
	return &Metrics{
		Edits:              telemetry.NewCodeCounters(scope, "edits"),
		EditsRepeated:      scope.Counter("edits_repeated"),
		EditRaces:          scope.Counter("edit_races"),
		OlderRevisionReads: scope.Counter("older_states"),
		Revision:           scope.Gauge("revision"),
		StopSteps:          scope.Counter("stop_steps"),
		StopRaces:          scope.Counter("stop_races"),
	}
}
