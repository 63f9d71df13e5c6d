// Package agent is the sidecar's part in running tasks. It maintains links to the
// entries, executes the holder's orders on the worker of its host, extends the
// worker's lease while the holder answers, and forwards the worker's listings.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/internal/mailbox"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/sidecar/gate"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// Config holds the settings of an agent.
type Config struct {
	Host        string
	Incarnation carobkeel.Incarnation
	// Seeds are link addresses of entries that are dialled even if they are not
	// discovered.
	Seeds []string
	// WorkerLease is the duration of the worker's lease from a confirmed ping.
	WorkerLease time.Duration
}

// EntryFinder returns the currently known link addresses of the entries.
type EntryFinder func(ctx context.Context) ([]string, error)

// Agent connects the worker of a host with the holder of its shard. Use New, then
// Run.
type Agent struct {
	config      Config
	worker      runs.Client
	findEntries EntryFinder
	metrics     *Metrics
	log         *log.Logger
	// started is when this process was started.
	started time.Duration

	// holder, description and clock are immutable snapshots that are replaced as
	// a unit.
	holder      atomic.Pointer[gate.Holder]
	description atomic.Pointer[runs.Description]
	clock       atomic.Pointer[gate.Clock]
	seeds       atomic.Pointer[[]string]
	// holderLink is the link to the holder, nil while the holder is unknown.
	holderLink atomic.Pointer[entryLink]
	// deadline is the latest end of a lease that was requested, on the worker's
	// clock.
	deadline atomic.Int64
	// acknowledged is the last end of a run that the holder has acknowledged as
	// stored.
	acknowledged atomic.Pointer[acknowledgement]
	// leftIncarnation is the worker's incarnation that shut down in an orderly
	// way, nil for none.
	leftIncarnation atomic.Pointer[runs.Incarnation]
	// denied is the last incarnation that the worker answered not to be, nil for none.
	denied atomic.Pointer[runs.Incarnation]
	// leftOut limits the log lines about rows left out of listings.
	leftOut logging.RateLimit
	// unresponsive reports that the worker does not answer, or is not known yet.
	unresponsive atomic.Bool
	// extendsFrom is the time from which a ping must have been sent whose answer
	// extends the lease: the holder has been told by then that the worker answers.
	extendsFrom atomic.Int64
	// openedLinks is the number of links that this process has opened.
	openedLinks atomic.Uint64
	// listingNumber is the number of the last listing that was begun.
	listingNumber atomic.Uint64

	orders *mailbox.Mailbox[receivedOrder]
	// withdrawn holds the runs, by runKey, for which a stop order has arrived that
	// is not answered yet. Starts of these runs are no longer sent.
	withdrawn sync.Map
	// changed wakes the lister after a heartbeat of the worker or an
	// acknowledgement.
	changed chan struct{}
}

// acknowledgement is the number up to which the ended runs of a worker's incarnation
// are stored by the holder.
type acknowledgement struct {
	incarnation runs.Incarnation
	upTo        uint64
}

// receivedOrder is an order with the epoch under which it was sent and the link on
// which it arrived.
type receivedOrder struct {
	order dispatch.Order
	epoch carobkeel.Epoch
	link  *entryLink
}

// New returns an agent for the worker.
func New(config Config, worker runs.Client, find EntryFinder, metrics *Metrics, logger *log.Logger) *Agent {
	a := &Agent{
		config:      config,
		metrics:     metrics,
		worker:      worker,
		findEntries: find,
		log:         logger,
		started:     clock.Boottime(),
		orders:      mailbox.New[receivedOrder](),
		changed:     make(chan struct{}, 1),
	}
	a.SetSeeds(config.Seeds)
	a.holder.Store(&gate.Holder{})
	a.clock.Store(&gate.Clock{})
	a.acknowledged.Store(&acknowledgement{})
	return a
}

// SetSeeds replaces the seeds.
func (a *Agent) SetSeeds(seeds []string) { a.seeds.Store(&seeds) }

// Run maintains the links, lists the worker's runs and executes orders until ctx
// ends.
func (a *Agent) Run(ctx context.Context) {
	go a.executeOrders(ctx)
	go a.runListings(ctx)
	a.maintainLinks(ctx)
}

