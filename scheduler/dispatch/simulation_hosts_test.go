package dispatch_test

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

type delayedOrder struct {
	at   time.Duration
	send func()
}

// host is a worker with its sidecar.
type host struct {
	name   string
	worker *standin.Worker
	holder gate.Holder
	clock  gate.Clock
	// state is the sidecar's record of the worker.
	state       gate.Worker
	listing     uint64
	acked       map[runs.Incarnation]uint64
	partitioned bool
	linked      *holder
	link        dispatch.Link
	// process is the incarnation of the sidecar's process.
	process carobkeel.Incarnation
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
	// listingsLost reports that listings are carried out, but get no answer, and failures counts
	// those since the last one with an answer.
	listingsLost bool
	failures     int
	// cutAfterRequest partitions the host once the next listing has been requested, and
	// relinkedAt ends its partition, zero for never. What it lists then gets lost.
	cutAfterRequest bool
	relinkedAt      time.Duration
	// departed reports that the worker has shut down and the sidecar has not.
	departed bool
	fault    faultKind
}

// heartbeatInterval is the time between two heartbeats of a worker.
const heartbeatInterval = time.Second

// restartSidecar replaces the process of a host's sidecar by one that has the first
// heartbeat of its worker at the given time.
func (sim *simulation) restartSidecar(s *host, heartbeatAt time.Duration) {
	s.holder, s.clock = gate.Holder{}, gate.Clock{}
	s.state = gate.Worker{}
	s.listing, s.requestedLease, s.failures = 0, 0, 0
	s.process++
	s.acked = make(map[runs.Incarnation]uint64)
	s.restarted, s.heartbeatAt = true, heartbeatAt
	s.linked, s.unlinkedAt, s.described = nil, 0, nil
}

// crash replaces the worker by its next incarnation. The sidecar has its heartbeat, and lists
// its runs, before any call to the earlier one is carried out late.
func (s *host) crash() {
	s.worker.Crash()
	s.describe()
	_, _, _ = s.worker.List(context.Background(), runs.Envelope{Incarnation: s.state.Description.Incarnation, Fence: s.fence(s.holder.Epoch)}, 0, 0)
}

// describe has the sidecar know the present incarnation of its worker.
func (s *host) describe() {
	d := s.worker.Description()
	if s.state.Description == nil || s.state.Description.Incarnation != d.Incarnation {
		s.clock, s.requestedLease = gate.Clock{}, 0
	}
	s.state = s.state.Describe(&d)
}

func (s *host) fence(epoch carobkeel.Epoch) runs.Fence {
	return s.state.Fence(s.term(epoch))
}

// term returns the term of the sidecar's process under an epoch.
func (s *host) term(epoch carobkeel.Epoch) gate.Term {
	return gate.Term{Epoch: epoch, Process: runs.ProcessNumber(s.process) + 1}
}

// endWorker ends a worker without a successor.
func (s *host) endWorker() {
	s.crash()
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
		sim.links++
		s.link = dispatch.Link{ID: sim.links, Process: s.process}
		h.core.HostLinked(s.name, s.link)
		if s.described != nil {
			h.core.DescribeWorker(s.name, *s.described)
		}
	}
	h.core.HostPinged(s.name, 0)
	s.holder = s.holder.Confirm(s.term(h.epoch), sim.now)
	h.core.HostFollows(s.name)
	if s.departed || !sim.reportsWorker(h, s) {
		return
	}
	s.describe()
	d := *s.state.Description
	s.described = &d
	h.core.DescribeWorker(s.name, d)
	s.listing++
	listing, answer, err := s.worker.List(context.Background(), s.envelope(h.epoch, sim.now), s.acked[d.Incarnation], 0)
	if err != nil || answer.Result != runs.ResultOK {
		return
	}
	if s.listingsLost {
		sim.recordLostListing(h, s)
		return
	}
	s.state, s.failures = s.state.Confirm(s.fence(h.epoch)), 0
	if n := len(listing.Ends); n > 0 && sim.broken.earlyAcknowledge {
		s.acked[d.Incarnation] = listing.Ends[n-1].Number
	}
	s.clock = gate.Clock{Reading: answer.Clock, Received: sim.now, Known: true}
	if s.cutAfterRequest {
		s.cutAfterRequest, s.partitioned = false, true
		return
	}
	h.core.ApplyListing(dispatch.WorkerListing{
		Host: s.name, Incarnation: d.Incarnation, Number: s.listing, Requested: s.listing, Full: true, Running: listing.Running, Ends: listing.Ends,
	})
}

// recordLostListing does what a sidecar does after a listing without an answer.
func (sim *simulation) recordLostListing(h *holder, s *host) {
	s.failures++
	s.state = s.state.Suspect()
	if s.failures >= modelUnresponsiveAfter {
		h.core.WorkerUnreachable(s.name, gate.LeaseRemaining(s.clock, s.requestedLease, sim.now))
	}
}

// relink ends the partition of a host when that is due. Its listings get lost.
func (sim *simulation) relink(s *host) {
	if s.relinkedAt > 0 && sim.now >= s.relinkedAt {
		s.relinkedAt, s.partitioned, s.listingsLost = 0, false, true
	}
}

// envelope returns the envelope of a request, which extends the lease while the worker answers.
func (s *host) envelope(epoch carobkeel.Epoch, now time.Duration) runs.Envelope {
	var deadline time.Duration
	if s.state.IsConfirmed(s.fence(epoch)) {
		deadline = gate.LeaseDeadline(s.holder, s.clock, testLease, now)
	}
	s.requestedLease = max(s.requestedLease, deadline)
	return runs.Envelope{Incarnation: s.worker.Description().Incarnation, Fence: s.fence(epoch), Deadline: deadline}
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
		if result := gate.AdmitOrder(known, h.epoch, gate.Worker{Description: &d}, o.Incarnation); result != runs.ResultOK {
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
	if o.Kind == dispatch.OrderStart && !s.state.IsConfirmed(s.fence(h.epoch)) {
		sim.answer(h, s, o, runs.ResultUnconfirmed)
		return
	}
	envelope := s.envelope(h.epoch, sim.now)
	envelope.Incarnation = o.Incarnation
	if sim.broken.withoutFencing {
		envelope.Fence.Epoch = sim.store.epoch
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
