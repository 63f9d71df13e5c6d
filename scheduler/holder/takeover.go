package holder

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

const (
	// followTimeout is how long a request for changes waits. The age of the
	// last answer shows whether the table service is reachable.
	followTimeout = time.Second
	// takeoverTimeout bounds one attempt to take over. Another attempt would have
	// to read the same rows.
	takeoverTimeout = 15 * time.Second
	// firstWriteTimeout bounds the first attempt to write the holder row. A transaction
	// takes 8 ms.
	firstWriteTimeout = 500 * time.Millisecond
	// maxEpoch bounds the epoch of a holder row, so that the run numbers of its epoch
	// and its fences don't overflow.
	maxEpoch = 1 << 20
)

// considerTakeover starts a takeover if one is due.
func (l *loop) considerTakeover() {
	n := l.node
	if n.takingOver.Load() || n.resigned.Load() || n.queues.Load().Version == 0 {
		return
	}
	o := n.observe()
	reason, takeOver := o.shouldTakeOver()
	if !takeOver {
		l.candidacy.reset()
		return
	}
	epoch := n.holderState.Load().Row.Epoch
	delay := candidateDelay(n.config.Capacity, o.sidecars, n.config.Host, epoch)
	if wait := l.candidacy.wait(o.now, delay, epoch); wait > 0 {
		l.wake = o.now + wait
		return
	}
	l.candidacy.reset()
	n.takingOver.Store(true)
	n.log.Info().Str("reason", reason).Int("sidecars", o.sidecars).Int("hearing", o.reachingHolder).
		Dur("silent", o.now-max(o.lastPong, o.rowSince)).Msg("taking over")
	holderState := *n.holderState.Load()
	ctx, cancel := context.WithTimeout(l.ctx, takeoverTimeout)
	l.endTakeover = cancel
	go func() {
		defer cancel()
		state, err := n.takeOver(ctx, holderState, reason)
		n.events.Push(func(l *loop) { l.finishTakeover(state, err) })
	}()
}

func (n *Node) observe() observation {
	o := observation{
		now:           clock.Boottime(),
		storeAnswered: time.Duration(n.storeAnswered.Load()),
		storeFailed:   time.Duration(n.storeFailed.Load()),
		holderRefuses: n.holderRefuses.Load(),
	}
	s := n.holderState.Load()
	if s != nil {
		o.rowKnown = true
		o.vacant = s.Row.Epoch == 0
		o.rowSince = s.Since
		o.silenceTimeout = s.silenceTimeout(o.now)
	}
	// The link to an earlier holder goes on for a moment after the row has changed.
	if toHolder := n.linkToHolder.Load(); toHolder != nil && s != nil && toHolder.holder == s.Row.Incarnation {
		toHolder.observe(&o)
	}
	n.sidecars.Range(func(_, value any) bool {
		o.sidecars++
		if value.(*peer).reachesHolder(o.now, o.silenceTimeout) {
			o.reachingHolder++
		}
		return true
	})
	return o
}

// takeoverState is the state that a new holder starts from.
type takeoverState struct {
	holderState  HolderState
	requestedAt  time.Duration
	jobs         []table.VersionedRow
	progress     []table.VersionedRow
	workers      []table.VersionedRow
	interference []table.VersionedRow
	authority    []table.VersionedRow
	// storeClock is the table service's clock when the authority was read.
	storeClock storeInstant
	// from is the version to follow the jobs table from, and progressVersion the newest version
	// in the service when the progress was read.
	from, progressVersion table.Version
	// refusedBy is the holder row of another process, which refused the takeover. Its version
	// is zero if there is none.
	refusedBy table.VersionedRow
}

// takeOver writes this process into the holder row and reads the shard.
func (n *Node) takeOver(ctx context.Context, old HolderState, reason string) (*takeoverState, error) {
	epoch, err := n.lastEpoch(ctx, old)
	if err != nil {
		return &takeoverState{}, err
	}
	t := &takeoverState{requestedAt: clock.Boottime()}
	row := wire.HolderRow{
		Epoch: epoch + 1, Host: n.config.Host,
		Incarnation: uint64(n.config.Incarnation), Address: n.config.Address,
		Successions: old.nextSuccessions(t.requestedAt, reason),
	}
	current, err := n.writeHolderRow(ctx, old.Version, mustEncode(&row))
	if err != nil {
		t.refusedBy = current
		return t, err
	}
	t.holderState = HolderState{Row: row, Version: current.Version, Since: clock.Boottime(), Leading: true}
	return t, n.readShard(ctx, t)
}

