package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller"
	"github.com/carobkeel/carobkeel/entry"
	"github.com/carobkeel/carobkeel/sidecar"
)

// modelEntry is one entry, which knows of the others nothing.
type modelEntry struct {
	model     *model
	random    *rand.Rand
	view      *sidecar.View
	admission *caller.Admission
	turn      int
	loads     map[carobkeel.Incarnation]modelLoad
}

// chooser picks a member of the pool for one request of an entry.
type chooser func(e *modelEntry, pool *sidecar.Pool, c sidecar.PickOptions) *sidecar.Member

// modelRequest is one request of a caller.
type modelRequest struct {
	stream  *stream
	arrived time.Duration
	work    time.Duration
	fails   bool
	// attempts counts what was sent, pending what has no answer yet.
	attempts, pending int
	tried             []*sidecar.Member
	account           *caller.OwnerAdmission
	ended             bool
}

func (r *modelRequest) deadline() time.Time {
	return modelEpoch.Add(r.arrived + r.stream.timeout)
}

// failsNow reports whether the upstream fails this attempt. A repeat of a request
// that fails fails too, which is the worst case for a storm of retries.
func (r *modelRequest) failsNow() bool { return r.fails }

// modelAttempt is one request at one sidecar.
type modelAttempt struct {
	request *modelRequest
	entry   *modelEntry
	member  *sidecar.Member
	sidecar *modelSidecar
	share   *entry.Share
	item    *entry.Item[*modelAttempt]
	sent    time.Duration
	delay   time.Duration
	// arrived is when the request reached the sidecar, and waited how long it
	// then waited for a slot.
	arrived, waited time.Duration
}

const modelService = "model"

// announceInterval is the time between two announcements of a sidecar.
const announceInterval = time.Second

func newModelEntry(m *model, index int) *modelEntry {
	e := &modelEntry{
		model:     m,
		random:    rand.New(rand.NewPCG(m.config.seed, uint64(1_000+index))),
		view:      sidecar.NewView(),
		admission: caller.NewAdmission(),
		loads:     make(map[carobkeel.Incarnation]modelLoad),
	}
	for _, s := range m.sidecars {
		e.announce(s)
	}
	m.every(announceInterval, func() {
		for _, s := range m.sidecars {
			e.announce(s)
		}
	})
	m.every(caller.TickInterval, e.admission.Tick)
	return e
}

func (e *modelEntry) announce(s *modelSidecar) {
	load := s.load()
	e.view, _ = e.view.ApplyAnnouncement(sidecar.Announcement{
		Incarnation: carobkeel.Incarnation(s.index + 1),
		Sequence:    uint64(e.model.now/announceInterval) + 1,
		Address:     fmt.Sprintf("%04d", s.index),
		Service:     modelService,
		Location:    carobkeel.Location{DataCentre: s.spec.dataCentre},
		Slots:       s.spec.slots,
		Running:     load.Running, Queued: load.Queued, UrgentQueued: load.UrgentQueued,
	}, e.model.clock())
}

// take is given a caller's request.
func (e *modelEntry) take(r *modelRequest) {
	r.account = e.admission.Account(r.stream.key)
	if !e.model.config.plain {
		if refusal := e.admission.Admit(r.account, e.random.Float64()); refusal != nil {
			e.end(r, refusal.Code)
			return
		}
	}
	e.model.after(r.stream.timeout, func() { e.end(r, carobkeel.CodeTimeoutUnknown) })
	e.send(r)
	if wait := e.admission.HedgeDelay(r.request()); e.model.config.hedges && wait > 0 {
		e.model.after(wait, func() {
			if !r.ended && r.attempts == 1 {
				e.hedge(r)
			}
		})
	}
}

// request is what the decisions need to know of the request.
func (r *modelRequest) request() *caller.Request {
	return &caller.Request{Service: modelService, Owner: r.stream.key.Owner, Class: r.stream.key.Class, Idempotent: true}
}

