package runner

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/objectstore"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/scheduler/store"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/worker"
	"github.com/carobkeel/carobkeel/worker/standin"
)

const (
	testRound = time.Second
	testShard = scheduler.ShardID("east-1")
	// testKeep is shorter than the default, to keep the tests short, but longer
	// than the outages that they simulate.
	testKeep = 90 * time.Second
)

func testTiming() scheduler.Timing {
	timing := scheduler.DefaultTiming()
	timing.GrantWindow = testKeep
	return timing
}

var oneTask = carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}

// cluster simulates two schedulers, two workers with capacity for one task each,
// a table and an object store, in virtual time.
type cluster struct {
	t          *testing.T
	timing     scheduler.Timing
	now        scheduler.Instant
	rows       *memory.Table
	objects    objects
	record     *standin.Record
	workers    []*standin.Worker
	schedulers []*schedulerNode
	// truncateCheckpoints makes workers write only half of each checkpoint.
	truncateCheckpoints bool
}

// schedulerNode is one scheduler with its connections to the table and the
// workers, in which faults can be injected.
type schedulerNode struct {
	cluster *cluster
	runner  *Runner
	// stopped reports that the scheduler executes no rounds.
	stopped bool

	storeDown, loseStoreAnswers, holdWrites bool
	heldWrites                              []table.Transaction

	loseRequests, loseReports, delayCommands, duplicateCommands bool
	mu                                                          sync.Mutex
	// delayed is guarded by mu.
	delayed []delayedCommands
	// unreachable is the worker that this scheduler can't reach, empty for none.
	unreachable worker.ID
}

type delayedCommands struct {
	to       worker.ID
	commands []scheduler.Command
}

func newCluster(t *testing.T) *cluster { return newClusterWithTiming(t, testTiming()) }

func newClusterWithTiming(t *testing.T, timing scheduler.Timing) *cluster {
	c := &cluster{t: t, timing: timing, rows: memory.New(), objects: objects{}, record: standin.NewRecord()}
	for i := range 2 {
		c.workers = append(c.workers, standin.New(standin.Config{
			ID: worker.ID(fmt.Sprint("worker-", i)), Capacity: oneTask, Timing: timing, Seed: uint64(i),
			Location: carobkeel.Location{DataCentre: "east", Rack: fmt.Sprint("rack-", i)},
			Now:      c.clock(i + 2), Record: c.record, Checkpoint: c.checkpoint,
		}))
	}
	for i := range 2 {
		c.addScheduler(i)
	}
	return c
}

func (c *cluster) addScheduler(i int) {
	s := &schedulerNode{cluster: c}
	s.runner = New(Config{
		Shard: testShard, Self: scheduler.HolderID(fmt.Sprint("scheduler-", len(c.schedulers))), Timing: c.timing,
		Table: s, Objects: c.objects, Workers: s, Now: c.clock(i),
		WallClock:     func() time.Time { return time.Unix(0, 0).Add(time.Duration(c.now)) },
		RoundInterval: testRound, HeartbeatInterval: DefaultHeartbeatInterval, MaxBatchRows: DefaultMaxBatchRows, MaxPlacements: DefaultMaxPlacements,
		Metrics: NewMetrics(tally.NoopScope), Log: logging.Discard().For("scheduler"),
	})
	c.schedulers = append(c.schedulers, s)
}

// clock returns the clock of one process. The clocks of any two processes differ.
func (c *cluster) clock(i int) func() scheduler.Instant {
	return func() scheduler.Instant { return c.now.Add(time.Duration(i) * time.Hour) }
}

func (c *cluster) checkpoint(ref scheduler.RunRef, sequence uint64) (string, error) {
	name := store.CheckpointName(ref, sequence)
	sealed := store.EncodeCheckpoint([]byte(name))
	if c.truncateCheckpoints {
		c.objects[name] = sealed[:len(sealed)/2]
		return "", objectstore.ErrUnavailable
	}
	c.objects[name] = sealed
	return name, nil
}

// rounds simulates n rounds of all workers and schedulers.
func (c *cluster) rounds(n int) {
	for range n {
		c.now = c.now.Add(testRound)
		for _, worker := range c.workers {
			worker.Advance()
		}
		for _, s := range c.schedulers {
			if !s.stopped {
				s.runner.RunRound(context.Background())
			}
		}
	}
}

// until simulates rounds until the condition holds. It fails the test if that
// takes longer than limit.
func (c *cluster) until(what string, limit time.Duration, holds func() bool) {
	c.t.Helper()
	for range int(limit / testRound) {
		if holds() {
			return
		}
		c.rounds(1)
	}
	if !holds() {
		c.t.Fatalf("not %s within %v", what, limit)
	}
}

// holder returns the scheduler that holds the shard, nil if none does.
func (c *cluster) holder() *schedulerNode {
	for _, s := range c.schedulers {
		if !s.stopped && s.runner.shard != nil {
			return s
		}
	}
	return nil
}

