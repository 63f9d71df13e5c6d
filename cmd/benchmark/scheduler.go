package main

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/runner"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/worker"
	"github.com/carobkeel/carobkeel/worker/standin"
)

const (
	// startRate is the peak of task starts a second.
	startRate = 2_200
	// tableWrites and tableReads are what the table service takes a second.
	tableWrites = 300
	tableReads  = 2_000
	// urgentStart is the longest time to the start of urgent work, in seconds.
	urgentStart = 2.9

	schedulerShards       = 20
	schedulerShardWorkers = 12_000 / schedulerShards
	schedulerMinute       = time.Minute
	// takeoverBacklog and takeoverRunning are the jobs of the largest shard.
	takeoverBacklog = 100_000
	takeoverRunning = 225_000 / schedulerShards
)

// schedulerSuite measures starts against a limited table service and the
// takeover of a shard. The clocks of the schedulers and workers are virtual and
// so are the delays; processor time is real.
func schedulerSuite() suite {
	return suite{name: "scheduler", run: func(ctx context.Context, o options) ([]figure, error) {
		figures, err := startFigures(ctx, o)
		if err != nil {
			return figures, err
		}
		takeover, err := takeoverFigures(ctx, o)
		return append(figures, takeover...), err
	}}
}

// limitedTable is a table service that refuses more than so many transactions
// and reads in a virtual second. It keeps the rows of each shard apart and the
// last range that it read in order, so that the stand-in's own work does not
// hide what is measured.
type limitedTable struct {
	fleet  *schedulerFleet
	shards map[string]*shardRows
	// second is the virtual second that the counts are for.
	second                  int64
	writes, reads           int
	committed, refused, got int
}

type shardRows struct {
	*memory.Table
	prefix string
	rows   []table.Row
}

func (l *limitedTable) rowsOf(key string) *shardRows {
	shard := strings.Split(key, "/")[1]
	if _, ok := l.shards[shard]; !ok {
		l.shards[shard] = &shardRows{Table: memory.New()}
	}
	return l.shards[shard]
}

func (l *limitedTable) count(counter *int, limit int) error {
	if second := int64(time.Duration(l.fleet.now) / time.Second); second != l.second {
		l.second, l.writes, l.reads = second, 0, 0
	}
	if *counter >= limit {
		l.refused++
		return table.ErrUnavailable
	}
	*counter++
	return nil
}

func (l *limitedTable) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	if err := l.count(&l.writes, tableWrites); err != nil {
		return table.Outcome{}, err
	}
	l.committed++
	shard := l.rowsOf(txn.Writes[0].Key)
	shard.prefix, shard.rows = "", nil
	return shard.Commit(ctx, txn)
}

func (l *limitedTable) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if err := l.count(&l.reads, tableReads); err != nil {
		return table.Row{}, false, err
	}
	return l.rowsOf(key).Get(ctx, key)
}

func (l *limitedTable) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := l.count(&l.reads, tableReads); err != nil {
		return nil, err
	}
	l.got++
	shard := l.rowsOf(prefix)
	if shard.prefix != prefix {
		rows, err := shard.Range(ctx, prefix, "", math.MaxInt)
		if err != nil {
			return nil, err
		}
		shard.prefix, shard.rows = prefix, rows
	}
	from := sort.Search(len(shard.rows), func(i int) bool { return shard.rows[i].Key > after })
	return shard.rows[from:min(len(shard.rows), from+limit)], nil
}

// schedulerFleet is a set of shards with their workers, in virtual time.
type schedulerFleet struct {
	now    scheduler.Instant
	table  *limitedTable
	shards []*schedulerShard

	// mu guards the fields below.
	mu sync.Mutex
	// started holds the virtual seconds from each submission to its start.
	started []float64
	due     map[carobkeel.TaskID]scheduler.Instant
}

type schedulerShard struct {
	*runner.Local
	fleet  *schedulerFleet
	id     scheduler.ShardID
	runner *runner.Runner
}

