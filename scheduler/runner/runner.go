// Package runner implements the scheduling loop of an entry process. The loop
// tries to acquire the lease of a shard. While it holds the lease it places the
// shard's jobs and sends commands to the shard's workers.
package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/objectstore"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/worker"
)

// Member is a worker of the shard.
type Member struct {
	ID       worker.ID
	Location carobkeel.Location
}

// Workers gives access to the workers of a shard.
type Workers interface {
	// Members lists the workers, including unreachable ones.
	Members() []Member
	// Exchange sends commands to a worker and returns its report. If it returns
	// an error, the worker may have executed the commands.
	Exchange(ctx context.Context, id worker.ID, commands []scheduler.Command) (scheduler.Report, error)
}

// Config configures a Runner.
type Config struct {
	Shard  scheduler.ShardID
	Self   scheduler.HolderID
	Timing scheduler.Timing
	Table  table.Table
	// Objects stores the checkpoints. It is nil if tasks write none.
	Objects objectstore.Store
	Workers Workers
	// Now is the process's monotonic clock, WallClock the time of day.
	Now       func() scheduler.Instant
	WallClock func() time.Time
	// Seed determines the workers at which the search for a placement begins.
	Seed uint64
	// RoundInterval is the interval between rounds. The placements of one round share
	// transactions, so it is also the longest time that a placement waits to be
	// batched.
	RoundInterval time.Duration
	// HeartbeatInterval is the longest time between two exchanges with a worker.
	HeartbeatInterval time.Duration
	// MaxBatchRows bounds the rows of one transaction.
	MaxBatchRows int
	// MaxPlacements bounds the placements of one round.
	MaxPlacements int
	Metrics       *Metrics
	Log           *log.Logger
}

// Defaults of Config.
const (
	DefaultRoundInterval     = 200 * time.Millisecond
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultMaxBatchRows      = 256
	DefaultMaxPlacements     = 256
)

// Status is a snapshot of the state of a Runner. It is immutable.
type Status struct {
	Held       bool
	Epoch      carobkeel.Epoch
	Holder     scheduler.HolderID
	Unfinished int
	Waiting    int
	Fleet      *worker.Fleet
	// At is when the snapshot was taken, zero while the shard is not held.
	At scheduler.Instant
}

// Runner schedules one shard while it holds the shard's lease, and tries to
// acquire the lease otherwise. RunRound, Run and Release must be called from one
// goroutine. Status, Evict and Throttle are safe for concurrent use.
type Runner struct {
	config Config
	store  *store.Store
	lease  *scheduler.Lease
	status atomic.Pointer[Status]

	// taskRequests queues requests of other goroutines for the next round.
	taskRequests chan taskRequest

	// leaseReadAt is when the lease was last read. A holder does not read it.
	leaseReadAt scheduler.Instant
	leaseRead   bool
	// leaseTxn is the transaction of leaseWrite until its result is known, else
	// nil.
	leaseTxn   *table.Transaction
	leaseWrite scheduler.LeaseWrite
	releasing  bool

	// The following fields are valid while the shard is held.
	shard         *scheduler.Shard
	registry      *worker.Registry
	batch         scheduler.Batch
	batchTxn      *table.Transaction
	lazyWrittenAt scheduler.Instant
	// consumedInbox holds the keys of the inbox rows processed in this epoch.
	consumedInbox map[string]struct{}
	exchanged     map[worker.ID]scheduler.Instant
	rounds        uint64
	// fleetChanged reports that workers were added or changed since the last
	// round.
	fleetChanged bool
}

// New returns a Runner that does not hold its shard yet.
func New(config Config) *Runner {
	r := &Runner{
		config:       config,
		store:        store.New(config.Table, config.Shard),
		lease:        scheduler.NewLease(config.Self, config.Timing),
		taskRequests: make(chan taskRequest, maxTaskRequests),
	}
	r.publish()
	return r
}

// Status returns the status after the last round.
func (r *Runner) Status() *Status { return r.status.Load() }