// writeHolderRow replaces a version of the holder row and returns the new row, or the row of
// another process with errSuperseded. The first attempt may be sent on a connection that has
// gone silent, or wait for one, so it has little time. A second one finds out whether it was
// carried out.
func (n *Node) writeHolderRow(ctx context.Context, old table.Version, value []byte) (table.VersionedRow, error) {
	txn := table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: n.holderRow(), Version: old}},
		Writes:     []table.RowWrite{{RowID: n.holderRow(), Value: value}, {RowID: n.epochRow(), Value: value}},
	}
	first, cancel := context.WithTimeout(ctx, firstWriteTimeout)
	defer cancel()
	outcome, err := n.rows.Transact(first, txn)
	if err != nil && (errors.Is(err, table.ErrUnsettled) || first.Err() != nil) {
		outcome, err = n.rows.Transact(ctx, txn)
	}
	if err != nil {
		return table.VersionedRow{}, errors.Wrap(err, "write holder row")
	}
	if outcome.Applied {
		return table.VersionedRow{RowID: n.holderRow(), Value: value, Version: outcome.Version}, nil
	}
	for _, row := range outcome.Current {
		if row.RowID != n.holderRow() {
			continue
		}
		if bytes.Equal(row.Value, value) {
			return row, nil
		}
		return row, errSuperseded
	}
	return table.VersionedRow{}, errSuperseded
}

// lastEpoch returns the epoch of the last holder. If the holder row is unreadable, it
// takes the epoch from the row that is written together with it.
func (n *Node) lastEpoch(ctx context.Context, old HolderState) (uint64, error) {
	if !old.Unreadable {
		return old.Row.Epoch, nil
	}
	row, found, err := n.rows.Get(ctx, n.epochRow())
	if err != nil {
		return 0, errors.Wrap(err, "read the epoch row")
	}
	if last, err := decodeHolder(row); found && err == nil {
		return max(last.Epoch, old.Row.Epoch), nil
	}
	return old.Row.Epoch, nil
}

func (n *Node) readShard(ctx context.Context, t *takeoverState) error {
	group, ctx := errgroup.WithContext(ctx)
	read := func(name string, rows *[]table.VersionedRow, from *table.Version) {
		group.Go(func() error {
			scan, err := table.ScanAll(ctx, n.rows, name, n.config.Shard)
			*rows, *from = scan.Rows, scan.Version
			return errors.Wrap(err, name)
		})
	}
	var ignored [2]table.Version
	read(TableJobs, &t.jobs, &t.from)
	read(TableProgress, &t.progress, &t.progressVersion)
	read(TableWorkers, &t.workers, &ignored[0])
	read(TableInterference, &t.interference, &ignored[1])
	group.Go(func() error {
		requested := clock.Boottime()
		scan, err := n.rows.Scan(ctx, TableAuthority, n.config.Shard, holderKey)
		t.authority = scan.Rows
		t.storeClock = storeInstant{at: scan.Transfer.ServiceTime, requested: requested, received: clock.Boottime()}
		return errors.Wrap(err, TableAuthority)
	})
	if err := group.Wait(); err != nil {
		return err
	}
	t.jobs = rowsUpTo(t.jobs, t.from)
	return nil
}

// superseded reports whether a later holder appeared while the shard was read.
func (t *takeoverState) superseded() bool {
	for _, row := range t.jobs {
		if row.Key == epochKey && row.Version > t.holderState.Version {
			return true
		}
	}
	return false
}