// Exchange notes when a task's first start reaches its worker.
func (s *schedulerShard) Exchange(ctx context.Context, id worker.ID, commands []scheduler.Command) (scheduler.Report, error) {
	report, err := s.Local.Exchange(ctx, id, commands)
	for i := range commands {
		if commands[i].Kind == scheduler.CommandStart {
			s.fleet.noteStart(commands[i].Ref.Task)
		}
	}
	return report, err
}

func (f *schedulerFleet) noteStart(task carobkeel.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if due, ok := f.due[task]; ok {
		delete(f.due, task)
		f.started = append(f.started, f.now.Sub(due).Seconds())
	}
}

func newSchedulerFleet(o options, shards, workers int, runTime time.Duration) *schedulerFleet {
	f := &schedulerFleet{due: make(map[carobkeel.TaskID]scheduler.Instant)}
	f.table = &limitedTable{fleet: f, shards: make(map[string]*shardRows)}
	clock := func() scheduler.Instant { return f.now }
	record := standin.NewRecord()
	for i := range shards {
		standins := make([]*standin.Worker, workers)
		for j := range standins {
			standins[j] = standin.New(standin.Config{
				ID:       worker.ID(fmt.Sprintf("worker-%d-%d", i, j)),
				Location: carobkeel.Location{DataCentre: "east", Rack: fmt.Sprint(j / rackWorkers)},
				Capacity: carobkeel.Resources{MilliCPU: 32_000, MemoryBytes: 125 * gibibyte},
				Timing:   scheduler.DefaultTiming(), Seed: o.seed + uint64(i*workers+j), RunTime: runTime,
				Now: clock, Record: record,
			})
		}
		s := &schedulerShard{Local: runner.NewLocal(standins...), fleet: f, id: scheduler.ShardID(fmt.Sprint("shard-", i))}
		s.runner = f.newRunner(o, s, "first")
		f.shards = append(f.shards, s)
	}
	return f
}

func (f *schedulerFleet) newRunner(o options, s *schedulerShard, self scheduler.HolderID) *runner.Runner {
	return runner.New(runner.Config{
		Shard: s.id, Self: self, Timing: scheduler.DefaultTiming(), Table: f.table, Workers: s,
		Now:       func() scheduler.Instant { return f.now },
		WallClock: func() time.Time { return time.Unix(0, 0).Add(time.Duration(f.now)) },
		Seed:      o.seed, RoundInterval: runner.DefaultRoundInterval, HeartbeatInterval: runner.DefaultHeartbeatInterval,
		MaxBatchRows: runner.DefaultMaxBatchRows, MaxPlacements: runner.DefaultMaxPlacements,
		Metrics: runner.NewMetrics(tally.NoopScope), Log: logging.Discard().For("scheduler"),
	})
}

// submit makes a number of jobs of a shard durable in one transaction.
func (f *schedulerFleet) submit(ctx context.Context, s *schedulerShard, key string, jobs []scheduler.Job) error {
	request := store.Request{Key: key, Submitted: string(scheduler.NewJobID(s.id, key+"-")), Jobs: jobs}
	txn, err := store.New(f.table, s.id).RequestTransaction(request)
	if err != nil {
		return err
	}
	_, err = f.table.Commit(ctx, txn)
	return errors.Wrap(err, "submit")
}

func sampleJobs(shard scheduler.ShardID, key string, n int) []scheduler.Job {
	jobs := make([]scheduler.Job, n)
	for i := range jobs {
		jobs[i] = scheduler.Job{
			ID: scheduler.NewJobID(shard, fmt.Sprintf("%s-%d", key, i)), Entry: "sample",
			Owner: carobkeel.Owner(fmt.Sprint("owner-", i%placementDataCentres)), Class: carobkeel.ClassBatch,
			Demand: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: gibibyte},
		}
	}
	return jobs
}