// Run executes a round per Config.RoundInterval until the context ends, and then
// releases the lease.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.config.RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.Release(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			r.RunRound(ctx)
		}
	}
}

// RunRound executes one round.
func (r *Runner) RunRound(ctx context.Context) {
	r.rounds++
	r.stepLease(ctx)
	if r.shard == nil && r.lease.IsHeld() {
		r.takeOver(ctx)
	}
	if r.shard != nil && r.batchTxn != nil {
		r.writeBatch(ctx)
	}
	if r.shard != nil {
		r.readInbox(ctx)
		r.exchangeAll(ctx)
		r.shard.Tick(r.config.Now())
		r.handleTaskRequests()
		r.syncFleet()
		r.place(ctx)
		r.writeBatch(ctx)
	}
	if r.shard != nil && r.shard.IsSuperseded() {
		r.stepDown("a worker has seen a later epoch")
	}
	r.publish()
}

// Release steps down and releases the lease, so that another scheduler need not
// wait until the lease expires. It does nothing while the result of a lease write
// is unknown.
func (r *Runner) Release(ctx context.Context) {
	if !r.lease.IsHeld() || r.leaseTxn != nil {
		return
	}
	r.releasing = true
	r.propose(r.lease.Release(r.config.Now()))
	r.stepDown("released")
	r.settleLease(ctx)
	r.publish()
}

func (r *Runner) stepLease(ctx context.Context) {
	if r.leaseTxn == nil && !r.lease.IsHeld() && !r.releasing && r.isReadDue() {
		rows, err := r.store.Lease(ctx)
		if err != nil {
			r.config.Metrics.storeErrors.Inc(1)
			return
		}
		r.leaseReadAt, r.leaseRead = r.config.Now(), true
		r.lease.Observe(r.leaseReadAt, rows)
	}
	if r.leaseTxn == nil && !r.releasing {
		r.propose(r.lease.Next(r.config.Now()))
	}
	r.settleLease(ctx)
}

// leaseReadInterval is the interval between reads of a lease that another
// scheduler holds. Every entry reads the lease of every shard at this rate.
const leaseReadInterval = 2 * time.Second

func (r *Runner) isReadDue() bool {
	return !r.leaseRead || r.config.Now().Sub(r.leaseReadAt) >= leaseReadInterval
}

func (r *Runner) propose(write scheduler.LeaseWrite) {
	if write.Kind == scheduler.LeaseNone {
		return
	}
	txn, err := r.store.LeaseTransaction(write)
	if err != nil {
		r.config.Log.Error().Err(err).Msg("cannot encode the lease")
		return
	}
	r.leaseWrite, r.leaseTxn = write, &txn
}

// settleLease commits the pending lease write. If its result remains unknown, it
// is committed again in the next round with the same transaction id.
func (r *Runner) settleLease(ctx context.Context) {
	if r.leaseTxn == nil {
		return
	}
	outcome, err := r.store.Commit(ctx, *r.leaseTxn)
	switch {
	case err == nil:
		r.leaseTxn = nil
		r.lease.Applied(r.config.Now(), store.Versions(r.leaseWrite, outcome))
	case errors.Is(err, store.ErrFenced):
		r.leaseTxn = nil
		r.lease.Refused()
		r.stepDown("the lease was taken over")
	default:
		r.config.Metrics.storeErrors.Inc(1)
	}
}

func (r *Runner) takeOver(ctx context.Context) {
	jobs, err := r.store.Jobs(ctx, "")
	if err != nil {
		r.config.Metrics.storeErrors.Inc(1)
		return
	}
	r.shard = scheduler.NewShard(r.config.Shard, r.lease.Epoch(), r.lease.InheritedGrantsEnd(), r.config.Timing, jobs)
	r.registry = worker.NewRegistry(nil)
	r.batch, r.batchTxn = scheduler.Batch{}, nil
	r.consumedInbox = make(map[string]struct{})
	r.exchanged = make(map[worker.ID]scheduler.Instant)
	r.config.Metrics.takeovers.Inc(1)
	r.config.Log.Info().Str("shard", string(r.config.Shard)).Uint64("epoch", uint64(r.lease.Epoch())).
		Int("jobs", len(jobs)).Msg("Shard taken over")
}

