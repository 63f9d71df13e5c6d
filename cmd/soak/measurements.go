package main

import "github.com/carobkeel/carobkeel/internal/measurement"

// measurements returns the result as records for the page of measurements.
func (r *result) measurements() []measurement.Record {
	c := r.Counts
	violations := []struct {
		name  string
		count int
	}{
		{"doubled", c.Doubled},
		{"falsely-refused", c.FalselyRefused},
		{"falsely-said-to-have-run", c.FalselyRan},
		{"mismatched", c.Mismatched},
		{"failed", c.Failed},
		{"lost", c.Lost},
	}
	var all []measurement.Record
	for _, b := range violations {
		verdict := "met"
		if b.count > 0 {
			verdict = "miss"
		}
		all = append(all, r.record(b.name, float64(b.count), "requests", "<=0", verdict))
	}
	share := float64(r.Load.Totals.Count.Answered) / float64(max(r.Load.Totals.Count.Sent, 1))
	return append(all,
		r.record("faults", float64(len(r.Faults)), "faults", "-", "measured"),
		r.record("requests", float64(c.Requests), "requests", "-", "measured"),
		r.record("answered", share, "share", ">=0", "measured"),
		r.record("answered-p99", float64(r.Load.Totals.Answered.P99), "ms", "-", "measured"),
	)
}

func (r *result) record(name string, value float64, unit, target, verdict string) measurement.Record {
	return measurement.Record{
		Time: r.Time, Commit: r.Commit, Seed: r.Seed, Suite: "soak",
		Name: name, Value: value, Unit: unit, Target: target, Verdict: verdict,
	}
}