// startFigures keeps up the peak of starts for a virtual minute.
func startFigures(ctx context.Context, o options) ([]figure, error) {
	f := newSchedulerFleet(o, schedulerShards, schedulerShardWorkers, 5*time.Second)
	for range 20 {
		f.round(ctx)
	}
	committed, begun := f.table.committed, time.Now()
	perShard := startRate / schedulerShards
	rounds := int(schedulerMinute / runner.DefaultRoundInterval)
	perSecond := int(time.Second / runner.DefaultRoundInterval)
	for i := range rounds {
		for k, s := range f.shards {
			// Each shard gets a second's jobs at once, the shards in turn.
			if i%perSecond != k%perSecond {
				continue
			}
			key := fmt.Sprint("batch-", i)
			jobs := sampleJobs(s.id, key, perShard)
			if err := f.submit(ctx, s, key, jobs); err != nil {
				return nil, err
			}
			f.expect(jobs)
		}
		f.round(ctx)
	}
	spent := time.Since(begun)
	committed = f.table.committed - committed
	slices.Sort(f.started)
	if len(f.started) == 0 {
		return nil, errors.New("nothing started")
	}
	minute := schedulerMinute.Seconds()
	return []figure{
		targeted("starts-per-second", float64(len(f.started))/minute, "1/s", atLeast, startRate*0.95),
		targeted("table-transactions-per-second", float64(committed)/minute, "1/s", atMost, tableWrites),
		measured("starts-per-transaction", float64(len(f.started))/float64(committed), "starts"),
		measured("table-refusals", float64(f.table.refused), "calls"),
		targeted("start-delay-p99-virtual", f.started[len(f.started)*99/100], "s", atMost, urgentStart),
		measured("start-elapsed", float64(spent.Microseconds())/float64(len(f.started)), "us"),
	}, nil
}

// expect notes that jobs are durable now.
func (f *schedulerFleet) expect(jobs []scheduler.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range jobs {
		f.due[jobs[i].Ref().Task] = f.now
	}
}

// round lets the virtual time of a round pass.
func (f *schedulerFleet) round(ctx context.Context) {
	f.now = f.now.Add(runner.DefaultRoundInterval)
	for _, s := range f.shards {
		s.runner.RunRound(ctx)
	}
}

// takeoverFigures lets another scheduler take over the largest shard with a
// backlog after its holder is killed.
func takeoverFigures(ctx context.Context, o options) ([]figure, error) {
	f := newSchedulerFleet(o, 1, schedulerShardWorkers, 0)
	s := f.shards[0]
	for range 20 {
		f.round(ctx)
	}
	if err := f.submit(ctx, s, "running", sampleJobs(s.id, "running", takeoverRunning)); err != nil {
		return nil, err
	}
	for s.runner.Status().Waiting > 0 {
		f.round(ctx)
	}
	if err := f.submit(ctx, s, "backlog", sampleJobs(s.id, "backlog", takeoverBacklog)); err != nil {
		return nil, err
	}
	reads, died := f.table.got, f.now
	s.runner = f.newRunner(o, s, "second")
	before := liveHeapBytes()
	var longest time.Duration
	for !s.runner.Status().Held {
		begun := time.Now()
		f.round(ctx)
		longest = max(longest, time.Since(begun))
	}
	held := f.now.Sub(died).Seconds()
	perJob := float64(liveHeapBytes()-before) / float64(takeoverRunning+takeoverBacklog)
	newest := sampleJobs(s.id, "newest", 1)
	newest[0].Class = carobkeel.ClassLatencyCritical
	if err := f.submit(ctx, s, "newest", newest); err != nil {
		return nil, err
	}
	f.expect(newest)
	f.started = nil
	for len(f.started) == 0 {
		f.round(ctx)
	}
	return []figure{
		measured("takeover-jobs", takeoverRunning+takeoverBacklog, "jobs"),
		measured("takeover-until-held-virtual", held, "s"),
		measured("takeover-until-start-virtual", f.now.Sub(died).Seconds(), "s"),
		measured("takeover-reads", float64(f.table.got-reads), "reads"),
		measured("takeover-longest-round", longest.Seconds(), "s"),
		measured("takeover-memory-job", perJob, "bytes"),
	}, nil
}
