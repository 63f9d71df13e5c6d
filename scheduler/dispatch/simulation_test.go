package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/interference"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

const (
	testService   = carobkeel.Service("desk")
	testLease     = 3 * time.Second
	testAuthority = 4 * time.Second
	testMaxLease  = 10 * time.Second
	testStopGrace = 400 * time.Millisecond
	tick          = 50 * time.Millisecond
)

// simulation simulates a shard in virtual time: holders, sidecars, workers and
// the durable records. The record of the stand-in workers holds what actually
// ran.
type simulation struct {
	now     time.Duration
	record  *standin.Record
	workers map[string]*host
	hosts   []string
	// store holds the durable state.
	store struct {
		epoch       carobkeel.Epoch
		jobs        []*carobkeel.JobSpec
		specs       map[carobkeel.JobID]*carobkeel.JobSpec
		accepted    map[carobkeel.JobID]carobkeel.Epoch
		progress    map[carobkeel.JobID]dispatch.Progress
		workers     map[runs.Incarnation]string
		cancel      map[carobkeel.JobID]bool
		learned     []interference.ImageRecord
		unavailable bool
	}
	holders []*holder
	// delayed holds the orders that are carried out some time after they were
	// sent.
	delayed []delayedOrder
	// loseAnswer decides whether the next order gets no answer, and if so how
	// late it is carried out.
	loseAnswer    func() (lost bool, late time.Duration)
	visibleStates map[carobkeel.JobID]carobkeel.JobState
	work          func(task carobkeel.TaskName, run int) standin.Work
	// workOn, if set, replaces work and depends on the host.
	workOn func(host string, task carobkeel.TaskName, run int) standin.Work
	// admits decides whether a ticket lets a task start on a host; every ticket
	// does if it is nil. advise returns the advice service's answer, which
	// arrives one tick later.
	admits func(host string, task carobkeel.TaskName, ticket string) bool
	advise func(q dispatch.AdviceQuestion) dispatch.Advice
	// loadMetric returns the load metric that a worker lists for a run, 0 if it
	// is nil.
	loadMetric func(task carobkeel.TaskName, paces map[carobkeel.TaskName]int) int
	// delay is how long an order takes to reach its sidecar.
	delay time.Duration
	// trace receives a line for each decision, if set.
	trace  func(string)
	broken brokenRules
	// failures enables runs that fail.
	failures bool
	// failsOn reports whether all runs on a host fail; none do if it is nil.
	failsOn func(host string) bool
	// events is the number of the last kind of event that may be drawn.
	events int
}

// brokenRules selects rules that a test breaks on purpose.
type brokenRules struct {
	// forgetInherited lets a new holder start tasks immediately that an
	// unreachable worker may still run.
	forgetInherited bool
	// shortLease lets a holder release runs before their lease expires.
	shortLease bool
	// unansweredIsRefused treats an order without an answer as refused.
	unansweredIsRefused bool
	// earlyAcknowledge acknowledges ends before they are stored.
	earlyAcknowledge bool
	// withoutFencing sends the orders of every holder with the newest epoch.
	withoutFencing bool
	// silentSidecar lets a restarted sidecar report nothing before it has had a
	// heartbeat of its worker.
	silentSidecar bool
}

type delayedOrder struct {
	at   time.Duration
	send func()
}

// host is a worker with its sidecar.
type host struct {
	name        string
	worker      *standin.Worker
	holder      gate.Holder
	clock       gate.Clock
	incarnation runs.Incarnation
	listing     uint64
	acked       map[runs.Incarnation]uint64
	partitioned bool
	linked      *holder
	// unlinkedAt is when the holder notices that the link has ended.
	unlinkedAt time.Duration
	// workerUnreachable reports that the sidecar can't reach the worker.
	// requestedLease is the latest lease deadline that the sidecar has
	// requested.
	workerUnreachable bool
	requestedLease    time.Duration
	// lostOrder reports that the link has lost an order.
	lostOrder bool
	// described is the worker's last description, nil if the sidecar has none.
	described *runs.Description
	// workerDown reports that the worker has ended. It sends no heartbeats.
	workerDown bool
	// restarted reports that the sidecar's process has restarted, and has had no
	// heartbeat since. The next one arrives at heartbeatAt.
	restarted   bool
	heartbeatAt time.Duration
	// refusesOrders reports that the worker lists its runs, but refuses all
	// orders as unhealthy.
	refusesOrders bool
	// orders counts the starts and stops that the sidecar has received.
	orders int
	// departed reports that the worker has shut down and the sidecar has not.
	departed bool
	fault    faultKind
}

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = time.Second

