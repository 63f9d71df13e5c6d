package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
)

// model runs entries, sidecars and upstreams in virtual time. The decisions are
// those of the packages caller, sidecar and entry; only the network, the
// upstreams and the callers are modelled.
type model struct {
	config   modelConfig
	now      time.Duration
	events   modelEvents
	sequence uint64
	random   *rand.Rand
	entries  []*modelEntry
	sidecars []*modelSidecar
	// attempts is the number of requests that reached a sidecar, repeats
	// included.
	attempts int
}

// modelConfig is what one run is made of.
type modelConfig struct {
	seed      uint64
	entries   int
	upstreams []upstreamSpec
	streams   []*stream
	// link is the time of one way between two data centres.
	link func(from, to carobkeel.DataCentre) time.Duration
	// choose picks a member, Pool.Pick where nil.
	choose chooser
	// fifo puts a first-in-first-out queue without classes in place of ours.
	fifo bool
	// unlimited lets upstreams run any number of requests at once.
	unlimited bool
	// plain leaves out admission at entries.
	plain bool
	// fixedLimit leaves out the adaptive limit.
	fixedLimit bool
	// hedges sends a second request where the first takes long.
	hedges   bool
	duration time.Duration
	onTick   func(m *model)
}

// upstreamSpec describes one upstream.
type upstreamSpec struct {
	slots int
	// capacity is how many requests it really serves at once at full speed.
	capacity int
	// slowness multiplies every service time.
	slowness   float64
	dataCentre carobkeel.DataCentre
	// failing makes it fail everything after failAfter.
	failing bool
}

// failAfter is how fast a failing upstream fails.
const failAfter = 2 * time.Millisecond

// stream is the requests of one owner in one class.
type stream struct {
	key     carobkeel.OwnerClass
	floor   float64
	perSec  float64
	service time.Duration
	timeout time.Duration
	// failures is the share of answers that fail.
	failures float64
	from     carobkeel.DataCentre
	// start and end bound the time in which requests come.
	start, end time.Duration
	// total is the number of requests sent, counted or not.
	total  int
	result *streamResult
}

// streamResult is what became of a stream's requests.
type streamResult struct {
	offered, inTime, late, refused, failed int
	// work is the service time of the requests that were answered in time.
	work time.Duration
	// latency and refusal are in microseconds.
	latency, refusal *hdrhistogram.Histogram
}

func newStreamResult() *streamResult {
	top := time.Minute.Microseconds()
	return &streamResult{latency: hdrhistogram.New(1, top, 3), refusal: hdrhistogram.New(1, top, 3)}
}

// p99 returns the 99th percentile of the latency in milliseconds. A request that
// was late counts with its timeout.
func (r *streamResult) p99() float64 { return float64(r.latency.ValueAtQuantile(99)) / 1000 }

// inTimeShare returns the share of all requests that were answered in time.
func (r *streamResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.offered, 1)) }

// warmUp and coolDown are the times at the start and at the end of a run whose
// requests are not counted. The last requests have no outcome in the run.
const (
	warmUp   = 12 * time.Second
	coolDown = 6 * time.Second
)

func (m *model) counted(at time.Duration) bool {
	return at >= warmUp && at < m.config.duration-coolDown
}

// modelEpoch is the time at which virtual time begins.
var modelEpoch = time.Unix(1_000_000, 0)

func (m *model) clock() time.Time { return modelEpoch.Add(m.now) }

type modelEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type modelEvents []modelEvent

func (s modelEvents) Len() int      { return len(s) }
func (s modelEvents) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s modelEvents) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}
func (s *modelEvents) Push(x any) { *s = append(*s, x.(modelEvent)) }
func (s *modelEvents) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// after runs a step once the time has passed.
func (m *model) after(delay time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{at: m.now + max(delay, 0), sequence: m.sequence, run: run})
}

// every runs a step at each interval.
func (m *model) every(interval time.Duration, run func()) {
	m.after(interval, func() {
		run()
		m.every(interval, run)
	})
}

// runModel runs the configuration to its end.
func runModel(c modelConfig) *model {
	m := &model{config: c, random: rand.New(rand.NewPCG(c.seed, 0))}
	for i, spec := range c.upstreams {
		m.sidecars = append(m.sidecars, newModelSidecar(m, i, spec))
	}
	for i := range c.entries {
		m.entries = append(m.entries, newModelEntry(m, i))
	}
	for i, s := range c.streams {
		s.result = newStreamResult()
		m.startStream(s, rand.New(rand.NewPCG(c.seed, uint64(i+1))))
	}
	if c.onTick != nil {
		m.every(caller.TickInterval, func() { c.onTick(m) })
	}
	for len(m.events) > 0 && m.events[0].at <= c.duration {
		event := heap.Pop(&m.events).(modelEvent)
		m.now = event.at
		event.run()
	}
	return m
}

// startStream sends the stream's requests, the same ones whatever the policy.
func (m *model) startStream(s *stream, random *rand.Rand) {
	var next func()
	next = func() {
		if s.end != 0 && m.now >= s.end {
			return
		}
		request := &modelRequest{
			stream:  s,
			arrived: m.now,
			work:    logNormal(random, s.service),
			fails:   random.Float64() < s.failures,
		}
		s.total++
		if m.counted(m.now) {
			s.result.offered++
		}
		m.entries[random.IntN(len(m.entries))].take(request)
		m.after(exponential(random, s.perSec), next)
	}
	m.after(s.start+exponential(random, s.perSec), next)
}

func exponential(random *rand.Rand, perSec float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSec * float64(time.Second))
}

// logNormalSigma gives service times a standard deviation of half their mean.
const logNormalSigma = 0.4724

func logNormal(random *rand.Rand, mean time.Duration) time.Duration {
	factor := math.Exp(random.NormFloat64()*logNormalSigma - logNormalSigma*logNormalSigma/2)
	return time.Duration(float64(mean) * factor)
}

// result adds up the streams for which keep is true.
func (m *model) result(keep func(*stream) bool) *streamResult {
	total := newStreamResult()
	for _, s := range m.config.streams {
		if !keep(s) {
			continue
		}
		r := s.result
		total.offered += r.offered
		total.inTime += r.inTime
		total.late += r.late
		total.refused += r.refused
		total.failed += r.failed
		total.work += r.work
		total.latency.Merge(r.latency)
		total.refusal.Merge(r.refusal)
	}
	return total
}

// utilization returns which share of the upstreams' capacity the work was.
func (m *model) utilization(work time.Duration) float64 {
	var capacity float64
	for _, spec := range m.config.upstreams {
		capacity += float64(spec.capacity) / spec.slowness
	}
	return work.Seconds() / (capacity * (m.config.duration - warmUp - coolDown).Seconds())
}