// RecordHeartbeat records the worker's description of itself. After it has returned
// for a description of a draining worker, no start is sent to that worker.
func (a *Agent) RecordHeartbeat(d runs.Description) {
	for {
		old := a.description.Load()
		if old != nil && old.Incarnation == d.Incarnation && d.Sequence <= old.Sequence {
			return
		}
		if old != nil && d.StartedAtMs < old.StartedAtMs && !a.isDenied(old.Incarnation) && !a.workerIsGone() {
			return // a late heartbeat of an earlier incarnation
		}
		if a.description.CompareAndSwap(old, &d) {
			a.handleHeartbeat(old, &d)
			return
		}
	}
}

// workerIsGone reports whether the described incarnation of the worker does not answer
// and has no lease any more. Another one may then follow it, even one with an earlier
// start by a clock that was set back.
func (a *Agent) workerIsGone() bool {
	return a.unresponsive.Load() && max(a.leaseRemaining(), a.earlierLeaseRemaining()) <= 0
}

// isDenied reports whether the worker has answered that it is another incarnation.
func (a *Agent) isDenied(incarnation runs.Incarnation) bool {
	denied := a.denied.Load()
	return denied != nil && *denied == incarnation
}

func (a *Agent) handleHeartbeat(old, d *runs.Description) {
	if old == nil || old.Incarnation != d.Incarnation {
		a.withdrawn.Clear()
		a.clock.Store(&gate.Clock{})
		a.deadline.Store(0)
		a.log.Info().Str("worker", d.ID).Int64("born", d.StartedAtMs).Msg("first heartbeat of a worker incarnation")
	}
	if d.Draining && (old == nil || !old.Draining) {
		a.log.Info().Str("worker", d.ID).Dur("remaining", d.Remaining).Msg("worker draining")
	}
	if old == nil || old.Incarnation != d.Incarnation || old.Draining != d.Draining {
		a.sendDescription(a.holderLink.Load())
	}
	a.wakeLister()
}

// Deregister records that the worker shuts down in an orderly way. The worker exits
// once it has returned, so the last ends are listed before.
func (a *Agent) Deregister(id string) {
	d := a.description.Load()
	if d == nil || d.ID != id {
		return
	}
	if holderLink := a.holderLink.Load(); holderLink != nil {
		a.sendListing(holderLink, d, runs.Envelope{Incarnation: d.Incarnation, Epoch: holderLink.epoch()})
	}
	next := *d
	next.Draining = true
	a.description.CompareAndSwap(d, &next)
	a.leftIncarnation.Store(&d.Incarnation)
	a.log.Info().Str("worker", id).Msg("worker shut down")
	a.sendLeft(a.holderLink.Load(), d.Incarnation)
}

func (a *Agent) wakeLister() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// envelope returns the envelope of a request to the worker. It extends the lease only
// while the worker answers and the holder knows that.
func (a *Agent) envelope(incarnation runs.Incarnation, epoch carobkeel.Epoch) runs.Envelope {
	e := runs.Envelope{Incarnation: incarnation, Epoch: epoch}
	holder := a.holder.Load()
	if a.unresponsive.Load() || int64(holder.Confirmed) < a.extendsFrom.Load() {
		return e
	}
	deadline := gate.LeaseDeadline(*holder, *a.clock.Load(), a.config.WorkerLease)
	a.raiseDeadline(deadline)
	if !a.unresponsive.Load() { // otherwise the report may not include this deadline
		e.Deadline = deadline
	}
	return e
}

// recordAnswering records that the worker answers and that its listing was sent to the
// holder.
func (a *Agent) recordAnswering(d *runs.Description) {
	if !a.unresponsive.Load() {
		return
	}
	a.extendsFrom.Store(int64(clock.Boottime()))
	a.unresponsive.Store(false)
	a.log.Info().Str("worker", d.ID).Msg("worker answers")
	if holderLink := a.holderLink.Load(); holderLink != nil {
		holderLink.ping()
	}
}

// raiseDeadline sets the latest requested deadline unless a later one is recorded.
func (a *Agent) raiseDeadline(deadline time.Duration) {
	for {
		old := a.deadline.Load()
		if int64(deadline) <= old || a.deadline.CompareAndSwap(old, int64(deadline)) {
			return
		}
	}
}

// observeClock records the worker's clock from an answer. Answers of an earlier
// incarnation are ignored.
func (a *Agent) observeClock(incarnation runs.Incarnation, answer runs.Answer) {
	d := a.description.Load()
	if answer.Clock == 0 || d == nil || d.Incarnation != incarnation {
		return
	}
	a.clock.Store(&gate.Clock{Reading: answer.Clock, Received: clock.Boottime(), Known: true})
}