// restartSidecar replaces the process of a host's sidecar by one that has the first
// heartbeat of its worker at the given time.
func (sim *simulation) restartSidecar(s *host, heartbeatAt time.Duration) {
	s.holder, s.clock, s.incarnation = gate.Holder{}, gate.Clock{}, runs.Incarnation{}
	s.listing, s.requestedLease = 0, 0
	s.acked = make(map[runs.Incarnation]uint64)
	s.restarted, s.heartbeatAt = true, heartbeatAt
	s.linked, s.unlinkedAt, s.described = nil, 0, nil
}

// endWorker ends a worker without a successor.
func (s *host) endWorker() {
	s.worker.Crash()
	s.workerDown = true
}

// reportsWorker reports whether the sidecar knows and reaches its worker. If it
// does not, it tells the holder so.
func (sim *simulation) reportsWorker(h *holder, s *host) bool {
	if s.restarted && (s.workerDown || sim.now < s.heartbeatAt) {
		if !sim.broken.silentSidecar {
			h.core.WorkerUnreachable(s.name, gate.UnknownRemaining)
		}
		return false
	}
	s.restarted = false
	if s.workerUnreachable || s.workerDown {
		h.core.WorkerUnreachable(s.name, gate.LeaseRemaining(s.clock, s.requestedLease, sim.now))
		return false
	}
	return true
}

// faultKind is a fault of one worker.
type faultKind uint8

const (
	// sound workers have no fault.
	sound faultKind = iota
	// failing workers fail all runs that they start.
	failing
	// stalled workers make no progress.
	stalled
	// refusing workers refuse all starts.
	refusing
	// silent workers carry out orders without an answer, up to lateOrder later.
	silent
	// unreachable workers are not reached by their sidecars.
	unreachable
	// isolated workers are partitioned from the holder.
	isolated
)

// setFault replaces the fault of a worker.
func (s *host) setFault(kind faultKind) {
	s.fault = kind
	s.worker.Stall(kind == stalled)
	s.workerUnreachable = kind == unreachable
	s.partitioned = kind == isolated
}

// lateOrder is how late silent workers carry out orders.
const lateOrder = 2 * time.Second

// holder is a process that holds the shard, or believes that it does.
type holder struct {
	epoch       carobkeel.Epoch
	core        *dispatch.Core
	confirmedAt time.Duration
	startedAt   time.Duration
	addedJobs   map[carobkeel.JobID]bool
	// paused holders do nothing, partitioned ones can't reach the store, and
	// ended ones have stopped.
	paused, partitioned, ended bool
	pending                    *dispatch.Batch
	// question is the pending question for the advice service.
	question *dispatch.AdviceQuestion
}

