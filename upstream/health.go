// Package upstream is about the service instance beside a sidecar: whether it
// serves, drains or is gone.
//
// The package is pure. The sub-packages hold the client that calls it and the
// sample service.
package upstream

// Health is the state of an upstream as its sidecar sees it.
type Health uint8

// States of an upstream.
const (
	// HealthUnknown has not answered a probe yet.
	HealthUnknown Health = iota
	// HealthServing answers probes and takes requests.
	HealthServing
	// HealthDraining says that it is shutting down.
	HealthDraining
	// HealthDown does not answer.
	HealthDown
)

var healthNames = [...]string{"unknown", "serving", "draining", "down"}

// String returns the state's name.
func (h Health) String() string {
	if int(h) >= len(healthNames) {
		return "unknown"
	}
	return healthNames[h]
}

// Probe is the result of asking an upstream for its health.
type Probe uint8

// Results of a probe.
const (
	// ProbeOK says that the upstream takes requests.
	ProbeOK Probe = iota
	// ProbeDraining says that the upstream is shutting down.
	ProbeDraining
	// ProbeFailed got no answer.
	ProbeFailed
)

// failuresToDown is how many probes in a row must fail before a serving
// upstream counts as down, so that one lost probe does not take it out.
const failuresToDown = 3

// Monitor decides an upstream's health from its probes. The zero value is a
// monitor that has seen none. It is for use by one goroutine.
type Monitor struct {
	health   Health
	failures int
}

// Health returns the state.
func (m *Monitor) Health() Health { return m.health }

// Observe returns the state after a probe. The second result says whether it
// differs from before.
func (m *Monitor) Observe(p Probe) (Health, bool) {
	before := m.health
	m.health = m.after(p)
	return m.health, m.health != before
}

func (m *Monitor) after(p Probe) Health {
	switch p {
	case ProbeOK:
		m.failures = 0
		return HealthServing
	case ProbeDraining:
		m.failures = 0
		return HealthDraining
	}
	m.failures++
	if m.health == HealthServing && m.failures < failuresToDown {
		return HealthServing
	}
	return HealthDown
}
