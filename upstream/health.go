// Package upstream tracks the health of the service instance that a sidecar runs
// beside: whether it is serving, draining or down.
//
// The package does no I/O and reads no clock. Its sub-packages hold the client
// that calls the instance, and a sample service.
package upstream

// Health is the health of an upstream as observed by its sidecar.
type Health uint8

// Health states of an upstream.
const (
	// HealthUnknown is the state before the first probe.
	HealthUnknown Health = iota
	// HealthServing means that the upstream answers probes and accepts requests.
	HealthServing
	// HealthDraining means that the upstream is shutting down.
	HealthDraining
	// HealthDown means that the upstream does not answer probes.
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

// ProbeResult is the result of a health probe.
type ProbeResult uint8

// Results of a health probe.
const (
	// ProbeOK means that the upstream accepts requests.
	ProbeOK ProbeResult = iota
	// ProbeDraining means that the upstream is shutting down.
	ProbeDraining
	// ProbeFailed means that there was no valid response.
	ProbeFailed
)

// downThreshold is the number of consecutive failed probes after which a serving
// upstream is considered down. With a threshold above 1, a single lost probe does
// not take the upstream out of service.
const downThreshold = 3

// Monitor derives an upstream's health from its probes. The zero value is a
// monitor that has observed no probe. It is not safe for concurrent use.
type Monitor struct {
	health   Health
	failures int
}

// Health returns the current health.
func (m *Monitor) Health() Health { return m.health }

// Observe records a probe and returns the health after it. The second result
// reports whether the health changed.
func (m *Monitor) Observe(p ProbeResult) (Health, bool) {
	before := m.health
	m.health = m.next(p)
	return m.health, m.health != before
}

func (m *Monitor) next(p ProbeResult) Health {
	switch p {
	case ProbeOK:
		m.failures = 0
		return HealthServing
	case ProbeDraining:
		m.failures = 0
		return HealthDraining
	}
	m.failures++
	if m.health == HealthServing && m.failures < downThreshold {
		return HealthServing
	}
	return HealthDown
}
