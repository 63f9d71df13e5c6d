// Package plan decides what an open-loop load test sends and when: arrivals,
// mix, floods, keys, repeats and bodies, all by a seed. It is pure. The same
// Config always gives the same requests.
package plan

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Arrivals is how the time between two requests is spread.
type Arrivals uint8

const (
	// Poisson arrivals are independent of each other.
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
	return errors.Errorf("want poisson or uniform, have %q", text)
}

// Config is what a plan is made from.
type Config struct {
	// Seed fixes every random choice.
	Seed uint64
	// Run makes the idempotency keys of this run differ from other runs'.
	Run string
	// Rate is the requests a second in all, without floods and repeats.
	Rate     float64
	Duration time.Duration
	Arrivals Arrivals
	Mix      Mix
	Floods   Floods
	// KeyShare is the share of requests with an idempotency key, in 0..1.
	KeyShare float64
	// RepeatShare is the share of keyed requests that are sent again, in 0..1.
	RepeatShare float64
	// RepeatWithin is the longest time from a request to its repeat.
	RepeatWithin time.Duration
	// Bodies is the range of body sizes.
	Bodies Sizes
	// Targets is the number of entries. Requests take turns between them, and a
	// repeat goes through the entry after the one that had the request.
	Targets int
}

// Request is one planned request.
type Request struct {
	// Sequence numbers the requests. A repeat has that of its original.
	Sequence uint64
	// At is the intended start, from the start of the run.
	At time.Duration
	// Share is the index into Config.Mix.
	Share int
	// Target is the index of the entry.
	Target int
	// Key is the idempotency key, empty for none.
	Key string
	// Repeat says that the request was sent before under the same key.
	Repeat bool
	// Repeated says that the request will be sent again under the same key.
	Repeated bool
	// BodySize is the length of the body in bytes.
	BodySize int
}

// RequestName returns the name of a request and of its repeat. It differs from
// run to run.
func (c Config) RequestName(r Request) string {
	return c.Run + "-" + strconv.FormatUint(r.Sequence, 10)
}

// Plan yields the requests of a run in the order of their start.
type Plan struct {
	config  Config
	random  *rand.Rand
	now     time.Duration
	next    uint64
	pending *Request
	repeats repeatHeap
}

// seedStream separates the plan's random numbers from those of the bodies.
const seedStream = 0x6c6f6164

// New returns the plan of a run.
func New(c Config) *Plan {
	return &Plan{config: c, random: rand.New(rand.NewPCG(c.Seed, seedStream))}
}

// Next returns the next request, or false when the run is over.
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

// draw returns the next first request and notes its repeat, if it has one.
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
			request.Repeated = true
		}
	}
	return &request
}

func (p *Plan) addRepeat(request Request) {
	request.Repeat = true
	request.At += time.Duration(p.random.Float64() * float64(p.config.RepeatWithin))
	request.Target = (request.Target + 1) % max(p.config.Targets, 1)
	heap.Push(&p.repeats, request)
}

// advance moves now to the next arrival. The rate is constant between the edges
// of floods, so the gap is taken piece by piece: work is the expected number of
// arrivals that have to pass before the next one.
func (p *Plan) advance() bool {
	work := 1.0
	if p.config.Arrivals == Poisson {
		work = p.random.ExpFloat64()
	}
	for {
		rate := p.rate()
		edge := p.nextEdge()
		possible := rate * (edge - p.now).Seconds()
		if possible >= work {
			p.now += time.Duration(work / rate * float64(time.Second))
			return p.now < p.config.Duration
		}
		work -= possible
		p.now = edge
		if edge >= p.config.Duration {
			return false
		}
	}
}

// nextEdge returns the next time at which a flood begins or ends, or the end of
// the run.
func (p *Plan) nextEdge() time.Duration {
	edge := p.config.Duration
	for _, flood := range p.config.Floods {
		for _, at := range []time.Duration{flood.At, flood.End()} {
			if at > p.now && at < edge {
				edge = at
			}
		}
	}
	return edge
}

// rate returns the requests a second at now.
func (p *Plan) rate() float64 {
	var base, flooded float64
	for _, share := range p.config.Mix {
		base += share.Weight
		flooded += p.weight(share)
	}
	return p.config.Rate * flooded / base
}

// weight returns the share's weight at now, floods included.
func (p *Plan) weight(share Share) float64 {
	weight := share.Weight
	for _, flood := range p.config.Floods {
		if flood.covers(p.now, share) {
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

// repeatHeap orders repeats by their start.
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
