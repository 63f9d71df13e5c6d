// Package loadtest sends an open-loop load to entries, as callers do, and checks
// each response against the request.
//
// One goroutine follows the plan and starts a goroutine for each request at its
// intended start, whether or not earlier requests have been answered. Results are
// counted with atomics and summed up at the end, so requests share no lock. A
// request that waits is blocked on its connection, and the plan's goroutine on a
// timer.
package loadtest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel/entry/loadtest/plan"
	"github.com/carobkeel/carobkeel/entry/loadtest/report"
)

// Config configures a load test.
type Config struct {
	Plan plan.Config
	// Targets are the base URLs of the entries.
	Targets []string
	// RequestTimeout is the value of the Carobkeel-Timeout header. At zero, the
	// header is not sent.
	RequestTimeout time.Duration
	// ResponseTimeout is how long the test waits for a response, from when the
	// request is sent, before it counts the request as lost.
	ResponseTimeout time.Duration
	// MaxInFlight is the maximum number of requests in flight. Requests that
	// would exceed it are not sent, and counted as unsent.
	MaxInFlight int
	// Commit is the version of the code, for the report.
	Commit string
	// Transport replaces the HTTP transport of each target, for tests.
	Transport http.RoundTripper
	// OnResult, if not nil, is called with each result, on the request's own
	// goroutine.
	OnResult func(Result)
}

const (
	dialTimeout = 2 * time.Second
	// idleConnections is the maximum number of idle connections to each entry.
	idleConnections = 4096
)

// Test is one run of a load test.
type Test struct {
	config     Config
	transports []http.RoundTripper
	recorders  []*recorder
	timeline   *timeline
	reasons    [reasonCount]atomic.Uint64
	inFlight   atomic.Int64
	start      time.Time
}

// New returns a test. It can be run only once.
func New(c Config) *Test {
	c.Plan.Targets = len(c.Targets)
	t := &Test{config: c, timeline: newTimeline(c.Plan.Duration)}
	for range c.Plan.Mix {
		t.recorders = append(t.recorders, newRecorder())
	}
	for range c.Targets {
		t.transports = append(t.transports, newTransport(c.Transport))
	}
	return t
}

func newTransport(replacement http.RoundTripper) http.RoundTripper {
	if replacement != nil {
		return replacement
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// Run sends the load and returns the report. When ctx ends, it sends no further
// requests and waits for those in flight.
func (t *Test) Run(ctx context.Context) *report.Report {
	t.start = time.Now()
	requests := plan.New(t.config.Plan)
	pairs := make(map[uint64]*repeatedPair)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var senders sync.WaitGroup
	for {
		request, ok := requests.Next()
		if !ok || !t.waitFor(ctx, timer, request.At) {
			break
		}
		recorder := t.recorders[request.Share]
		pair := repeatedPairOf(pairs, request)
		if t.inFlight.Load() >= int64(t.config.MaxInFlight) {
			recorder.unsent.Add(1)
			continue
		}
		t.inFlight.Add(1)
		recorder.sent.Add(1)
		senders.Go(func() {
			t.recordResult(t.send(request, pair))
		})
	}
	ended := time.Since(t.start)
	senders.Wait()
	t.closeConnections()
	result := t.report()
	if ctx.Err() != nil && ended < t.config.Plan.Duration {
		result.EndedAfter = report.SecondsOf(ended)
	}
	return result
}

// waitFor blocks until the intended start. It returns false if ctx ended.
func (t *Test) waitFor(ctx context.Context, timer *time.Timer, at time.Duration) bool {
	wait := time.Until(t.start.Add(at))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer.Reset(wait)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (t *Test) recordResult(result Result) {
	t.inFlight.Add(-1)
	t.recorders[result.Request.Share].record(result)
	t.timeline.slotAt(result.Request.At).record(result)
	if result.Reason != ReasonNone {
		t.reasons[result.Reason].Add(1)
	}
	if t.config.OnResult != nil {
		t.config.OnResult(result)
	}
}

func (t *Test) closeConnections() {
	for _, transport := range t.transports {
		if closer, ok := transport.(interface{ CloseIdleConnections() }); ok {
			closer.CloseIdleConnections()
		}
	}
}

func (t *Test) report() *report.Report {
	totals := newGroupSum("", "")
	for _, r := range t.recorders {
		totals.add(r)
	}
	result := &report.Report{
		Format:   report.Format,
		Started:  t.start.UTC(),
		Settings: t.settings(),
		Totals:   totals.report(),
		Groups:   groups(t.config.Plan.Mix, t.recorders),
		Interval: report.SecondsOf(t.timeline.interval),
		Timeline: t.timeline.report(),
		Curve:    report.CurveOf(totals.answered),
		Reasons:  make(map[string]uint64),
	}
	for reason := range t.reasons {
		if count := t.reasons[reason].Load(); count > 0 {
			result.Reasons[Reason(reason).String()] = count
		}
	}
	return result
}

func (t *Test) settings() report.Settings {
	p := &t.config.Plan
	settings := report.Settings{
		Commit: t.config.Commit, Seed: p.Seed, Rate: p.Rate, Duration: report.SecondsOf(p.Duration),
		Arrivals: p.Arrivals.String(), Mix: p.Mix.String(), Entries: len(t.config.Targets),
	}
	for _, flood := range p.Floods {
		settings.Floods = append(settings.Floods, report.Flood{
			At: report.SecondsOf(flood.At), End: report.SecondsOf(flood.End()),
			Text: (&plan.Floods{flood}).String(),
		})
	}
	return settings
}

// Progress holds the counts of a running test.
type Progress struct {
	InFlight int64
	Counts   report.Counts
}

// Progress returns the counts of requests by outcome so far. It may be called
// concurrently with Run.
func (t *Test) Progress() Progress {
	progress := Progress{InFlight: t.inFlight.Load()}
	for _, r := range t.recorders {
		r.addTo(&progress.Counts)
	}
	return progress
}
