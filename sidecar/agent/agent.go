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
	// WorkerAddress is the address of the worker on this host, empty if it is not known.
	WorkerAddress string
	// WorkerLease is the duration of the worker's lease from a confirmed ping.
	WorkerLease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
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
	// started is when this process was started, and startedMonotonic the same on the clock that
	// stands still with the host, as calls to the worker do.
	started, startedMonotonic time.Duration
	// replacedAt is when this process last took another incarnation of the worker in, zero for
	// never.
	replacedAt atomic.Int64

	// holder, state and clock are immutable snapshots that are replaced as a unit.
	// A call to the worker uses one snapshot of its state and one of the holder's term, so
	// that what is addressed to one incarnation never carries the fence of the next.
	holder atomic.Pointer[gate.Holder]
	state  atomic.Pointer[gate.Worker]
	clock  atomic.Pointer[workerClock]
	seeds  atomic.Pointer[[]string]
	// holderLink is the link to the holder, nil while the holder is unknown.
	holderLink atomic.Pointer[entryLink]
	// deadline is the latest end of a lease that was requested, on the worker's
	// clock.
	deadline atomic.Int64
	// leaseCalls holds the calls without an answer that extend the lease, and lastLeaseCall the
	// number of the last one.
	leaseCalls    atomic.Pointer[gate.LeaseCalls]
	lastLeaseCall atomic.Uint64
	// needsLease reports that the worker's last listing has something that a lease is needed for.
	needsLease atomic.Bool
	// extendedFor is the sending time of the ping for which the worker last answered a listing
	// that extends its lease.
	extendedFor atomic.Int64
	// acknowledged is the last end of a run that the holder has acknowledged as
	// stored.
	acknowledged atomic.Pointer[acknowledgement]
	// recorded is the incarnation that the holder has recorded, nil before the first.
	recorded atomic.Pointer[recordedIncarnation]
	// leaving is the worker's incarnation that has announced its shutdown, and
	// leftIncarnation the one that has shut down, nil for none.
	leaving, leftIncarnation atomic.Pointer[runs.Incarnation]
	// candidate is an incarnation that has sent a heartbeat and has not answered, nil for none.
	// It is asked again when the known one does not answer either.
	candidate atomic.Pointer[runs.Description]
	// refutation is the last one, nil before the first.
	refutation atomic.Pointer[refutation]
	// reached is the last incarnation that has answered, nil before the first.
	reached atomic.Pointer[reachedIncarnation]
	// refused limits the log lines about heartbeats of other workers, listingsRefused those
	// about listings that the worker refuses.
	refused, listingsRefused logging.RateLimit
	// leftOut limits the log lines about rows left out of listings.
	leftOut logging.RateLimit
	// unresponsive reports that the worker does not answer, or is not known yet.
	unresponsive unresponsiveFlag
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
	// holderLost wakes the search for entries once the link to the holder is lost.
	holderLost chan struct{}
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
		config:           config,
		metrics:          metrics,
		worker:           worker,
		findEntries:      find,
		log:              logger,
		started:          clock.Boottime(),
		startedMonotonic: clock.Monotonic(),
		orders:           mailbox.New[receivedOrder](),
		changed:          make(chan struct{}, 1),
		holderLost:       make(chan struct{}, 1),
	}
	a.SetSeeds(config.Seeds)
	a.holder.Store(&gate.Holder{})
	a.state.Store(&gate.Worker{})
	a.clock.Store(&workerClock{})
	a.acknowledged.Store(&acknowledgement{})
	a.leaseCalls.Store(&gate.LeaseCalls{})
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

// updateState replaces the state of the worker by what change makes of it.
func (a *Agent) updateState(change func(gate.Worker) gate.Worker) {
	for {
		state := a.state.Load()
		if next := change(*state); next == *state || a.state.CompareAndSwap(state, &next) {
			return
		}
	}
}

func (a *Agent) wakeLister() { signal(a.changed) }

// signal wakes the goroutine that waits for the signal, or its next wait.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait waits until a signal is given, the timeout passes or ctx ends.
func wait(ctx context.Context, signalled <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-signalled:
	case <-timer.C:
	case <-ctx.Done():
	}
}
