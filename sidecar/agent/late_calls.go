package agent

import (
	"context"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// list requests a listing of the worker, and keeps a call without an answer in mind if it
// extends the lease.
func (a *Agent) list(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	call := a.beginLeaseCall(e, carobkeel.TaskName{})
	listing, answer, err := a.sendList(ctx, e, acknowledged, wait)
	if err == nil {
		a.noteAnswer(e, listing.StartedAtMs, answer)
	}
	if err == nil && listing.StartedAtMs != 0 && listing.StartedAtMs != e.Incarnation.StartedAtMs {
		call.lose() // another incarnation has carried it out
	} else {
		call.end(answer, err)
	}
	a.recordUnanswered(e, acknowledged, err)
	if err == nil && answer.Result == runs.ResultOK {
		a.needsLease.Store(gate.NeedsLease(&listing))
	}
	return listing, answer, err
}

// sendList sends a request for a listing, and one without an effect again beside the first if that is not
// answered soon.
func (a *Agent) sendList(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	if e.Deadline == 0 && acknowledged == 0 && wait == 0 {
		return a.listRepeatedly(ctx, e)
	}
	return a.worker.List(ctx, e, acknowledged, wait)
}

// recordUnanswered logs and counts a call for a listing without an answer that extends the lease
// or acknowledges ends: the next incarnation of the worker may carry it out.
func (a *Agent) recordUnanswered(e runs.Envelope, acknowledged uint64, err error) {
	if err == nil || runs.IsUnsent(err) || (e.Deadline == 0 && acknowledged == 0) {
		return
	}
	a.metrics.ListingsUnanswered.Inc(1)
	a.log.Warn().Err(err).Str("worker", e.Incarnation.ID).Int64("born", e.Incarnation.StartedAtMs).
		Uint64("generation", uint64(e.Fence.Generation)).Uint64("acknowledges", acknowledged).Dur("deadline", e.Deadline).
		Msg("listing without an answer may be carried out late")
}

// start sends a start to the worker, and keeps a call without an answer in mind: it extends the
// lease too.
func (a *Agent) start(ctx context.Context, e runs.Envelope, order runs.Start) (runs.Answer, error) {
	call := a.beginLeaseCall(e, order.Task)
	answer, err := a.worker.Start(ctx, e, order)
	call.end(answer, err)
	return answer, err
}

// leaseCall is a call to the worker that extends its lease. The zero value stands for one that
// does not.
type leaseCall struct {
	agent  *Agent
	number uint64
	sent   time.Duration
	// clock is the worker's before the call.
	clock gate.Clock
}

// beginLeaseCall records a call that is about to be sent, with the task that it starts.
func (a *Agent) beginLeaseCall(e runs.Envelope, start carobkeel.TaskName) leaseCall {
	if e.Deadline == 0 {
		return leaseCall{}
	}
	call := leaseCall{agent: a, number: a.lastLeaseCall.Add(1), sent: clock.Boottime()}
	if known := a.clock.Load(); known.incarnation == e.Incarnation {
		call.clock = known.Clock
	}
	a.updateLeaseCalls(func(l gate.LeaseCalls) gate.LeaseCalls {
		return l.Add(gate.LeaseCall{Number: call.number, WorkerID: e.Incarnation.ID, Start: start, Sent: clock.Monotonic()}, a.config.MaxLease)
	})
	return call
}

// end records how the call has ended.
func (c leaseCall) end(answer runs.Answer, err error) {
	if c.agent == nil {
		return
	}
	if runs.IsUnsent(err) || (err == nil && gate.IsSettled(answer, c.clock, c.sent)) {
		c.agent.updateLeaseCalls(func(l gate.LeaseCalls) gate.LeaseCalls { return l.Settle(c.number) })
		return
	}
	c.lose()
}

// lose records that the call may still be carried out, by whatever incarnation is there then.
func (c leaseCall) lose() {
	if c.agent != nil {
		c.agent.updateLeaseCalls(func(l gate.LeaseCalls) gate.LeaseCalls { return l.Lose(c.number) })
	}
}

// updateLeaseCalls replaces the calls without an answer by what change makes of them.
func (a *Agent) updateLeaseCalls(change func(gate.LeaseCalls) gate.LeaseCalls) {
	for {
		old := a.leaseCalls.Load()
		next := change(*old)
		if a.leaseCalls.CompareAndSwap(old, &next) {
			return
		}
	}
}

// reach returns the state of a worker that has listed its runs under a fence, with what this
// process knows of late calls to it.
func (a *Agent) reach(w gate.Worker, fence runs.Fence) gate.Worker {
	late := a.leaseCalls.Load().LateCallsTo(w.Description.ID, a.startedMonotonic, clock.Monotonic(), a.config.MaxLease)
	return w.Reach(fence, clock.Boottime(), late)
}

// isReached reports whether an incarnation has answered a call that keeps all earlier ones off. Before
// that it isn't known which of them have extended its lease, and the holder counts that with the first
// listing that it gets.
func (a *Agent) isReached(incarnation runs.Incarnation) bool {
	state := a.state.Load()
	return state.Describes(incarnation) && state.ReachedAt != 0
}

// lateLease returns the bound of the lease that late calls may have given an incarnation that has
// listed its runs.
func (a *Agent) lateLease(incarnation runs.Incarnation) runs.LateLease {
	state := a.state.Load()
	if !state.Describes(incarnation) {
		return runs.LateLease{}
	}
	return state.LateLease(clock.Boottime(), a.config.MaxLease)
}

// lateStarts returns the tasks that an incarnation which does not answer may run, as far as this process
// knows. Err is the reason why the last call got no answer.
func (a *Agent) lateStarts(err error) []carobkeel.TaskName {
	state := a.state.Load()
	if state.Description == nil {
		return nil
	}
	return state.LateStarts(*a.leaseCalls.Load(), err, clock.Boottime(), clock.Monotonic(), a.config.MaxLease)
}

// stopLateRuns stops what the worker runs if its lease may be longer than a holder that this process
// does not reach counts. What is not stopped now is with the next listing.
func (l *lister) stopLateRuns(ctx context.Context, running []runs.Running) {
	a, now := l.agent, clock.Boottime()
	state, holder := a.state.Load(), a.holder.Load()
	if len(running) == 0 || now < l.nextStop || !state.MustStop(*holder, now, a.config.WorkerLease, a.config.MaxLease) {
		return
	}
	l.nextStop = now + gate.StopMargin
	e := envelopeWithoutLease(state, holder.Term)
	for _, r := range running {
		_, err := a.worker.Stop(ctx, e, runs.Stop{Task: r.Task, Run: r.Run})
		a.log.Warn().Err(err).Stringer("task", r.Task).Int("run", r.Run).Str("worker", e.Incarnation.ID).
			Msg("run stopped: no holder, and a late call may have lengthened the lease")
		if err != nil {
			return
		}
	}
}

// listingRequest is how the next listing is requested.
type listingRequest struct {
	envelope runs.Envelope
	// acknowledged is the number up to which it acknowledges ends, zero for none.
	acknowledged uint64
	// wait is how long the worker may wait for a run to end.
	wait time.Duration
	// extendsFor is the sending time of the ping whose answer lets the request extend the lease,
	// zero if it doesn't.
	extendsFor time.Duration
}

// nextListing returns how the next listing is requested. One that extends the lease or
// acknowledges ends doesn't wait, so that a crash of the worker rarely finds it without an answer.
// The lease is extended once for each ping that the holder has answered, and each number is
// acknowledged once.
func (l *lister) nextListing(state *gate.Worker, term gate.Term) listingRequest {
	a := l.agent
	r := listingRequest{envelope: envelopeWithoutLease(state, term), acknowledged: l.pendingAcknowledgement(state, term)}
	if !state.HasListed(state.Fence(term)) || !a.clockOf(state.Description).Known {
		return r // the answer is needed before a lease can be requested
	}
	confirmed := a.holder.Load().Confirmed
	if int64(confirmed) > a.extendedFor.Load() {
		if e := a.listingEnvelope(state, term); e.Deadline != 0 {
			r.envelope, r.extendsFor = e, confirmed
		}
	}
	if r.extendsFor == 0 && r.acknowledged == 0 {
		r.wait = listWait
	}
	return r
}