func newSimulation(capacities ...int64) *simulation {
	sim := &simulation{
		now:           time.Hour,
		record:        standin.NewRecord(),
		events:        10,
		workers:       make(map[string]*host),
		visibleStates: make(map[carobkeel.JobID]carobkeel.JobState),
		loseAnswer:    func() (bool, time.Duration) { return false, 0 },
		work: func(carobkeel.TaskName, int) standin.Work {
			return standin.Work{Duration: time.Second, Outcome: runs.OutcomeDone}
		},
	}
	sim.store.specs = make(map[carobkeel.JobID]*carobkeel.JobSpec)
	sim.store.accepted = make(map[carobkeel.JobID]carobkeel.Epoch)
	sim.store.progress = make(map[carobkeel.JobID]dispatch.Progress)
	sim.store.workers = make(map[runs.Incarnation]string)
	sim.store.cancel = make(map[carobkeel.JobID]bool)
	for i, cpu := range capacities {
		name := fmt.Sprintf("host-%d", i)
		sim.hosts = append(sim.hosts, name)
		sim.workers[name] = &host{
			name:  name,
			acked: make(map[runs.Incarnation]uint64),
			worker: standin.New(standin.Config{
				Description: runs.Description{
					Incarnation: runs.Incarnation{ID: "w-" + name, StartedAtMs: 1},
					Service:     testService,
					Capacity:    carobkeel.Resources{MilliCPU: cpu, MemoryBytes: 64 << 30},
					Labels:      []string{"a", fmt.Sprintf("r%d", i/2)},
					Rack:        fmt.Sprintf("r%d", i/2),
					Sequence:    1,
				},
				MaxLease: testMaxLease, StopGrace: testStopGrace, Record: sim.record,
				Work: func(task carobkeel.TaskName, run int) standin.Work {
					if sim.failsOn != nil && sim.failsOn(name) {
						return standin.Work{Duration: 100 * time.Millisecond, Outcome: runs.OutcomeFailed}
					}
					if sim.workOn != nil {
						return sim.workOn(name, task, run)
					}
					return sim.work(task, run)
				},
				Admits: func(task carobkeel.TaskName, ticket string) bool {
					return sim.admits == nil || sim.admits(name, task, ticket)
				},
				LoadMetric: func(task carobkeel.TaskName, paces map[carobkeel.TaskName]int) int {
					if sim.loadMetric == nil {
						return 0
					}
					return sim.loadMetric(task, paces)
				},
			}),
		}
	}
	sim.record.AllowsConcurrentRuns = func(task carobkeel.TaskName) bool {
		spec := sim.store.specs[task.Job]
		return spec != nil && spec.Steps[task.Step].AllowsDuplicates
	}
	return sim
}

func (sim *simulation) time() dispatch.Now {
	return dispatch.Now{Monotonic: sim.now, Wall: time.Unix(1_000_000, 0).Add(sim.now)}
}

func testQueue(priority, attempts int) carobkeel.Queue {
	return carobkeel.Queue{Name: carobkeel.QueueName(fmt.Sprintf("q%d", priority)), Service: testService, Priority: priority, MaxAttempts: attempts}
}

// accept makes a job durable. The holders receive it in the order of the store.
func (sim *simulation) accept(spec *carobkeel.JobSpec) {
	sim.store.jobs = append(sim.store.jobs, spec)
	sim.store.specs[spec.ID] = spec
	sim.store.accepted[spec.ID] = sim.store.epoch
}

// takeOver starts a new holder.
func (sim *simulation) takeOver() *holder {
	sim.store.epoch++
	var records []dispatch.WorkerRecord
	for incarnation, name := range sim.store.workers {
		records = append(records, dispatch.WorkerRecord{Incarnation: incarnation, Host: name})
	}
	h := &holder{epoch: sim.store.epoch, confirmedAt: sim.now, startedAt: sim.now, addedJobs: make(map[carobkeel.JobID]bool)}
	config := dispatch.Config{
		Epoch: h.epoch, WorkerLease: testLease, InheritedLease: testAuthority + testLease,
	}
	if sim.broken.forgetInherited {
		records = nil
	}
	if sim.broken.shortLease {
		config.WorkerLease = 0
	}
	h.core = dispatch.New(config, sim.time(), records)
	h.core.RestoreInterference(sim.store.learned)
	sim.deliverJobs(h)
	for _, p := range sim.store.progress {
		h.core.Restore(p)
	}
	sim.deliver(h)
	sim.holders = append(sim.holders, h)
	return h
}

// deliver gives a holder the jobs and cancellations that it may see. A holder
// that was replaced learns of its successor before it sees later jobs.
func (sim *simulation) deliver(h *holder) {
	sim.deliverJobs(h)
	for _, spec := range sim.store.jobs {
		if sim.store.cancel[spec.ID] {
			h.core.Cancel(spec.ID)
		}
	}
}