func (c *cluster) submit(key string) carobkeel.JobID {
	c.t.Helper()
	id := scheduler.NewJobID(testShard, key)
	job := scheduler.Job{ID: id, Entry: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: oneTask}
	c.request(store.Request{Key: key, Submitted: string(id), Jobs: []scheduler.Job{job}})
	return id
}

func (c *cluster) cancel(id carobkeel.JobID) {
	c.t.Helper()
	c.request(store.Request{Key: "cancel-" + string(id), Cancelled: []carobkeel.JobID{id}})
}

func (c *cluster) request(r store.Request) {
	c.t.Helper()
	txn, err := store.New(c.rows, testShard).RequestTransaction(r)
	if err == nil {
		_, err = c.rows.Commit(context.Background(), txn)
	}
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) job(id carobkeel.JobID) scheduler.Job {
	c.t.Helper()
	job, err := store.New(c.rows, testShard).Job(context.Background(), id)
	if err != nil {
		c.t.Fatal(err)
	}
	return job
}

// workerOf returns the worker on which the job is placed, nil if there is none.
func (c *cluster) workerOf(id carobkeel.JobID) *standin.Worker {
	job := c.job(id)
	for _, candidate := range c.workers {
		if candidate.ID() == job.Worker {
			return candidate
		}
	}
	return nil
}

func (c *cluster) checkBreaches() {
	c.t.Helper()
	if breaches := c.record.Violations(); len(breaches) > 0 {
		c.t.Fatalf("breaches: %s", strings.Join(breaches, "; "))
	}
}

// Get implements table.Table.
func (s *schedulerNode) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if s.storeDown {
		return table.Row{}, false, table.ErrUnavailable
	}
	return s.cluster.rows.Get(ctx, key)
}

// Range implements table.Table.
func (s *schedulerNode) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if s.storeDown {
		return nil, table.ErrUnavailable
	}
	return s.cluster.rows.Range(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (s *schedulerNode) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	switch {
	case s.storeDown:
		return table.Outcome{}, table.ErrUnavailable
	case s.holdWrites:
		s.heldWrites = append(s.heldWrites, txn)
		return table.Outcome{}, table.ErrUnsettled
	}
	outcome, err := s.cluster.rows.Commit(ctx, txn)
	if s.loseStoreAnswers {
		return table.Outcome{}, table.ErrUnsettled
	}
	return outcome, err
}

// Members implements Workers.
func (s *schedulerNode) Members() []Member {
	var members []Member
	for _, c := range s.cluster.workers {
		members = append(members, Member{ID: c.ID(), Location: c.Location()})
	}
	return members
}

// Exchange implements Workers.
func (s *schedulerNode) Exchange(ctx context.Context, id worker.ID, commands []scheduler.Command) (scheduler.Report, error) {
	i := slices.IndexFunc(s.cluster.workers, func(c *standin.Worker) bool { return c.ID() == id })
	if s.loseRequests || s.unreachable == id {
		return scheduler.Report{}, standin.ErrLost
	}
	if s.delayCommands || s.duplicateCommands {
		s.mu.Lock()
		s.delayed = append(s.delayed, delayedCommands{id, commands})
		s.mu.Unlock()
	}
	if s.delayCommands {
		return scheduler.Report{}, standin.ErrLost
	}
	report, err := s.cluster.workers[i].Exchange(ctx, commands)
	if s.loseReports {
		return scheduler.Report{}, standin.ErrLost
	}
	return report, err
}

// heal removes all faults and delivers the delayed writes and commands.
func (s *schedulerNode) heal() {
	s.storeDown, s.loseStoreAnswers, s.holdWrites = false, false, false
	s.loseRequests, s.loseReports, s.delayCommands, s.duplicateCommands = false, false, false, false
	s.unreachable = ""
	for _, txn := range s.heldWrites {
		_, _ = s.cluster.rows.Commit(context.Background(), txn)
	}
	for _, d := range s.delayed {
		_, _ = s.Exchange(context.Background(), d.to, d.commands)
	}
	s.heldWrites, s.delayed = nil, nil
}

// objects is an object store in memory.
type objects map[string][]byte

func (o objects) Put(_ context.Context, name string, data []byte) error {
	o[name] = append([]byte(nil), data...)
	return nil
}

func (o objects) Get(_ context.Context, name string) ([]byte, error) {
	if data, ok := o[name]; ok {
		return data, nil
	}
	return nil, objectstore.ErrNotFound
}

func (o objects) List(_ context.Context, prefix string) ([]string, error) {
	var names []string
	for name := range o {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

func (o objects) Delete(_ context.Context, name string) error {
	delete(o, name)
	return nil
}

func (s *schedulerNode) ctx() context.Context { return s.cluster.t.Context() }

// workerOfOrFirst returns the worker on which the job is placed, or the first
// worker if there is none.
func (c *cluster) workerOfOrFirst(id carobkeel.JobID) *standin.Worker {
	if host := c.workerOf(id); host != nil {
		return host
	}
	return c.workers[0]
}

// withHolderShard calls do with the holder's shard, if there is a holder.
func (c *cluster) withHolderShard(do func(*scheduler.Shard)) {
	if s := c.holder(); s != nil {
		do(s.runner.shard)
	}
}
