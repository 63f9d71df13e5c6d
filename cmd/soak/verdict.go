package main

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry/loadtest"
)

// attempt is the result of one attempt of a request. Its times are relative to
// the start of the load.
type attempt struct {
	outcome  loadtest.Outcome
	ran      carobkeel.Ran
	code     carobkeel.Code
	target   int
	from, to time.Duration
}

// disruption is a period in which an entry was killed, paused or restarting.
type disruption struct {
	target   int
	from, to time.Duration
}

func (d disruption) overlaps(a attempt) bool {
	return a.target == d.target && a.from <= d.to && a.to >= d.from
}

// counts holds the results of a soak test and the violations of each guarantee
// to callers.
type counts struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Doubled counts requests that are not idempotent and ran more than once.
	Doubled int `json:"doubled"`
	// FalselyRefused counts requests that ran although every attempt was refused
	// as "not run" or reached no entry.
	FalselyRefused int `json:"falsely_refused"`
	// FalselyRan counts requests that never ran although an answer reported that
	// they had.
	FalselyRan int `json:"falsely_ran"`
	// Mismatched counts answers that belong to another request or are truncated.
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

// violated reports whether any guarantee was violated.
func (c counts) violated() bool {
	return c.Doubled+c.FalselyRefused+c.FalselyRan+c.Mismatched+c.Failed+c.Lost > 0
}

// checkGuarantees compares the attempts of each request with the number of its
// runs, and returns the counts and the first violations of each kind.
func checkGuarantees(attempts map[string][]attempt, runs func(name string) int64, disruptions []disruption) (counts, []finding) {
	var c counts
	var findings []finding
	found := make(map[string]int)
	for name, all := range attempts {
		c.Requests++
		count := runs(name)
		before := c
		c.addAttempts(all, disruptions)
		c.compareRuns(all, count)
		if kind := before.increased(c); kind != "" && found[kind] < maxFindings {
			found[kind]++
			findings = append(findings, finding{Request: name, Kind: kind, Runs: count, Attempts: describe(all)})
		}
	}
	return c, findings
}

func (c *counts) addAttempts(all []attempt, disruptions []disruption) {
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
			if isDisrupted(a, disruptions) {
				c.LostWithEntry++
			} else {
				c.Lost++
			}
		}
	}
}

func isDisrupted(a attempt, disruptions []disruption) bool {
	for _, d := range disruptions {
		if d.overlaps(a) {
			return true
		}
	}
	return false
}

func (c *counts) compareRuns(all []attempt, runs int64) {
	if runs > 1 {
		c.Doubled++
	}
	allNotRun, reportedRun := true, false
	for _, a := range all {
		notRun := a.outcome == loadtest.Unreachable || (a.outcome == loadtest.Refused && a.ran == carobkeel.RanNo)
		allNotRun = allNotRun && notRun
		reportedRun = reportedRun || a.outcome == loadtest.Answered || (a.outcome == loadtest.Refused && a.ran == carobkeel.RanYes)
	}
	if allNotRun && runs > 0 {
		c.FalselyRefused++
	}
	if reportedRun && runs == 0 {
		c.FalselyRan++
	}
}

// increased returns the first kind of violation that later counts more of, or an
// empty string.
func (c counts) increased(later counts) string {
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

// maxFindings bounds the violations of one kind that the result lists in full.
const maxFindings = 5

// finding is one violated guarantee, with all attempts of the request.
type finding struct {
	Request  string        `json:"request"`
	Kind     string        `json:"kind"`
	Runs     int64         `json:"runs"`
	Attempts []attemptJSON `json:"attempts"`
}

// attemptJSON is an attempt as it is written to the result file.
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
