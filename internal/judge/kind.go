package judge

import "reflect"

// Kind implements Observation.
func (SubmissionSent) Kind() string { return "submission-sent" }

// Kind implements Observation.
func (SubmissionAnswered) Kind() string { return "submission-answered" }

// Kind implements Observation.
func (CancelSent) Kind() string { return "cancel-sent" }

// Kind implements Observation.
func (CancelAcknowledged) Kind() string { return "cancel-acknowledged" }

// Kind implements Observation.
func (StateAnswered) Kind() string { return "state-answered" }

// Kind implements Observation.
func (WaitingAnswered) Kind() string { return "waiting-answered" }

// Kind implements Observation.
func (TrafficEnded) Kind() string { return "traffic-ended" }

// Kind implements Observation.
func (WorkerStarted) Kind() string { return "worker-started" }

// Kind implements Observation.
func (WorkerEnded) Kind() string { return "worker-ended" }

// Kind implements Observation.
func (RunStarted) Kind() string { return "run-began" }

// Kind implements Observation.
func (CheckpointSaved) Kind() string { return "checkpoint-saved" }

// Kind implements Observation.
func (RunEnded) Kind() string { return "run-ended" }

// Kind implements Observation.
func (EndsListed) Kind() string { return "ends-listed" }

// Kind implements Observation.
func (EndsAcknowledged) Kind() string { return "ends-acknowledged" }

// Kind implements Observation.
func (LeaseExpired) Kind() string { return "lease-expired" }

// Kind implements Observation.
func (DrainReported) Kind() string { return "drain-reported" }

// Kind implements Observation.
func (DrainAcknowledged) Kind() string { return "drain-acknowledged" }

// Kind implements Observation.
func (ConfigurationSent) Kind() string { return "configuration-sent" }

// Kind implements Observation.
func (ConfigurationAcknowledged) Kind() string { return "configuration-acknowledged" }

// Kind implements Observation.
func (Disruption) Kind() string { return "disruption" }

// Kind implements Observation.
func (DisruptionEnded) Kind() string { return "disruption-ended" }

// observations holds one value of each type.
var observations = []Observation{
	SubmissionSent{},
	SubmissionAnswered{},
	CancelSent{},
	CancelAcknowledged{},
	StateAnswered{},
	WaitingAnswered{},
	TrafficEnded{},
	WorkerStarted{},
	WorkerEnded{},
	RunStarted{},
	CheckpointSaved{},
	RunEnded{},
	EndsListed{},
	EndsAcknowledged{},
	LeaseExpired{},
	DrainReported{},
	DrainAcknowledged{},
	ConfigurationSent{},
	ConfigurationAcknowledged{},
	Disruption{},
	DisruptionEnded{},
}

// NewObservation returns a pointer to an empty observation of the kind, for a decoder, and
// false if there is no such kind.
func NewObservation(kind string) (any, bool) {
	for _, o := range observations {
		if o.Kind() == kind {
			return reflect.New(reflect.TypeOf(o)).Interface(), true
		}
	}
	return nil, false
}
