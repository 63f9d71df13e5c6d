package agent

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// executors is the number of orders that are executed at once. Each uses one
	// connection to the worker.
	executors = 3
	// orderTimeout is how long the worker, which is on the same host, may take to
	// answer.
	orderTimeout = 400 * time.Millisecond
	// orderAttempts is the maximum number of attempts of an order that gets no
	// answer. The worker executes it once, however often it arrives.
	orderAttempts = 4
)

// runKey identifies a run.
type runKey struct {
	task carobkeel.TaskName
	run  int
}

func runKeyOf(o dispatch.Order) runKey { return runKey{task: o.Task, run: o.Run} }

// isWithdrawn reports whether the order is a start of a run for which a stop order has
// arrived.
func (a *Agent) isWithdrawn(o dispatch.Order) bool {
	if o.Kind != dispatch.OrderStart {
		return false
	}
	_, withdrawn := a.withdrawn.Load(runKeyOf(o))
	return withdrawn
}

// isExpired reports whether the validity of a start has ended.
func (a *Agent) isExpired(o receivedOrder) bool {
	pinged, known := o.link.pingTime(o.order.Ping)
	return !known || gate.StartExpired(pinged, time.Duration(a.extendsFrom.Load()), clock.Boottime(), a.config.WorkerLease)
}

// executeOrders executes orders as they arrive, until ctx ends.
func (a *Agent) executeOrders(ctx context.Context) {
	slots := make(chan struct{}, executors)
	var batch []receivedOrder
	var err error
	for {
		if batch, err = a.orders.Take(ctx, batch[:0]); err != nil {
			return
		}
		for _, o := range batch {
			if o.order.Kind == dispatch.OrderAcknowledge {
				a.acknowledge(o)
				continue
			}
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-slots }()
				a.execute(ctx, o)
			}()
		}
	}
}

// execute executes one order and sends its result to the holder.
func (a *Agent) execute(ctx context.Context, o receivedOrder) {
	started := time.Now()
	result, current := a.sendWithRetries(ctx, o)
	if !current {
		return // the holder sends the order again over the new link
	}
	if o.order.Kind == dispatch.OrderStop && result != runs.ResultUnknown {
		a.withdrawn.Delete(runKeyOf(o.order)) // the worker itself refuses the run from now on
	}
	a.recordResult(result, time.Since(started))
	a.logOrder(o, result)
	if o.order.Kind == dispatch.OrderPace && result == runs.ResultOK {
		return // the holder counts a pace as set unless it hears otherwise
	}
	o.link.send(wire.TypeAnswer, wire.FromAnswer(dispatch.OrderAnswer{
		Incarnation: o.order.Incarnation, Kind: o.order.Kind, Task: o.order.Task, Run: o.order.Run,
		Result: result, Listing: a.listingNumber.Load(),
	}, o.epoch))
}

// logOrder logs an order and its result. Paces are set all the time, so that their lines
// would crowd out those of starts and stops.
func (a *Agent) logOrder(o receivedOrder, result runs.Result) {
	level := log.InfoLevel
	if o.order.Kind == dispatch.OrderPace {
		level = log.DebugLevel
	}
	a.log.WithLevel(level).Stringer("order", o.order.Kind).Stringer("result", result).
		Stringer("task", o.order.Task).Int("run", o.order.Run).Str("host", a.config.Host).Uint64("epoch", uint64(o.epoch)).
		Msg("order")
}