func (r *Runner) stepDown(reason string) {
	if r.shard == nil {
		return
	}
	r.shard, r.registry, r.batchTxn = nil, nil, nil
	r.config.Metrics.stepDowns.Inc(1)
	r.config.Log.Info().Str("reason", reason).Str("shard", string(r.config.Shard)).Msg("Stepped down as holder of the shard")
}

// lazyInterval is the longest time for which changes that workers report
// repeatedly remain unwritten.
const lazyInterval = time.Second

// writeBatch commits the pending changes. If the result of the commit is unknown,
// the same transaction is committed again in the next round, and no other batch
// is written before its result is known.
func (r *Runner) writeBatch(ctx context.Context) {
	now := r.config.Now()
	if r.batchTxn == nil {
		r.batch = r.shard.NextBatch(r.config.MaxBatchRows, now.Sub(r.lazyWrittenAt) >= lazyInterval)
		if r.batch.IsEmpty() {
			return
		}
		r.lazyWrittenAt = now
		txn, err := r.store.BatchTransaction(r.batch, r.lease.EpochVersion())
		if err != nil {
			r.config.Log.Error().Err(err).Msg("cannot encode a batch")
			r.stepDown("a batch can't be encoded")
			return
		}
		r.batchTxn = &txn
	}
	_, err := r.store.Commit(ctx, *r.batchTxn)
	switch {
	case err == nil:
		r.batchTxn = nil
		r.shard.Committed(r.batch)
		r.config.Metrics.transactions.Inc(1)
		r.config.Metrics.rowsWritten.Inc(int64(len(r.batch.Jobs) + len(r.batch.Consumed)))
	case errors.Is(err, store.ErrFenced):
		r.lease.Refused()
		r.stepDown("a write was fenced")
	default:
		r.config.Metrics.storeErrors.Inc(1)
	}
}

// readInbox processes new inbox rows: all submissions first, then all
// cancellations, so that a job is known before it is cancelled.
func (r *Runner) readInbox(ctx context.Context) {
	messages, err := r.store.Inbox(ctx)
	if err != nil {
		r.config.Metrics.storeErrors.Inc(1)
		return
	}
	var fresh []scheduler.InboxMessage
	for _, message := range messages {
		if _, ok := r.consumedInbox[message.Key]; ok {
			continue
		}
		if !r.submit(ctx, message) {
			return
		}
		fresh = append(fresh, message)
	}
	for _, message := range fresh {
		for _, id := range message.Cancelled {
			// Cancel fails only for a job that has already ended.
			_ = r.shard.Cancel(id)
		}
		r.consumedInbox[message.Key] = struct{}{}
		r.shard.Consume(message.Key)
	}
}

func (r *Runner) submit(ctx context.Context, message scheduler.InboxMessage) bool {
	if message.SubmittedPrefix == "" {
		return true
	}
	jobs, err := r.store.Jobs(ctx, message.SubmittedPrefix)
	if err != nil {
		r.config.Metrics.storeErrors.Inc(1)
		return false
	}
	for _, job := range jobs {
		r.shard.Submit(job)
	}
	return true
}

func (r *Runner) publish() {
	status := &Status{Held: r.shard != nil, Epoch: r.lease.Epoch(), Holder: r.lease.Holder()}
	if r.shard != nil {
		status.Unfinished, status.Waiting = r.shard.Counts()
		status.Fleet = r.registry.Fleet()
		status.At = r.config.Now()
		r.config.Metrics.unfinished.Update(float64(status.Unfinished))
		r.config.Metrics.waiting.Update(float64(status.Waiting))
	}
	r.status.Store(status)
}
