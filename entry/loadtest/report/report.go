// Package report defines the report of a load test, in JSON, as text and as plots,
// and compares the reports of two runs.
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

// Format is the version of the JSON format.
const Format = 1

// Report is the result of one run. Latencies are measured from the intended start
// of a request, so that they include delays in the load tool itself.
type Report struct {
	Format   int       `json:"format"`
	Started  time.Time `json:"started"`
	Settings Settings  `json:"settings"`
	// EndedAfter is the time after which the run was ended early, zero if it was
	// not.
	EndedAfter Seconds `json:"ended_after_seconds,omitempty"`
	Totals     Group   `json:"totals"`
	// Groups are the results by service, by owner and by class.
	Groups []Group `json:"groups"`
	// Interval is the length of a slot of Timeline.
	Interval Seconds `json:"interval_seconds"`
	Timeline []Slot  `json:"timeline"`
	// Curve holds the latencies of the answered requests by percentile.
	Curve []Point `json:"curve"`
	// Reasons counts the requests with a fault by the kind of fault.
	Reasons map[string]uint64 `json:"reasons,omitempty"`
}

// Settings are the settings of a run.
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

// Flood is an overload phase of a run: its start and end, and its text in the
// settings.
type Flood struct {
	At   Seconds `json:"at_seconds"`
	End  Seconds `json:"end_seconds"`
	Text string  `json:"text"`
}

// Seconds is a duration in seconds.
type Seconds float64

// SecondsOf converts a duration.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// Millis is a duration in milliseconds.
type Millis float64

// MillisOf converts a number of microseconds.
func MillisOf(micros int64) Millis { return Millis(float64(micros) / 1000) }

// Counts holds the numbers of requests by outcome. Each request that was sent is
// counted in exactly one of Answered, Refused, Failed, Mismatched, Lost and
// Unreachable.
type Counts struct {
	// Sent counts the requests that were passed to the HTTP transport.
	Sent uint64 `json:"sent"`
	// Unsent counts the requests that the load test did not send because too many
	// were in flight.
	Unsent uint64 `json:"unsent"`
	// Answered counts the correct answers of the upstream.
	Answered uint64 `json:"answered"`
	// Refused counts the refusals by the system itself. Group.Codes has them by
	// code.
	Refused uint64 `json:"refused"`
	// Failed counts answers with an unexpected status, or with a missing or
	// invalid result code or body.
	Failed uint64 `json:"failed"`
	// Mismatched counts answers that belong to another request or are truncated.
	Mismatched uint64 `json:"mismatched"`
	// Lost counts requests that were sent and had no complete answer in time.
	Lost uint64 `json:"lost"`
	// Unreachable counts requests for which no connection could be established.
	Unreachable uint64 `json:"unreachable"`
	// RanTwice counts the answers that show that requests with the same key ran
	// more than once. They are also counted by their outcome.
	RanTwice uint64 `json:"doubled"`
}

// CodeCount counts the refusals with one result code and one statement of whether
// the request ran.
type CodeCount struct {
	Code  carobkeel.Code `json:"code"`
	Name  string         `json:"name"`
	Ran   string         `json:"ran"`
	Count uint64         `json:"count"`
}

// Group is the result of a group of requests.
type Group struct {
	// By is "service", "owner", "class", or empty for all requests.
	By    string      `json:"by,omitempty"`
	Name  string      `json:"name,omitempty"`
	Count Counts      `json:"counts"`
	Codes []CodeCount `json:"codes,omitempty"`
	// Answered and Refused are the latencies of answered and of refused requests.
	Answered Latency `json:"answered_ms"`
	Refused  Latency `json:"refused_ms"`
}

// Latency is the distribution of a latency in milliseconds. It is zero if there are
// no samples.
type Latency struct {
	Mean  Millis `json:"mean"`
	P50   Millis `json:"p50"`
	P90   Millis `json:"p90"`
	P99   Millis `json:"p99"`
	P999  Millis `json:"p999"`
	P9999 Millis `json:"p9999"`
	Max   Millis `json:"max"`
}

// Slot holds the results of the requests whose intended start is in one interval of
// the run.
type Slot struct {
	At       Seconds `json:"at_seconds"`
	Answered uint64  `json:"answered"`
	Refused  uint64  `json:"refused"`
	// Bad counts all other outcomes.
	Bad uint64 `json:"bad"`
	P50 Millis `json:"p50_ms"`
	P99 Millis `json:"p99_ms"`
	Max Millis `json:"max_ms"`
}

// Point is a latency at a percentile.
type Point struct {
	Percentile float64 `json:"percentile"`
	Latency    Millis  `json:"latency_ms"`
}

// LatencyOf returns the distribution in a histogram of microseconds.
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

// curveStepsPerHalving is the number of points of the curve each time that the
// distance to 100% halves.
const curveStepsPerHalving = 4

// CurveOf returns the percentiles of a histogram of microseconds. The points become
// denser towards 100%, as far as the number of samples allows.
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

// SortCodes sorts counts by code and by statement of whether the request ran.
func SortCodes(codes []CodeCount) {
	sort.Slice(codes, func(i, j int) bool {
		if codes[i].Code != codes[j].Code {
			return codes[i].Code < codes[j].Code
		}
		return codes[i].Ran < codes[j].Ran
	})
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write the report")
}

// WriteJSONFile writes the report to a file as JSON.
func (r *Report) WriteJSONFile(path string) error {
	var data bytes.Buffer
	if err := r.WriteJSON(&data); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, data.Bytes(), 0o644), "write the report")
}

// ReadFile reads a report in the format of WriteJSON from a file.
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
