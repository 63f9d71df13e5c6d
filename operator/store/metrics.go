package store

import "github.com/uber-go/tally/v4"

// Metrics counts what happens to edits and stops.
type Metrics struct {
	// EditsAccepted counts edits that became a revision.
	EditsAccepted tally.Counter
	// EditsUnchanged counts edits after which nothing differs.
	EditsUnchanged tally.Counter
	// EditsRepeated counts repeats of edits that had been accepted.
	EditsRepeated tally.Counter
	// EditsRefused counts edits that were refused by a decision.
	EditsRefused tally.Counter
	// EditsUnsettled counts edits whose outcome stayed unknown.
	EditsUnsettled tally.Counter
	// EditRaces counts transactions that lost against another edit.
	EditRaces tally.Counter
	// StopSteps counts steps of planned stops that were written.
	StopSteps tally.Counter
	// StopRaces counts steps of planned stops that another process took first.
	StopRaces tally.Counter
	// OlderStates counts reads that gave an older revision than one seen.
	OlderStates tally.Counter
	// Revision is the highest revision seen.
	Revision tally.Gauge
}

// NewMetrics returns the metrics in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	edits := func(result string) tally.Counter {
		return scope.Tagged(map[string]string{"result": result}).Counter("edits")
	}
	steps := func(result string) tally.Counter {
		return scope.Tagged(map[string]string{"result": result}).Counter("stop_steps")
	}
	return &Metrics{
		EditsAccepted:  edits("accepted"),
		EditsUnchanged: edits("unchanged"),
		EditsRepeated:  edits("repeated"),
		EditsRefused:   edits("refused"),
		EditsUnsettled: edits("unsettled"),
		EditRaces:      scope.Counter("edit_races"),
		StopSteps:      steps("written"),
		StopRaces:      steps("raced"),
		OlderStates:    scope.Counter("older_states"),
		Revision:       scope.Gauge("revision"),
	}
}
