package holder

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
	"golang.org/x/sync/errgroup"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/follow"
	"github.com/carobkeel/carobkeel/worker/runs"
)

const (
	// followTimeout is how long a request for changes waits. The age of the
	// last answer shows whether the table service is reachable.
	followTimeout = time.Second
	// takeoverTimeout bounds one attempt to take over. Another attempt would have
	// to read the same rows.
	takeoverTimeout = 15 * time.Second
	// maxEpoch bounds the epoch of a holder row, so that the run numbers of its epoch
	// don't overflow.
	maxEpoch = 1 << 40
)

// mustEncode encodes a row. The types of rows can't fail to encode.
func mustEncode(row msgp.Marshaler) []byte {
	data, err := row.MarshalMsg(nil)
	if err != nil {
		panic("holder: row not encoded: " + err.Error())
	}
	return data
}

func workerKey(incarnation runs.Incarnation) string {
	return incarnation.ID + "." + strconv.FormatInt(incarnation.StartedAtMs, 10)
}

// followHolder keeps the node's knowledge of the holder up to date.
func (n *Node) followHolder(ctx context.Context) {
	follower := follow.Follower{
		Rows: n.rows, Table: TableHolders, Part: n.config.Shard, Wait: followTimeout, Log: n.log,
		OnUpdate: func(changes follow.Update) {
			n.events.Push(func(l *loop) { l.applyHolderChanges(changes) })
		},
	}
	follower.Run(ctx, 0)
}

func (l *loop) applyHolderChanges(changes follow.Update) {
	holderState := l.node.holderState.Load()
	if changes.Full && len(changes.Rows) == 0 && holderState == nil {
		l.node.holderState.Store(&HolderState{Since: clock.Boottime()})
	}
	for _, row := range changes.Rows {
		if row.Key == holderKey {
			l.applyHolderRow(row)
		}
	}
	l.holdConfirmed = max(l.holdConfirmed, changes.RequestedAt)
}

func (l *loop) applyHolderRow(row table.VersionedRow) {
	old := l.node.holderState.Load()
	if old != nil && row.Version <= old.Version {
		return
	}
	if row.Deleted {
		l.node.log.Error().Msg("holder row removed by another writer")
		l.replaceHolderRow(old, 0)
		return
	}
	holder, err := decodeHolder(row)
	if err != nil {
		l.node.log.Error().Err(err).Msg("holder row left out")
		l.replaceHolderRow(old, row.Version)
		return
	}
	if l.core != nil {
		l.stepDown("the table service names " + holder.Host)
	}
	if l.node.takingOver.Load() && holder.Incarnation != uint64(l.node.config.Incarnation) {
		l.endTakeover()
	}
	l.node.log.Info().Str("holder", holder.Host).Uint64("epoch", holder.Epoch).Msg("holder changed")
	l.node.holderRefuses.Store(false)
	next := &HolderState{Row: holder, Version: row.Version, Since: clock.Boottime()}
	l.recordPredecessor(next)
	l.node.holderState.Store(next)
}

// recordPredecessor records that a newer holder row replaces the current one.
func (l *loop) recordPredecessor(next *HolderState) {
	l.predecessors.prune(next.Since, l.node.config.WorkerLease)
	if old := l.node.holderState.Load(); old != nil && old.Row.Epoch > 0 && !old.Unreadable && old.Version < next.Version {
		l.predecessors.add(old.Row, next.Since)
		// This process doesn't extend leases under the earlier row any more.
		l.predecessors.observe(l.node.config.Host, uint64(l.node.config.Incarnation), next.Row.Epoch, next.Since)
	}
}

// decodeHolder decodes the holder row.
func decodeHolder(row table.VersionedRow) (wire.HolderRow, error) {
	var holder wire.HolderRow
	if _, err := holder.UnmarshalMsg(row.Value); err != nil {
		return holder, errors.Wrap(err, "decode")
	}
	if holder.Epoch > maxEpoch {
		return holder, errors.Errorf("epoch %d is out of range", holder.Epoch)
	}
	return holder, nil
}

// replaceHolderRow makes this process take part in replacing a holder row that names
// no holder. The version is zero for a row that was removed.
func (l *loop) replaceHolderRow(old *HolderState, version table.Version) {
	if l.core != nil {
		l.stepDown("the holder row names no holder")
	}
	next := &HolderState{Version: version, Since: clock.Boottime(), Unreadable: true}
	if old != nil {
		next.Row.Epoch = old.Row.Epoch
	}
	l.recordPredecessor(next)
	l.predecessors.add(next.Row, next.Since) // the row may have hidden one that this process has not seen
	l.node.holderState.Store(next)
}