func (sim *simulation) deliverJobs(h *holder) {
	for _, spec := range sim.store.jobs {
		if !h.addedJobs[spec.ID] && sim.store.accepted[spec.ID] <= h.epoch {
			h.addedJobs[spec.ID] = true
			h.core.AddJob(spec, sim.store.accepted[spec.ID] < h.epoch)
		}
	}
}

// step advances the simulation by one tick.
func (sim *simulation) step() {
	sim.now += tick
	for _, name := range sim.hosts {
		sim.workers[name].worker.Advance(tick)
	}
	due := slices.IndexFunc(sim.delayed, func(l delayedOrder) bool { return l.at <= sim.now })
	for due >= 0 {
		send := sim.delayed[due].send
		sim.delayed = slices.Delete(sim.delayed, due, due+1)
		send()
		due = slices.IndexFunc(sim.delayed, func(l delayedOrder) bool { return l.at <= sim.now })
	}
	for _, h := range sim.holders {
		if !h.paused && !h.ended {
			sim.runHolder(h)
		}
	}
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.step()
	}
}

func (sim *simulation) runHolder(h *holder) {
	if !h.partitioned && !sim.store.unavailable {
		if sim.store.epoch != h.epoch {
			h.ended = true // the change feed names a successor
			return
		}
		h.confirmedAt = sim.now
		sim.deliver(h)
	}
	if sim.now-h.confirmedAt > testAuthority {
		h.ended = true
		return
	}
	now := sim.time()
	now.Held = h.confirmedAt
	h.core.Advance(now)
	sim.advice(h)
	for _, name := range sim.hosts {
		sim.exchange(h, sim.workers[name])
	}
	out := h.core.Finish()
	sim.finish(h, out)
	sim.persist(h)
}

// exchange simulates the traffic between a holder and the sidecar of a host.
func (sim *simulation) exchange(h *holder, s *host) {
	if s.partitioned || s.holder.Epoch > h.epoch {
		if s.linked == h && s.unlinkedAt == 0 {
			s.unlinkedAt = sim.now + time.Second
		}
		if s.linked == h && sim.now >= s.unlinkedAt {
			s.linked, s.unlinkedAt = nil, 0
			h.core.HostLost(s.name)
		}
		return
	}
	if s.linked != h || s.lostOrder {
		// A lost order also ends its link.
		s.linked, s.unlinkedAt, s.lostOrder = h, 0, false
		h.core.HostLinked(s.name)
		if s.described != nil {
			h.core.DescribeWorker(s.name, *s.described)
		}
	}
	h.core.HostPinged(s.name)
	s.holder = s.holder.Confirm(h.epoch, sim.now)
	h.core.HostFollows(s.name)
	if s.departed || !sim.reportsWorker(h, s) {
		return
	}
	d := s.worker.Description()
	if s.incarnation != d.Incarnation {
		s.incarnation, s.clock, s.requestedLease = d.Incarnation, gate.Clock{}, 0
	}
	s.described = &d
	h.core.DescribeWorker(s.name, d)
	s.listing++
	listing, answer, err := s.worker.List(context.Background(), s.envelope(h.epoch), s.acked[d.Incarnation], 0)
	if err != nil || answer.Result != runs.ResultOK {
		return
	}
	if n := len(listing.Ends); n > 0 && sim.broken.earlyAcknowledge {
		s.acked[d.Incarnation] = listing.Ends[n-1].Number
	}
	s.clock = gate.Clock{Reading: answer.Clock, Received: sim.now, Known: true}
	h.core.ApplyListing(dispatch.WorkerListing{
		Host: s.name, Incarnation: d.Incarnation, Number: s.listing, Full: true, Running: listing.Running, Ends: listing.Ends,
	})
}

func (s *host) envelope(epoch carobkeel.Epoch) runs.Envelope {
	deadline := gate.LeaseDeadline(s.holder, s.clock, testLease)
	s.requestedLease = max(s.requestedLease, deadline)
	return runs.Envelope{Incarnation: s.worker.Description().Incarnation, Epoch: epoch, Deadline: deadline}
}