// sendWithRetries sends an order until it is answered, at most orderAttempts times. A pace is
// sent once: a later one may follow it, and the holder orders the one that is due then. The
// second result is false if the order's link is no longer the link to the holder.
func (a *Agent) sendWithRetries(ctx context.Context, o receivedOrder) (runs.Result, bool) {
	for attempt := 0; attempt < orderAttempts && ctx.Err() == nil; attempt++ {
		if a.holderLink.Load() != o.link {
			return runs.ResultUnknown, false
		}
		if o.order.Kind == dispatch.OrderStop && a.unresponsive.Load() {
			// Starts must not wait behind it. The holder repeats it once the worker lists.
			return runs.ResultUnknown, true
		}
		state, holder := a.state.Load(), a.holder.Load()
		result := admit(holder, state, o)
		if result == runs.ResultOK && a.isWithdrawn(o.order) {
			result = runs.ResultWithdrawn
		}
		if result == runs.ResultOK {
			result = a.sendOnce(ctx, holder.TermOf(o.epoch), state, o)
		} else {
			a.metrics.Refused.Inc(1)
		}
		if result == runs.ResultUnknown || a.isOvertaken(result, o) {
			if o.order.Kind == dispatch.OrderPace {
				return result, true
			}
			continue
		}
		if result != runs.ResultOK && attempt > 0 {
			// The worker may still execute an earlier attempt that got no answer.
			return runs.ResultUnknown, true
		}
		return result, true
	}
	return runs.ResultUnknown, true
}

// isOvertaken reports whether the worker has refused a call under the current epoch for its
// fence: it has received a call of a later generation.
func (a *Agent) isOvertaken(result runs.Result, o receivedOrder) bool {
	return result == runs.ResultStaleEpoch && a.holder.Load().Epoch <= o.epoch
}

func (a *Agent) recordResult(result runs.Result, elapsed time.Duration) {
	a.metrics.OrderLatency.RecordDuration(elapsed)
	if result == runs.ResultUnknown {
		a.metrics.Unanswered.Inc(1)
		return
	}
	a.metrics.Orders.Inc(1)
}

// admit decides whether to send an order to the worker. A draining worker gets all
// orders but starts.
func admit(holder *gate.Holder, state *gate.Worker, o receivedOrder) runs.Result {
	result := gate.AdmitOrder(*holder, o.epoch, *state, o.order.Incarnation)
	if result == runs.ResultDraining && o.order.Kind != dispatch.OrderStart {
		return runs.ResultOK
	}
	return result
}

// resultWithoutLease returns the result of a start for which there is no lease. Until the holder
// has answered a ping since the worker answers again, that says nothing about the worker's health.
func (a *Agent) resultWithoutLease() runs.Result {
	if a.unresponsive.Load() {
		return runs.ResultUnhealthy
	}
	return runs.ResultUnconfirmed
}

// sendOnce makes one attempt to send an order.
func (a *Agent) sendOnce(ctx context.Context, term gate.Term, state *gate.Worker, o receivedOrder) runs.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !state.IsConfirmed(state.Fence(term)) && !a.unresponsive.Load() && o.order.Kind == dispatch.OrderStart {
		return runs.ResultUnconfirmed // that says nothing about the worker's health
	}
	envelope := a.envelope(state, term)
	if envelope.Deadline == 0 && o.order.Kind == dispatch.OrderStart {
		return a.resultWithoutLease() // nothing is sent
	}
	// The lease was computed before the check, so a pause after the check can't make it
	// later.
	if o.order.Kind == dispatch.OrderStart && a.isExpired(o) {
		return runs.ResultExpired
	}
	var answer runs.Answer
	var err error
	switch o.order.Kind {
	case dispatch.OrderStart:
		answer, err = a.start(ctx, envelope, runs.Start{
			Task: o.order.Task, Run: o.order.Run, Payload: o.order.Payload, Checkpoint: o.order.Checkpoint, Ticket: o.order.Ticket,
		})
	case dispatch.OrderStop:
		answer, err = a.worker.Stop(ctx, envelope, runs.Stop{Task: o.order.Task, Run: o.order.Run})
	case dispatch.OrderPace:
		answer, err = a.worker.Pace(ctx, envelope, runs.Pace{Task: o.order.Task, Run: o.order.Run, Percent: o.order.Percent})
	}
	if o.order.Kind == dispatch.OrderStart && runs.IsUnsent(err) {
		return runs.ResultUnconfirmed // it can't begin any more, and the lister finds out about the worker
	}
	if err != nil {
		a.log.Warn().Err(err).Stringer("task", o.order.Task).Int("run", o.order.Run).Msg("worker did not answer an order")
		return runs.ResultUnknown
	}
	a.observeClock(o.order.Incarnation, answer)
	return answer.Result
}
