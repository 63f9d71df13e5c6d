package main

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest"
)

// attempt is one result with the time that it took in the run.
type attempt struct {
	outcome  loadtest.Outcome
	ran      carobkeel.Ran
	code     carobkeel.Code
	target   int
	from, to time.Duration
}

// window is a time in which an entry was killed or paused, or starting again.
type window struct {
	target   int
	from, to time.Duration
}

func (w window) covers(a attempt) bool {
	return a.target == w.target && a.from <= w.to && a.to >= w.from
}

// counts are the promises of the brief as a run kept or broke them.
type counts struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Doubled counts requests that are not idempotent and ran more than once.
	Doubled int `json:"doubled"`
	// FalselyRefused counts requests that ran although every answer to them
	// said "not run".
	FalselyRefused int `json:"falsely_refused"`
	// FalselyRan counts requests that never ran although an answer said so.
	FalselyRan int `json:"falsely_ran"`
	// Mismatched counts answers to another request, or cut ones.
	Mismatched int `json:"mismatched"`
	// Failed counts answers without a valid result code or with a wrong status.
	Failed int `json:"failed"`
	// Lost counts attempts without an answer while their entry was neither
	// killed nor paused.
	Lost int `json:"lost"`
	// LostWithEntry counts attempts without an answer whose entry was killed or
	// paused meanwhile.
	LostWithEntry int `json:"lost_with_entry"`
	Unreachable   int `json:"unreachable"`
}

// broken reports whether a promise was broken.
func (c counts) broken() bool {
	return c.Doubled+c.FalselyRefused+c.FalselyRan+c.Mismatched+c.Failed+c.Lost > 0
}

// judge holds the attempts of each request against the number of its runs.
func judge(attempts map[string][]attempt, runs func(name string) int64, hurt []window) (counts, []finding) {
	var c counts
	var findings []finding
	found := make(map[string]int)
	for name, all := range attempts {
		c.Requests++
		count := runs(name)
		before := c
		c.addAttempts(all, hurt)
		c.addRuns(all, count)
		if kind := before.difference(c); kind != "" && found[kind] < maxFindings {
			found[kind]++
			findings = append(findings, finding{Request: name, Kind: kind, Runs: count, Attempts: describe(all)})
		}
	}
	return c, findings
}

func (c *counts) addAttempts(all []attempt, hurt []window) {
	for _, a := range all {
		switch a.outcome {
		case loadtest.Answered:
			c.Answered++
		case loadtest.Refused:
			c.Refused++
		case loadtest.Mismatched:
			c.Mismatched++
		case loadtest.Failed:
			c.Failed++
		case loadtest.Unreachable:
			c.Unreachable++
		case loadtest.Lost:
			if isHurt(a, hurt) {
				c.LostWithEntry++
			} else {
				c.Lost++
			}
		}
	}
}

func isHurt(a attempt, hurt []window) bool {
	for _, w := range hurt {
		if w.covers(a) {
			return true
		}
	}
	return false
}

func (c *counts) addRuns(all []attempt, runs int64) {
	if runs > 1 {
		c.Doubled++
	}
	deniedByAll, confirmed := true, false
	for _, a := range all {
		denied := a.outcome == loadtest.Unreachable || (a.outcome == loadtest.Refused && a.ran == carobkeel.RanNo)
		deniedByAll = deniedByAll && denied
		confirmed = confirmed || a.outcome == loadtest.Answered || (a.outcome == loadtest.Refused && a.ran == carobkeel.RanYes)
	}
	if deniedByAll && runs > 0 {
		c.FalselyRefused++
	}
	if confirmed && runs == 0 {
		c.FalselyRan++
	}
}

// difference names the promise that later counts more of.
func (c counts) difference(later counts) string {
	switch {
	case later.Doubled > c.Doubled:
		return "doubled"
	case later.FalselyRefused > c.FalselyRefused:
		return "falsely refused"
	case later.FalselyRan > c.FalselyRan:
		return "falsely said to have run"
	case later.Mismatched > c.Mismatched:
		return "mismatched"
	case later.Failed > c.Failed:
		return "failed"
	case later.Lost > c.Lost:
		return "lost"
	}
	return ""
}

// maxFindings bounds the broken promises of one kind that a run lists in full.
const maxFindings = 5

// finding is one broken promise.
type finding struct {
	Request  string        `json:"request"`
	Kind     string        `json:"kind"`
	Runs     int64         `json:"runs"`
	Attempts []attemptJSON `json:"attempts"`
}

// attemptJSON is an attempt as a report shows it.
type attemptJSON struct {
	Entry   int     `json:"entry"`
	From    float64 `json:"from_seconds"`
	To      float64 `json:"to_seconds"`
	Outcome string  `json:"outcome"`
	Code    string  `json:"code,omitempty"`
	Ran     string  `json:"ran,omitempty"`
}

func describe(all []attempt) []attemptJSON {
	var described []attemptJSON
	for _, a := range all {
		d := attemptJSON{Entry: a.target, From: a.from.Seconds(), To: a.to.Seconds(), Outcome: a.outcome.String()}
		if a.outcome == loadtest.Refused {
			d.Code, d.Ran = a.code.String(), a.ran.String()
		}
		described = append(described, d)
	}
	return described
}