func (sim *simulation) finish(h *holder, out dispatch.Output) {
	if sim.trace != nil {
		for _, d := range out.Decisions {
			sim.trace(fmt.Sprintf("%v e%d %s %s %s run %d %s %s", sim.now-time.Hour, h.epoch, d.Kind, d.Job, d.Task, d.Run, d.Host, d.Detail))
		}
	}
	for _, v := range out.StateChanges {
		if v.Removed {
			delete(sim.visibleStates, v.Job)
			continue
		}
		sim.visibleStates[v.Job] = v.State
	}
	for _, o := range out.Orders {
		sim.order(h, o)
	}
	if out.AdviceQuestion != nil {
		h.question = out.AdviceQuestion
	}
}

// advice answers the question that the holder asked one tick earlier.
func (sim *simulation) advice(h *holder) {
	if h.question == nil {
		return
	}
	q := *h.question
	h.question = nil
	h.core.ApplyAdvice(sim.advise(q))
}

// order carries out an order immediately or after the simulation's delay.
func (sim *simulation) order(h *holder, o dispatch.Order) {
	s := sim.workers[o.Host]
	if s.partitioned || (s.holder.Epoch > h.epoch && !sim.broken.withoutFencing) {
		s.lostOrder = true
		return
	}
	if sim.delay == 0 {
		sim.carryOut(h, s, o)
		return
	}
	sim.delayed = append(sim.delayed, delayedOrder{at: sim.now + sim.delay, send: func() {
		if s.linked == h && !h.ended {
			sim.carryOut(h, s, o)
		}
	}})
}