// finishTakeover starts scheduling after a successful takeover.
func (l *loop) finishTakeover(t *takeoverState, err error) {
	n := l.node
	defer n.takingOver.Store(false) // after Leading, as another process takes over if both are false
	if err != nil {
		n.log.Warn().Err(err).Msg("takeover failed")
		if t.refusedBy.Version > 0 {
			l.applyHolderRow(t.refusedBy) // the feed may be silent
		}
		return
	}
	if n.resigned.Load() {
		return
	}
	if s := n.holderState.Load(); s != nil && s.Version > t.holderState.Version {
		n.log.Warn().Str("holder", s.Row.Host).Msg("takeover superseded by another process")
		return
	}
	if t.superseded() {
		n.log.Warn().Msg("takeover superseded while the shard was read")
		return
	}
	l.recordPredecessor(&t.holderState)
	l.startCore(t)
	l.publish(l.core.TakeStateChanges())       // before Leading, as this node answers callers from then on
	n.decidedAt.Store(int64(clock.Boottime())) // the state that was read may have taken long
	n.holderState.Store(&t.holderState)
	n.metrics.Takeovers.Inc(1)
	n.logTakenOver(t)
	n.notifySidecars()
}

func (n *Node) logTakenOver(t *takeoverState) {
	n.log.Info().Uint64("epoch", t.holderState.Row.Epoch).Int("jobs", len(t.jobs)).Int("workers", len(t.workers)).
		Uint64("progress_version", uint64(t.progressVersion)).Msg("shard taken over")
}

// startCore creates the core from the state that was read.
func (l *loop) startCore(t *takeoverState) {
	n := l.node
	l.term, l.endTerm = context.WithCancel(l.ctx)
	l.holdConfirmed = max(l.holdConfirmed, t.requestedAt)
	n.recordHoldRead(t.requestedAt)
	l.batchInFlight = false
	l.startAuthority(t)
	l.storeClock = t.storeClock
	l.pending = make(map[carobkeel.JobID]carobkeel.QueueName)
	n.states.Clear()
	n.waiting.Store(&map[carobkeel.QueueName]int{})
	config := dispatch.Config{
		Epoch:          carobkeel.Epoch(t.holderState.Row.Epoch),
		WorkerLease:    n.config.WorkerLease,
		MaxLease:       n.config.MaxLease,
		InheritedLease: l.predecessors.remainingLease(clock.Boottime(), n.config.WorkerLease),
		Policy:         n.config.Policy,
	}
	records := n.decodeWorkers(t.workers)
	n.logInherited(config, records)
	l.core = dispatch.New(config, l.now(), records)
	l.jobRows = make(map[carobkeel.JobID]table.Version)
	l.markRows = make(map[carobkeel.JobID]table.Version)
	l.workerRows = make(map[string]table.Version)
	for _, row := range t.workers {
		l.workerRows[row.Key] = row.Version
	}
	l.core.SetQueues(n.queues.Load())
	l.restoreInterference(t.interference)
	slices.SortFunc(t.jobs, func(a, b table.VersionedRow) int { return cmp.Compare(a.Version, b.Version) })
	l.addJobs(t.jobs, t.holderState.Version)
	l.restoreProgress(t.progress)
	l.applyCancellations(t.jobs) // a job that had already ended keeps its final state
	n.sidecars.Range(func(host, value any) bool {
		p := value.(*peer)
		l.core.HostLinked(host.(string), p.coreLink())
		l.core.HostPinged(host.(string), p.pinged.Load())
		return true
	})
	go l.followJobs(l.term, t.from, t.holderState.Version)
}

// logInherited logs how long the leases count that earlier holders have let be extended, and what
// their records say of workers.
func (n *Node) logInherited(config dispatch.Config, records []dispatch.WorkerRecord) {
	ended, late := 0, 0
	for _, r := range records {
		if r.Ended {
			ended++
		}
		if r.LateLease {
			late++
		}
	}
	n.log.Info().Uint64("epoch", uint64(config.Epoch)).Int64("ms", config.InheritedLease.Milliseconds()).
		Int("workers", len(records)).Int("ended", ended).Int("late_leases", late).Msg("inherited leases counted")
}

// entrySeen records that a process runs on an entry's host and follows the holder
// of an epoch.
func (l *loop) entrySeen(host string, incarnation, epoch uint64) {
	now := clock.Boottime()
	if l.predecessors.observe(host, incarnation, epoch, now) && l.core != nil {
		l.core.LimitInheritedLease(l.predecessors.remainingLease(now, l.node.config.WorkerLease))
	}
}
