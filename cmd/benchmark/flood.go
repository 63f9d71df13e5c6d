package main

import (
	"context"
	"fmt"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// floodFactor is how many times the fleet's capacity a flood is.
	floodFactor = 10
	// batchServiceTime is the mean service time of a batch request.
	batchServiceTime = 50 * time.Millisecond
	batchTimeout     = 5 * time.Second
	// batchFloor is the share of slots that the batch owner keeps.
	batchFloor = 0.1
	// criticalFloor is the share of slots that each latency-critical owner
	// keeps.
	criticalFloor = 0.2

	// The targets come from the requirements.
	floodP99Target      = 1.3
	floodInTimeTarget   = 0.999
	floodOthersTarget   = 0.95
	floodCapacityTarget = 0.9
	refusalTarget       = 5.0
	stormTarget         = 0.1
)

// Owners of the floods.
const (
	ownerDispatch = "dispatch"
	ownerQuotes   = "quotes"
	ownerSensors  = "sensors"
	ownerFlood    = "flood"
)

// policy is one way of handling a flood.
type policy struct {
	name  string
	apply func(*modelConfig)
}

// policies lists ours and the baselines.
func policies() []policy {
	return []policy{
		{"ours", func(*modelConfig) {}},
		{"fifo", func(c *modelConfig) { c.fifo, c.plain, c.fixedLimit, c.choose = true, true, true, roundRobin }},
		{"unlimited", func(c *modelConfig) { c.unlimited, c.plain, c.choose = true, true, roundRobin }},
	}
}

// floodSuite measures what each class and owner keeps while others flood in.
func floodSuite() suite {
	return suite{name: "flood", run: func(_ context.Context, o options) ([]figure, error) {
		figures := leastUrgentFigures(o.seed)
		figures = append(figures, mostUrgentFigures(o.seed)...)
		figures = append(figures, stormFigures(o.seed)...)
		figures = append(figures, convergenceFigures(o.seed)...)
		figures = append(figures, slowBatchFigures(o.seed)...)
		return append(figures, crowdedFigures(o.seed)...), nil
	}}
}

func newStream(owner carobkeel.Owner, class carobkeel.Class, share, floor float64) *stream {
	s := &stream{
		key:     carobkeel.OwnerClass{Owner: owner, Class: class},
		floor:   floor,
		service: modelServiceTime,
		timeout: modelTimeout,
		from:    "a",
	}
	if class == carobkeel.ClassBatch {
		s.service, s.timeout = batchServiceTime, batchTimeout
	}
	s.perSec = perSecond(share, s.service)
	return s
}

// quietStreams is what the fleet serves on an ordinary day.
func quietStreams() []*stream {
	return []*stream{
		newStream(ownerDispatch, carobkeel.ClassLatencyCritical, 0.2, criticalFloor),
		newStream(ownerQuotes, carobkeel.ClassLatencyCritical, 0.15, criticalFloor),
		newStream(ownerSensors, carobkeel.ClassBatch, 0.2, batchFloor),
	}
}

// runFlood runs the quiet streams and, where flood is not nil, that one too.
func runFlood(seed uint64, p policy, flood *stream) *model {
	c := modelConfig{
		seed: seed, entries: modelEntries, upstreams: fleet(), streams: quietStreams(),
		link: flatLink, hedges: true, duration: modelDuration,
	}
	if flood != nil {
		c.streams = append(c.streams, flood)
	}
	p.apply(&c)
	return runModel(c)
}

func isCritical(s *stream) bool {
	return s.key.Class == carobkeel.ClassLatencyCritical && s.key.Owner != ownerFlood
}

func isSensors(s *stream) bool { return s.key.Owner == ownerSensors }

func isAny(*stream) bool { return true }

// leastUrgentFigures floods the fleet with batch requests of one owner.
func leastUrgentFigures(seed uint64) []figure {
	var figures []figure
	quiet := runFlood(seed, policies()[0], nil).result(isCritical)
	figures = append(figures, figure{Name: "quiet-critical-p99", Value: quiet.p99(), Unit: "ms", Verdict: "-"})
	for _, p := range policies() {
		m := runFlood(seed, p, newStream(ownerFlood, carobkeel.ClassBatch, floodFactor, 0))
		critical, all := m.result(isCritical), m.result(isAny)
		figures = append(figures, floodGroup("least-urgent", p, []figure{
			targeted("critical-p99-to-quiet", critical.p99()/quiet.p99(), "ratio", atMost, floodP99Target),
			targeted("critical-in-time", critical.inTimeShare(), "share", atLeast, floodInTimeTarget),
			targeted("goodput", m.utilization(all.work), "share", atLeast, floodCapacityTarget),
			targeted("refusal-p95", all.refusalP95(), "ms", atMost, refusalTarget),
		})...)
	}
	return figures
}

// mostUrgentFigures floods the fleet with latency-critical requests of one owner.
func mostUrgentFigures(seed uint64) []figure {
	var figures []figure
	quiet := runFlood(seed, policies()[0], nil).result(isCritical)
	for _, p := range policies() {
		m := runFlood(seed, p, newStream(ownerFlood, carobkeel.ClassLatencyCritical, floodFactor, 0))
		critical, all, batch := m.result(isCritical), m.result(isAny), m.result(isSensors)
		figures = append(figures, floodGroup("most-urgent", p, []figure{
			targeted("others-goodput-to-quiet", critical.work.Seconds()/quiet.work.Seconds(), "ratio", atLeast, floodOthersTarget),
			targeted("batch-goodput", m.utilization(batch.work), "share", atLeast, batchFloor),
			targeted("goodput", m.utilization(all.work), "share", atLeast, floodCapacityTarget),
			targeted("refusal-p95", all.refusalP95(), "ms", atMost, refusalTarget),
			{Name: "others-p99", Value: critical.p99(), Unit: "ms", Verdict: "-"},
		})...)
	}
	return figures
}

// floodGroup puts the flood and the policy into the figures' names. Only ours
// is judged.
func floodGroup(flood string, p policy, figures []figure) []figure {
	for i := range figures {
		figures[i].Name = fmt.Sprintf("%s-%s-%s", flood, p.name, figures[i].Name)
		if p.name != "ours" {
			figures[i].Bound, figures[i].Verdict = noTarget, "baseline"
		}
	}
	return figures
}

func (r *streamResult) refusalP95() float64 { return float64(r.refusal.ValueAtQuantile(95)) / 1000 }

// stormFailures is the share of answers that fail in the storm of retries.
const stormFailures = 0.3

// stormFigures measures what retries add where many answers fail.
func stormFigures(seed uint64) []figure {
	s := newStream(ownerDispatch, carobkeel.ClassLatencyCritical, 0.4, criticalFloor)
	s.failures = stormFailures
	m := runModel(modelConfig{
		seed: seed, entries: modelEntries, upstreams: fleet(), streams: []*stream{s},
		link: flatLink, hedges: true, duration: modelDuration,
	})
	offered := s.perSec * m.config.duration.Seconds()
	added := float64(m.attempts)/offered - 1
	return []figure{targeted("retry-storm-added-load", added, "share", atMost, stormTarget)}
}
