// Package plan generates the requests of an open-loop load test: arrival times,
// mix, floods, idempotency keys, repeats and bodies. It does no I/O and reads no
// clock. All random choices derive from a seed, so that the same Config always
// gives the same requests.
package plan

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Arrivals is the distribution of the time between two requests.
type Arrivals uint8

const (
	// Poisson arrivals are independent of each other: the times between them are
	// exponentially distributed.
	Poisson Arrivals = iota
	// Uniform arrivals are evenly spaced.
	Uniform
)

var arrivalNames = [...]string{"poisson", "uniform"}

// String implements flag.Value.
func (a *Arrivals) String() string {
	if a == nil || int(*a) >= len(arrivalNames) {
		return arrivalNames[Poisson]
	}
	return arrivalNames[*a]
}

// Set implements flag.Value.
func (a *Arrivals) Set(text string) error {
	for i, name := range arrivalNames {
		if name == text {
			*a = Arrivals(i)
			return nil
		}
	}
	return errors.Errorf("want poisson or uniform, got %q", text)
}

// Config configures a plan.
type Config struct {
	// Seed determines all random choices.
	Seed uint64
	// Run is the name of the run. It makes request names and idempotency keys
	// differ between runs.
	Run string
	// Rate is the total number of requests per second, without floods and
	// repeats.
	Rate     float64
	Duration time.Duration
	Arrivals Arrivals
	Mix      Mix
	Floods   Floods
	// KeyShare is the proportion of requests with an idempotency key, from 0 to 1.
	KeyShare float64
	// RepeatShare is the proportion of the requests with a key that are sent
	// again, from 0 to 1.
	RepeatShare float64
	// MaxRepeatDelay is the maximum time from a request to its repeat.
	MaxRepeatDelay time.Duration
	// Bodies is the range of body sizes.
	Bodies SizeRange
	// Targets is the number of entries. Requests are assigned to them round-robin;
	// a repeat goes to the entry that follows that of its original.
	Targets int
}

// Request is one planned request.
type Request struct {
	// Sequence is the number of the request. A repeat has the number of its
	// original.
	Sequence uint64
	// At is the intended start, relative to the start of the run.
	At time.Duration
	// Share is the index of the request's share in Config.Mix.
	Share int
	// Target is the index of the entry that the request is sent to.
	Target int
	// Key is the idempotency key, empty if none.
	Key string
	// IsRepeat reports that the request is a repeat of an earlier one with the same
	// key.
	IsRepeat bool
	// HasRepeat reports that a repeat of the request with the same key follows.
	HasRepeat bool
	// BodySize is the length of the body in bytes.
	BodySize int
}

// RequestName returns the name of a request. A repeat has the name of its
// original. Names begin with Run, so that they differ between runs.
func (c Config) RequestName(r Request) string {
	return c.Run + "-" + strconv.FormatUint(r.Sequence, 10)
}

// Plan generates the requests of a run in the order of their intended start.
type Plan struct {
	config  Config
	random  *rand.Rand
	now     time.Duration
	next    uint64
	pending *Request
	repeats repeatHeap
}

// planStream is the stream of the plan's random generator. It separates the plan's
// random numbers from those of the bodies.
const planStream = 0x6c6f6164

// New returns the plan of a run.
func New(c Config) *Plan {
	return &Plan{config: c, random: rand.New(rand.NewPCG(c.Seed, planStream))}
}

// Next returns the next request, or false at the end of the run.
func (p *Plan) Next() (Request, bool) {
	if p.pending == nil {
		p.pending = p.draw()
	}
	if len(p.repeats) > 0 && (p.pending == nil || p.repeats[0].At <= p.pending.At) {
		return heap.Pop(&p.repeats).(Request), true
	}
	if p.pending == nil {
		return Request{}, false
	}
	request := *p.pending
	p.pending = nil
	return request, true
}

// draw generates the next request that is not a repeat, nil at the end of the run.
// If the request is to be repeated, draw queues the repeat.
func (p *Plan) draw() *Request {
	if !p.advance() {
		return nil
	}
	request := Request{
		Sequence: p.next,
		At:       p.now,
		Share:    p.chooseShare(),
		Target:   int(p.next % uint64(max(p.config.Targets, 1))),
		BodySize: p.config.Bodies.draw(p.random),
	}
	p.next++
	if p.random.Float64() < p.config.KeyShare {
		request.Key = p.config.RequestName(request)
		if p.random.Float64() < p.config.RepeatShare {
			p.addRepeat(request)
			request.HasRepeat = true
		}
	}
	return &request
}

func (p *Plan) addRepeat(request Request) {
	request.IsRepeat = true
	request.At += time.Duration(p.random.Float64() * float64(p.config.MaxRepeatDelay))
	request.Target = (request.Target + 1) % max(p.config.Targets, 1)
	heap.Push(&p.repeats, request)
}

// advance moves now to the next arrival, and returns false at the end of the run.
// The rate is constant only between the starts and ends of floods, so the time to
// the next arrival is computed interval by interval: remaining is the expected
// number of arrivals that must pass before the next arrival is due.
func (p *Plan) advance() bool {
	remaining := 1.0
	if p.config.Arrivals == Poisson {
		remaining = p.random.ExpFloat64()
	}
	for {
		rate := p.rate()
		change := p.nextRateChange()
		expected := rate * (change - p.now).Seconds()
		if expected >= remaining {
			p.now += time.Duration(remaining / rate * float64(time.Second))
			return p.now < p.config.Duration
		}
		remaining -= expected
		p.now = change
		if change >= p.config.Duration {
			return false
		}
	}
}

// nextRateChange returns the next time at which a flood starts or ends, or the end
// of the run.
func (p *Plan) nextRateChange() time.Duration {
	change := p.config.Duration
	for _, flood := range p.config.Floods {
		for _, at := range []time.Duration{flood.At, flood.End()} {
			if at > p.now && at < change {
				change = at
			}
		}
	}
	return change
}

// rate returns the number of requests per second at now.
func (p *Plan) rate() float64 {
	var base, flooded float64
	for _, share := range p.config.Mix {
		base += share.Weight
		flooded += p.weight(share)
	}
	return p.config.Rate * flooded / base
}

// weight returns the proportion of requests that go to the share at now, relative
// to the weights of the other shares. It is the weight from the mix, multiplied by
// the factor of each flood that applies.
func (p *Plan) weight(share Share) float64 {
	weight := share.Weight
	for _, flood := range p.config.Floods {
		if flood.appliesTo(p.now, share) {
			weight *= flood.Factor
		}
	}
	return weight
}

func (p *Plan) chooseShare() int {
	total := 0.0
	for _, share := range p.config.Mix {
		total += p.weight(share)
	}
	left := p.random.Float64() * total
	for i, share := range p.config.Mix {
		left -= p.weight(share)
		if left < 0 {
			return i
		}
	}
	return len(p.config.Mix) - 1
}

// repeatHeap is a heap of repeats, ordered by their intended start.
type repeatHeap []Request

func (h repeatHeap) Len() int           { return len(h) }
func (h repeatHeap) Less(i, j int) bool { return h[i].At < h[j].At }
func (h repeatHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *repeatHeap) Push(x any) { *h = append(*h, x.(Request)) }

// Pop implements heap.Interface.
func (h *repeatHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
