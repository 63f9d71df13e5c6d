// Package report holds the results of a load test: their JSON form, the text
// and the plots that people read, and the comparison of two runs.
package report

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
)

// Format is the version of the JSON form.
const Format = 1

// Report is the result of one run. Latency counts from the intended start of a
// request, so that a wait in the load tool itself is part of it.
type Report struct {
	Format   int       `json:"format"`
	Started  time.Time `json:"started"`
	Settings Settings  `json:"settings"`
	// EndedAfter is when the run was ended early, zero where it was not.
	EndedAfter Seconds `json:"ended_after_seconds,omitempty"`
	Totals     Group   `json:"totals"`
	// Groups break the totals down by service, owner and class.
	Groups []Group `json:"groups"`
	// Timeline has a slot for each Interval of the run.
	Interval Seconds `json:"interval_seconds"`
	Timeline []Slot  `json:"timeline"`
	// Curve is the latency of the answered requests by percentile.
	Curve []Point `json:"curve"`
	// Reasons counts the requests without an answer by what was seen.
	Reasons map[string]uint64 `json:"reasons,omitempty"`
}

// Settings is what a run was asked to do.
type Settings struct {
	Commit   string  `json:"commit,omitempty"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate_per_second"`
	Duration Seconds `json:"duration_seconds"`
	Arrivals string  `json:"arrivals"`
	Mix      string  `json:"mix"`
	Floods   []Flood `json:"floods,omitempty"`
	Entries  int     `json:"entries"`
}

// Flood is when a flood began and ended.
type Flood struct {
	At   Seconds `json:"at_seconds"`
	End  Seconds `json:"end_seconds"`
	Text string  `json:"text"`
}

// Seconds is a time span in seconds.
type Seconds float64

// SecondsOf converts a duration.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// Millis is a time span in milliseconds.
type Millis float64

// MillisOf converts a number of microseconds.
func MillisOf(micros int64) Millis { return Millis(float64(micros) / 1000) }

// Counts is how many requests ended in which way. Each request that was sent
// is in exactly one of Answered, Refused, Failed, Mismatched, Lost and
// Unreachable.
type Counts struct {
	// Sent counts the requests that were handed to the transport.
	Sent uint64 `json:"sent"`
	// Unsent counts the requests that the tool itself left out because too many
	// were in flight.
	Unsent uint64 `json:"unsent"`
	// Answered counts the right answers of the upstream.
	Answered uint64 `json:"answered"`
	// Refused counts the system's own answers. Codes has them by code.
	Refused uint64 `json:"refused"`
	// Failed counts answers of the upstream with another status than expected.
	Failed uint64 `json:"failed"`
	// Mismatched counts answers that belong to another request or are cut.
	Mismatched uint64 `json:"mismatched"`
	// Lost counts requests that were sent and had no whole answer in time.
	Lost uint64 `json:"lost"`
	// Unreachable counts requests for which no connection could be made.
	Unreachable uint64 `json:"unreachable"`
	// Doubled counts the answers that say that an upstream ran the key more
	// than once. They are in one of the other counts too.
	Doubled uint64 `json:"doubled"`
}

// CodeCount counts refusals with one result code and statement.
type CodeCount struct {
	Code  carobkeel.Code `json:"code"`
	Name  string         `json:"name"`
	Ran   string         `json:"ran"`
	Count uint64         `json:"count"`
}

// Group is the result of a part of the requests.
type Group struct {
	// By is "service", "owner", "class", or empty for all requests.
	By    string      `json:"by,omitempty"`
	Name  string      `json:"name,omitempty"`
	Count Counts      `json:"counts"`
	Codes []CodeCount `json:"codes,omitempty"`
	// Answered and Refused are the latencies of these answers.
	Answered Latency `json:"answered_ms"`
	Refused  Latency `json:"refused_ms"`
}

// Latency is the distribution of a latency in milliseconds. It is zero where
// there were no samples.
type Latency struct {
	Mean  Millis `json:"mean"`
	P50   Millis `json:"p50"`
	P90   Millis `json:"p90"`
	P99   Millis `json:"p99"`
	P999  Millis `json:"p999"`
	P9999 Millis `json:"p9999"`
	Max   Millis `json:"max"`
}

// Slot is one interval of the run, by intended start.
type Slot struct {
	At       Seconds `json:"at_seconds"`
	Answered uint64  `json:"answered"`
	Refused  uint64  `json:"refused"`
	// Bad counts every other outcome.
	Bad uint64 `json:"bad"`
	P50 Millis `json:"p50_ms"`
	P99 Millis `json:"p99_ms"`
	Max Millis `json:"max_ms"`
}

// Point is one point of the curve of percentiles.
type Point struct {
	Percentile float64 `json:"percentile"`
	Latency    Millis  `json:"latency_ms"`
}

// LatencyOf summarises a histogram of microseconds.
func LatencyOf(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	at := func(percentile float64) Millis { return MillisOf(h.ValueAtPercentile(percentile)) }
	return Latency{
		Mean: Millis(h.Mean() / 1000),
		P50:  at(50), P90: at(90), P99: at(99), P999: at(99.9), P9999: at(99.99),
		Max: MillisOf(h.Max()),
	}
}

// curveStepsPerHalving is the number of points of the curve for each halving of
// the distance to 100%.
const curveStepsPerHalving = 4

// CurveOf returns the percentiles of a histogram of microseconds, denser
// towards 100%, as far as the samples carry.
func CurveOf(h *hdrhistogram.Histogram) []Point {
	if h.TotalCount() == 0 {
		return nil
	}
	var curve []Point
	for _, bracket := range h.CumulativeDistributionWithTicks(curveStepsPerHalving) {
		curve = append(curve, Point{Percentile: bracket.Quantile, Latency: MillisOf(bracket.ValueAt)})
	}
	return curve
}

// SortCodes orders counts by code and statement.
func SortCodes(codes []CodeCount) {
	sort.Slice(codes, func(i, j int) bool {
		if codes[i].Code != codes[j].Code {
			return codes[i].Code < codes[j].Code
		}
		return codes[i].Ran < codes[j].Ran
	})
}

// WriteJSON writes the report.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write the report")
}

// WriteJSONFile writes the report to a file.
func (r *Report) WriteJSONFile(path string) error {
	var data bytes.Buffer
	if err := r.WriteJSON(&data); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, data.Bytes(), 0o644), "write the report")
}

// ReadFile reads a report that WriteJSON wrote.
func ReadFile(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the report")
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrapf(err, "read the report %s", path)
	}
	if r.Format != Format {
		return nil, errors.Errorf("report %s has format %d, want %d", path, r.Format, Format)
	}
	return &r, nil
}
