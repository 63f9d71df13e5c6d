package main

import (
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/sidecar"
)

// modelSidecar is one sidecar with its upstream.
type modelSidecar struct {
	model    *model
	index    int
	spec     upstreamSpec
	slots    *entry.Slots
	limiter  *entry.Limiter
	queue    *entry.Queue[*modelAttempt]
	fifo     []*modelAttempt
	upstream *sharedProcessor
	taken    int
}

// modelQueueRoom is the number of requests that may wait at one sidecar.
const modelQueueRoom = 64

func newModelSidecar(m *model, index int, spec upstreamSpec) *modelSidecar {
	s := &modelSidecar{
		model:    m,
		index:    index,
		spec:     spec,
		slots:    entry.NewSlots(spec.slots),
		limiter:  entry.NewLimiter(spec.slots),
		upstream: &sharedProcessor{model: m, capacity: float64(spec.capacity)},
	}
	s.queue = entry.NewQueue(s.slots, modelQueueRoom, func(a *modelAttempt, refusal *carobkeel.Error) {
		s.answer(a, refusal.Code)
	})
	m.every(entry.TickInterval, s.tick)
	return s
}

func (s *modelSidecar) tick() {
	if !s.model.config.fixedLimit {
		s.limiter.Tick(s.slots)
	}
	s.queue.Expire(s.model.clock())
	s.grant()
}

// take is given a request that has arrived from an entry.
func (s *modelSidecar) take(a *modelAttempt) {
	s.model.attempts++
	s.taken++
	a.arrived = s.model.now
	a.share = s.slots.Share(a.request.stream.key, carobkeel.ShareLimits{GuaranteedShare: a.request.stream.floor})
	switch {
	case s.model.config.unlimited:
		s.start(a)
	case s.model.config.fifo:
		s.takeInOrder(a)
	case s.queue.Len() == 0 && s.slots.TryAcquire(a.share):
		s.start(a)
	default:
		a.item = s.queue.Push(entry.QueuedRequest{Share: a.share, Deadline: a.request.deadline()}, a, s.model.clock())
		s.grant()
	}
}

func (s *modelSidecar) grant() {
	for {
		a, ok := s.queue.Next(s.model.clock())
		if !ok {
			return
		}
		s.start(a)
	}
}

func (s *modelSidecar) takeInOrder(a *modelAttempt) {
	switch {
	case len(s.fifo) == 0 && s.slots.TryAcquire(a.share):
		s.start(a)
	case len(s.fifo) >= modelQueueRoom:
		s.answer(a, carobkeel.CodeQueueFull)
	default:
		s.fifo = append(s.fifo, a)
	}
}

func (s *modelSidecar) grantInOrder() {
	for len(s.fifo) > 0 {
		first := s.fifo[0]
		if first.request.ended {
			s.fifo = s.fifo[1:]
			continue
		}
		if !s.slots.TryAcquire(first.share) {
			return
		}
		s.fifo = s.fifo[1:]
		s.start(first)
	}
}

// start sends the request to the upstream.
func (s *modelSidecar) start(a *modelAttempt) {
	started := s.model.now
	a.waited = started - a.arrived
	finish := func(code carobkeel.Code) {
		if !s.model.config.unlimited {
			s.slots.Release(a.share, s.model.now-started)
		}
		s.answer(a, code)
		s.grantInOrder()
		s.grant()
	}
	if s.spec.failing {
		s.model.after(failAfter, func() { finish(carobkeel.CodeUpstreamFailed) })
		return
	}
	work := time.Duration(float64(a.request.work) * s.spec.slowness)
	s.upstream.start(work, func() {
		if a.request.failsNow() {
			finish(carobkeel.CodeUpstreamFailed)
			return
		}
		finish(carobkeel.CodeOK)
	})
}

// cancel takes a request out of the queue for which nobody waits any more.
func (s *modelSidecar) cancel(a *modelAttempt) {
	if a.item != nil {
		s.queue.Remove(a.item)
	}
}

// load is what the sidecar tells of itself.
func (s *modelSidecar) load() sidecar.Load {
	running := s.slots.Running()
	if s.model.config.unlimited {
		running = len(s.upstream.jobs)
	}
	return sidecar.Load{
		Running:      running,
		Queued:       s.queue.Len() + len(s.fifo),
		UrgentQueued: s.queue.LenOfClass(carobkeel.ClassLatencyCritical) + len(s.fifo),
		Limit:        s.slots.Limit(),
	}
}

// answer sends the outcome and the load on the way back to the entry.
func (s *modelSidecar) answer(a *modelAttempt, code carobkeel.Code) {
	load := s.load()
	s.model.after(a.delay, func() {
		a.member.Stats.RecordLoad(load)
		a.entry.loads[a.member.Incarnation] = modelLoad{reported: load.Running + load.Queued}
		a.entry.answered(a, code)
	})
}