// carryOut does what a sidecar does with an order.
func (sim *simulation) carryOut(h *holder, s *host, o dispatch.Order) {
	if o.Kind != dispatch.OrderAcknowledge {
		s.orders++
	}
	if s.restarted {
		if o.Kind != dispatch.OrderAcknowledge {
			sim.answer(h, s, o, runs.ResultOtherIncarnation)
		}
		return
	}
	if s.workerUnreachable || s.workerDown {
		// The worker's lease is not extended while it is unreachable, so
		// nothing is started.
		result := runs.ResultUnknown
		if o.Kind == dispatch.OrderStart {
			result = runs.ResultUnhealthy
		}
		if o.Kind != dispatch.OrderAcknowledge {
			sim.answer(h, s, o, result)
		}
		return
	}
	if o.Kind == dispatch.OrderAcknowledge {
		s.acked[o.Incarnation] = o.Acknowledged
		return
	}
	if o.Kind == dispatch.OrderStart {
		d := s.worker.Description()
		known := s.holder
		if sim.broken.withoutFencing {
			known.Epoch = h.epoch
		}
		if result := gate.AdmitOrder(known, h.epoch, &d, o.Incarnation); result != runs.ResultOK {
			sim.answer(h, s, o, result)
			return
		}
		if s.fault == refusing {
			sim.answer(h, s, o, runs.ResultUnhealthy)
			return
		}
	}
	if s.refusesOrders {
		sim.answer(h, s, o, runs.ResultUnhealthy)
		return
	}
	envelope := s.envelope(h.epoch)
	envelope.Incarnation = o.Incarnation
	if sim.broken.withoutFencing {
		envelope.Epoch = sim.store.epoch
	}
	send := func() runs.Answer {
		var answer runs.Answer
		if o.Kind == dispatch.OrderStart {
			answer, _ = s.worker.Start(context.Background(), envelope, runs.Start{Task: o.Task, Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
		} else if o.Kind == dispatch.OrderStop {
			answer, _ = s.worker.Stop(context.Background(), envelope, runs.Stop{Task: o.Task, Run: o.Run})
		} else if o.Kind == dispatch.OrderPace {
			answer, _ = s.worker.Pace(context.Background(), envelope, runs.Pace{Task: o.Task, Run: o.Run, Percent: o.Percent})
		}
		return answer
	}
	lost, late := sim.loseAnswer()
	if s.fault == silent {
		lost, late = true, lateOrder
	}
	if lost {
		sim.delayed = append(sim.delayed, delayedOrder{at: sim.now + late, send: func() { send() }})
		if sim.broken.unansweredIsRefused {
			sim.answer(h, s, o, runs.ResultUnhealthy)
			return
		}
		sim.answer(h, s, o, runs.ResultUnknown)
		return
	}
	sim.answer(h, s, o, send().Result)
}

func (sim *simulation) answer(h *holder, s *host, o dispatch.Order, result runs.Result) {
	h.core.ApplyAnswer(dispatch.OrderAnswer{
		Host: s.name, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Run: o.Run, Result: result, Listing: s.listing,
	})
}

// checkSize checks a batch against the number of entries that the table service
// accepts in one transaction, including the condition on the holder's row.
func (sim *simulation) checkSize(b *dispatch.Batch) {
	entries := 1 + 2*len(b.Progress) + len(b.Workers) + len(b.Forgotten) + 4*len(b.Expired)
	if len(b.Interference) > 0 {
		entries++
	}
	if entries > 100 {
		sim.record.Violations = append(sim.record.Violations, fmt.Sprintf("a batch of %d entries", entries))
	}
}

// persist stores each batch one tick after it was taken.
func (sim *simulation) persist(h *holder) {
	if h.partitioned || sim.store.unavailable {
		return
	}
	if h.pending != nil {
		sim.checkSize(h.pending)
		for _, p := range h.pending.Progress {
			sim.store.progress[p.Job] = p
		}
		for _, r := range h.pending.Workers {
			sim.store.workers[r.Incarnation] = r.Host
		}
		if len(h.pending.Interference) > 0 {
			sim.store.learned = h.pending.Interference
		}
		for _, incarnation := range h.pending.Forgotten {
			delete(sim.store.workers, incarnation)
		}
		for _, job := range h.pending.Expired {
			delete(sim.store.progress, job)
			delete(sim.store.cancel, job)
			sim.store.jobs = slices.DeleteFunc(sim.store.jobs, func(s *carobkeel.JobSpec) bool { return s.ID == job })
		}
		h.core.BatchStored(*h.pending)
		h.pending = nil
		sim.finish(h, h.core.Finish())
	}
	if h.core.HasBatch() {
		batch := h.core.NextBatch(dispatch.BatchLimit{Entries: 99, Bytes: 512 << 10})
		h.pending = &batch
	}
}

// endFaults ends all faults and runs the simulation for limit, so that the
// shard recovers.
func (sim *simulation) endFaults(limit time.Duration) {
	sim.loseAnswer = func() (bool, time.Duration) { return false, 0 }
	sim.failsOn = nil
	sim.store.unavailable = false
	sim.delay = 0
	for _, s := range sim.workers {
		s.partitioned, s.workerUnreachable, s.refusesOrders = false, false, false
		s.worker.Stall(false)
	}
	for _, h := range sim.holders {
		h.paused, h.partitioned = false, false
	}
	sim.run(200 * time.Millisecond)
	if !slices.ContainsFunc(sim.holders, func(h *holder) bool { return !h.ended }) {
		sim.takeOver()
	}
	sim.run(limit)
}

// drawer draws a number between low and high, both included.
type drawer func(label string, low, high int) int

// drawJob draws a job of up to three steps.
func drawJob(draw drawer, n int) *carobkeel.JobSpec {
	spec := &carobkeel.JobSpec{
		ID:      carobkeel.JobID(fmt.Sprintf("%016x", n)),
		Queue:   testQueue(2*draw("priority", 0, 1), 3),
		Payload: "payload",
	}
	for i := range draw("steps", 1, 3) {
		step := carobkeel.Step{
			Count:    draw("count", 1, 5),
			Demand:   carobkeel.Resources{MilliCPU: int64(draw("cpu", 1, 4)) * 1000, MemoryBytes: 1 << 30},
			Estimate: time.Second,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		step.Gang = draw("gang", 0, 9) == 0
		step.BestEffort = draw("fills", 0, 3) == 0
		step.AllowsDuplicates = draw("duplicates", 0, 2) == 0
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}