func (e *modelEntry) send(r *modelRequest) { e.sendTo(r, e.pick(r)) }

// hedge sends the request to a second sidecar that has a free slot.
func (e *modelEntry) hedge(r *modelRequest) {
	second := e.pick(r)
	if second == nil || second.IsBusy(r.stream.key.Class) || e.admission.Overloaded() || !r.account.Withdraw() {
		return
	}
	e.sendTo(r, second)
}

func (e *modelEntry) pick(r *modelRequest) *sidecar.Member {
	choice := sidecar.PickOptions{
		From: r.stream.from, Class: r.stream.key.Class, Random: e.random.Uint64(), Now: e.model.clock(), Tried: r.tried,
	}
	return e.choose(choice)
}

func (e *modelEntry) sendTo(r *modelRequest, member *sidecar.Member) {
	if member == nil {
		if r.pending == 0 {
			e.end(r, carobkeel.CodeNoUpstream)
		}
		return
	}
	target := e.model.sidecars[int(member.Incarnation)-1]
	a := &modelAttempt{
		request: r, entry: e, member: member, sidecar: target, sent: e.model.now,
		delay: e.model.config.link(r.stream.from, target.spec.dataCentre),
	}
	r.tried = append(r.tried, member)
	r.attempts++
	r.pending++
	member.Stats.Begin(r.stream.key.Class)
	member.Stats.RoundTripMicros.Store(2 * a.delay.Microseconds())
	e.model.after(a.delay, func() { target.take(a) })
	e.model.after(r.stream.timeout-(e.model.now-r.arrived)+a.delay, func() { target.cancel(a) })
}

func (e *modelEntry) choose(c sidecar.PickOptions) *sidecar.Member {
	pool := e.view.Pool(modelService)
	if e.model.config.choose != nil {
		return e.model.config.choose(e, pool, c)
	}
	return pool.Pick(c)
}

// modelAttempts is the most sidecars that one request is sent to.
const modelAttempts = 3

// answered takes the outcome of one attempt.
func (e *modelEntry) answered(a *modelAttempt, code carobkeel.Code) {
	r := a.request
	r.pending--
	a.member.Stats.End(r.stream.key.Class)
	switch code {
	case carobkeel.CodeOK:
		a.member.Stats.RecordLatency(e.model.now - a.sent - a.waited)
		e.admission.TailLatency(modelService).Observe(e.model.now - a.sent)
	case carobkeel.CodeUpstreamFailed:
		now := e.model.clock()
		e.view.Pool(modelService).RecordFailureOf(a.member, now.Add(a.sent-e.model.now), now)
	}
	if r.ended {
		return
	}
	if code != carobkeel.CodeOK && r.attempts < modelAttempts &&
		e.admission.MayRetry(r.account, r.request(), carobkeel.NewError(code, "")) {
		e.send(r)
		return
	}
	if r.pending == 0 || code == carobkeel.CodeOK {
		e.end(r, code)
	}
}

// end counts a request that has its outcome.
func (e *modelEntry) end(r *modelRequest, code carobkeel.Code) {
	if r.ended {
		return
	}
	r.ended = true
	if r.attempts > 0 {
		e.admission.Finish(r.account, code)
	}
	if e.model.counted(r.arrived) {
		r.stream.result.count(r, code, e.model.now-r.arrived)
	}
}

func (s *streamResult) count(r *modelRequest, code carobkeel.Code, latency time.Duration) {
	switch code {
	case carobkeel.CodeOK:
		s.inTime++
		s.work += r.work
		_ = s.latency.RecordValue(latency.Microseconds())
	case carobkeel.CodeTimeoutUnknown:
		s.late++
		_ = s.latency.RecordValue(latency.Microseconds())
	case carobkeel.CodeUpstreamFailed:
		s.failed++
	default:
		s.refused++
		_ = s.refusal.RecordValue(max(latency.Microseconds(), 1))
	}
}
