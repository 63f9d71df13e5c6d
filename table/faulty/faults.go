// Package faulty wraps a table service and injects the faults of the platform's
// service: outages, delays, lost requests, lost answers, delayed effects,
// concurrent writers, and rate limits of reads and writes. Faults are chosen at
// random from a seed, and may be changed at run time.
package faulty

import (
	"time"

	"github.com/pkg/errors"
)

// Faults holds the faults to inject. The zero value is a service without faults.
// Probabilities run from 0 to 1.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// Jitter is the maximum of a uniformly distributed time added to Delay.
	Jitter time.Duration `json:"jitter"`
	// LostRequests is the probability that a commit has no effect and no answer.
	LostRequests float64 `json:"lost_requests"`
	// LostAnswers is the probability that a commit takes effect and the answer
	// is lost. For reads it is the probability that the read fails.
	LostAnswers float64 `json:"lost_answers"`
	// LateEffects is the probability that the answer of a commit is lost and
	// that the service applies it only after LateBy.
	LateEffects float64       `json:"late_effects"`
	LateBy      time.Duration `json:"late_by"`
	// Conflicts is the probability that another writer changes the rows of a
	// commit's conditions just before it.
	Conflicts float64 `json:"conflicts"`
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// Check returns the first value that is out of range.
func (f Faults) Check() error {
	probabilities := []struct {
		name  string
		value float64
	}{
		{"lost_requests", f.LostRequests},
		{"lost_answers", f.LostAnswers},
		{"late_effects", f.LateEffects},
		{"conflicts", f.Conflicts},
	}
	for _, p := range probabilities {
		if !(p.value >= 0 && p.value <= 1) {
			return errors.Errorf("%s: %v is not between 0 and 1", p.name, p.value)
		}
	}
	if f.Delay < 0 || f.Jitter < 0 || f.LateBy < 0 {
		return errors.New("delay, jitter, late_by: a time is below zero")
	}
	if !(f.WritesPerSecond >= 0 && f.ReadsPerSecond >= 0) {
		return errors.New("writes_per_second, reads_per_second: a rate is below zero")
	}
	return nil
}