// considerTakeover starts a takeover if one is due.
func (l *loop) considerTakeover() {
	n := l.node
	if n.takingOver.Load() || n.resigned.Load() || n.queues.Load().Version == 0 {
		return
	}
	o := n.observe()
	reason, takeOver := o.shouldTakeOver()
	if !takeOver {
		return
	}
	n.takingOver.Store(true)
	n.log.Info().Str("reason", reason).Int("sidecars", o.sidecars).Int("hearing", o.reachingHolder).
		Dur("silent", o.now-max(o.lastPong, o.rowSince)).Msg("taking over")
	holderState := *n.holderState.Load()
	ctx, cancel := context.WithTimeout(l.ctx, takeoverTimeout)
	l.endTakeover = cancel
	go func() {
		defer cancel()
		state, err := n.takeOver(ctx, holderState)
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
	if s := n.holderState.Load(); s != nil {
		o.rowKnown = true
		o.vacant = s.Row.Epoch == 0
		o.rowSince = s.Since
	}
	if toHolder := n.linkToHolder.Load(); toHolder != nil {
		toHolder.observe(&o)
	}
	n.sidecars.Range(func(_, value any) bool {
		o.sidecars++
		if value.(*peer).reachesHolder(o.now) {
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
	// from is the version to follow the jobs table from.
	from table.Version
}

// takeOver writes this process into the holder row and reads the shard.
func (n *Node) takeOver(ctx context.Context, old HolderState) (*takeoverState, error) {
	epoch, err := n.lastEpoch(ctx, old)
	if err != nil {
		return nil, err
	}
	row := wire.HolderRow{
		Epoch: epoch + 1, Host: n.config.Host,
		Incarnation: uint64(n.config.Incarnation), Address: n.config.Address,
	}
	t := &takeoverState{requestedAt: clock.Boottime()}
	outcome, err := n.rows.Transact(ctx, table.RowTransaction{
		Conditions: []table.RowCondition{{RowID: n.holderRow(), Version: old.Version}},
		Writes: []table.RowWrite{
			{RowID: n.holderRow(), Value: mustEncode(&row)},
			{RowID: n.epochRow(), Value: mustEncode(&row)},
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "write holder row")
	}
	if !outcome.Applied {
		return nil, errSuperseded
	}
	t.holderState = HolderState{Row: row, Version: outcome.Version, Since: clock.Boottime(), Leading: true}
	return t, n.readShard(ctx, t)
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
			found, version, err := table.ScanAll(ctx, n.rows, name, n.config.Shard)
			*rows, *from = found, version
			return errors.Wrap(err, name)
		})
	}
	var ignored [3]table.Version
	read(TableJobs, &t.jobs, &t.from)
	read(TableProgress, &t.progress, &ignored[0])
	read(TableWorkers, &t.workers, &ignored[1])
	read(TableInterference, &t.interference, &ignored[2])
	return group.Wait()
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
	n.holderState.Store(&t.holderState)
	n.metrics.Takeovers.Inc(1)
	n.log.Info().Uint64("epoch", t.holderState.Row.Epoch).Int("jobs", len(t.jobs)).Int("workers", len(t.workers)).
		Msg("shard taken over")
	n.notifySidecars()
}

// startCore creates the core from the state that was read.
func (l *loop) startCore(t *takeoverState) {
	n := l.node
	l.term, l.endTerm = context.WithCancel(l.ctx)
	l.holdConfirmed = max(l.holdConfirmed, t.requestedAt)
	l.batchInFlight = false
	l.versions = make(map[carobkeel.JobID]table.Version)
	l.pending = make(map[carobkeel.JobID]carobkeel.QueueName)
	n.states.Clear()
	l.core = dispatch.New(dispatch.Config{
		Epoch:          carobkeel.Epoch(t.holderState.Row.Epoch),
		WorkerLease:    n.config.WorkerLease,
		InheritedLease: l.predecessors.remainingLease(clock.Boottime(), n.config.WorkerLease),
	}, l.now(), n.decodeWorkers(t.workers))
	l.core.SetQueues(n.queues.Load())
	l.restoreInterference(t.interference)
	slices.SortFunc(t.jobs, func(a, b table.VersionedRow) int { return cmp.Compare(a.Version, b.Version) })
	l.addJobs(t.jobs, t.holderState.Version)
	for _, row := range t.progress {
		l.restore(row)
	}
	l.applyCancellations(t.jobs) // a job that had already ended keeps its final state
	n.sidecars.Range(func(host, value any) bool {
		l.core.HostLinked(host.(string))
		l.core.HostPinged(host.(string))
		return true
	})
	go l.followJobs(l.term, t.from, t.holderState.Version)
}

// entrySeen records that a process runs on an entry's host and follows the holder
// of an epoch.
func (l *loop) entrySeen(host string, incarnation, epoch uint64) {
	now := clock.Boottime()
	if l.predecessors.observe(host, incarnation, epoch, now) && l.core != nil {
		l.core.LimitInheritedLease(l.predecessors.remainingLease(now, l.node.config.WorkerLease))
	}
}

func (l *loop) restore(row table.VersionedRow) {
	job := carobkeel.JobID(row.Key)
	l.versions[job] = row.Version
	progress, err := wire.DecodeProgress(row.Value, job)
	if err != nil {
		l.node.log.Error().Err(err).Str("job", row.Key).Msg("progress row left out")
		return
	}
	l.core.Restore(progress)
}

func (l *loop) restoreInterference(rows []table.VersionedRow) {
	for _, row := range rows {
		var learned wire.InterferenceRow
		if _, err := learned.UnmarshalMsg(row.Value); err != nil {
			l.node.log.Error().Err(err).Msg("learned interference model could not be decoded")
			continue
		}
		l.core.RestoreInterference(learned.Decoded())
	}
}

func (n *Node) decodeWorkers(rows []table.VersionedRow) []dispatch.WorkerRecord {
	var records []dispatch.WorkerRecord
	for _, row := range rows {
		record, err := decodeWorker(row)
		if err != nil {
			n.log.Error().Err(err).Str("worker", row.Key).Msg("worker record left out")
			continue
		}
		records = append(records, record)
	}
	return records
}

// decodeWorker decodes the record of a worker incarnation. A record under another key
// than its own could never be removed.
func decodeWorker(row table.VersionedRow) (dispatch.WorkerRecord, error) {
	var w wire.WorkerRow
	if _, err := w.UnmarshalMsg(row.Value); err != nil {
		return dispatch.WorkerRecord{}, errors.Wrap(err, "decode")
	}
	incarnation := runs.Incarnation{ID: w.ID, StartedAtMs: w.StartedAtMs}
	if row.Key != workerKey(incarnation) {
		return dispatch.WorkerRecord{}, errors.Errorf("record of worker %s.%d", w.ID, w.StartedAtMs)
	}
	return dispatch.WorkerRecord{Incarnation: incarnation, Host: w.Host}, nil
}

// followJobs passes accepted jobs and cancellations to the core.
func (l *loop) followJobs(term context.Context, from, epochVersion table.Version) {
	n := l.node
	follower := follow.Follower{
		Rows: n.rows, Table: TableJobs, Part: n.config.Shard, Wait: followTimeout, Log: n.log,
		OnUpdate: func(changes follow.Update) {
			if len(changes.Rows) == 0 {
				return
			}
			n.events.Push(func(l *loop) {
				if l.core != nil && l.term == term {
					l.applyJobRows(changes.Rows, epochVersion)
				}
			})
		},
	}
	follower.Run(term, from)
}

// applyJobRows applies rows of jobs and of cancellations. Jobs from before the
// epoch may have runs that an earlier holder started. Later jobs do not: the
// earlier holder sees the row of this epoch before them, in the same table.
func (l *loop) applyJobRows(rows []table.VersionedRow, epochVersion table.Version) {
	for _, row := range rows {
		if row.Key == epochKey && row.Version > epochVersion {
			l.stepDown("the jobs table names a later holder")
			return
		}
	}
	l.addJobs(rows, epochVersion)
	l.applyCancellations(rows)
}

func (l *loop) addJobs(rows []table.VersionedRow, epochVersion table.Version) {
	for _, row := range rows {
		if row.Deleted || row.Key == epochKey || strings.HasSuffix(row.Key, CancelSuffix) {
			continue
		}
		l.addJob(row, row.Version < epochVersion)
	}
}

func (l *loop) applyCancellations(rows []table.VersionedRow) {
	for _, row := range rows {
		if job, isCancel := strings.CutSuffix(row.Key, CancelSuffix); isCancel && !row.Deleted {
			l.core.Cancel(carobkeel.JobID(job))
		}
	}
}

func (l *loop) addJob(row table.VersionedRow, inherited bool) {
	job, err := decodeJob(row)
	if err != nil {
		l.node.log.Error().Err(err).Str("job", row.Key).Msg("job row left out")
		return
	}
	l.core.AddJob(job, inherited)
}

// decodeJob decodes a row of a job. It returns an error if the job can't be run.
func decodeJob(row table.VersionedRow) (*carobkeel.JobSpec, error) {
	id := carobkeel.JobID(row.Key)
	if !id.IsValid() {
		return nil, errors.New("key is not a job ID")
	}
	var encoded wire.JobRow
	if _, err := encoded.UnmarshalMsg(row.Value); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	job := encoded.Decoded(id)
	return job, job.Validate()
}
