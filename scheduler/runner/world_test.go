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
	// testKeep is shorter than in production, to keep the tests short; it is
	// still longer than the outages that they make.
	testKeep = 90 * time.Second
)

func testTiming() scheduler.Timing {
	timing := scheduler.DefaultTiming()
	timing.Keep = testKeep
	return timing
}

var oneTask = carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}

// world is two schedulers, two workers with room for one task each, a table and
// an object store, in virtual time.
type world struct {
	t       *testing.T
	timing  scheduler.Timing
	now     scheduler.Instant
	rows    *memory.Table
	objects objects
	record  *standin.Record
	workers []*standin.Worker
	sides   []*side
	// tornCheckpoints lets workers write half of each checkpoint.
	tornCheckpoints bool
}

// side is one scheduler and its ways to the table and the workers, which can
// be made to fail.
type side struct {
	world  *world
	runner *Runner
	// stopped schedulers make no rounds.
	stopped bool

	storeDown, loseStoreAnswers, holdWrites bool
	held                                    []table.Transaction

	loseRequests, loseReports, late, duplicate bool
	mu                                         sync.Mutex
	// delayed is guarded by mu.
	delayed []delayedCommands
	// cut is a worker that this scheduler can't reach.
	cut worker.ID
}

type delayedCommands struct {
	to       worker.ID
	commands []scheduler.Command
}

func newWorld(t *testing.T) *world { return newWorldWith(t, testTiming()) }

func newWorldWith(t *testing.T, timing scheduler.Timing) *world {
	w := &world{t: t, timing: timing, rows: memory.New(), objects: objects{}, record: standin.NewRecord()}
	for i := range 2 {
		w.workers = append(w.workers, standin.New(standin.Config{
			ID: worker.ID(fmt.Sprint("worker-", i)), Capacity: oneTask, Timing: timing, Seed: uint64(i),
			Location: carobkeel.Location{DataCentre: "east", Rack: fmt.Sprint("rack-", i)},
			Now:      w.clock(i + 2), Record: w.record, Checkpoint: w.checkpoint,
		}))
	}
	for i := range 2 {
		w.addSide(i)
	}
	return w
}

func (w *world) addSide(i int) {
	s := &side{world: w}
	s.runner = New(Config{
		Shard: testShard, Self: scheduler.HolderID(fmt.Sprint("scheduler-", len(w.sides))), Timing: w.timing,
		Table: s, Objects: w.objects, Workers: s, Now: w.clock(i),
		Wall:  func() time.Time { return time.Unix(0, 0).Add(time.Duration(w.now)) },
		Round: testRound, Heartbeat: DefaultHeartbeat, BatchRows: DefaultBatchRows, Placements: DefaultPlacements,
		Metrics: NewMetrics(tally.NoopScope), Log: logging.Discard().For("scheduler"),
	})
	w.sides = append(w.sides, s)
}

// clock returns the clock of one process. No two start at the same instant.
func (w *world) clock(i int) func() scheduler.Instant {
	return func() scheduler.Instant { return w.now.Add(time.Duration(i) * time.Hour) }
}

func (w *world) checkpoint(ref scheduler.TaskRef, sequence uint64) (string, error) {
	name := store.CheckpointName(ref, sequence)
	sealed := store.SealCheckpoint([]byte(name))
	if w.tornCheckpoints {
		w.objects[name] = sealed[:len(sealed)/2]
		return "", objectstore.ErrUnavailable
	}
	w.objects[name] = sealed
	return name, nil
}

// rounds lets time pass.
func (w *world) rounds(n int) {
	for range n {
		w.now = w.now.Add(testRound)
		for _, worker := range w.workers {
			worker.Advance()
		}
		for _, s := range w.sides {
			if !s.stopped {
				s.runner.Step(context.Background())
			}
		}
	}
}

// until lets time pass until the condition holds.
func (w *world) until(what string, limit time.Duration, holds func() bool) {
	w.t.Helper()
	for range int(limit / testRound) {
		if holds() {
			return
		}
		w.rounds(1)
	}
	if !holds() {
		w.t.Fatalf("not %s within %v", what, limit)
	}
}

// holder returns the side that holds the shard, nil if none does.
func (w *world) holder() *side {
	for _, s := range w.sides {
		if !s.stopped && s.runner.shard != nil {
			return s
		}
	}
	return nil
}

func (w *world) submit(key string) carobkeel.JobID {
	w.t.Helper()
	id := scheduler.NewJobID(testShard, key)
	job := scheduler.Job{ID: id, Entry: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: oneTask}
	w.request(store.Request{Key: key, Submitted: string(id), Jobs: []scheduler.Job{job}})
	return id
}

func (w *world) cancel(id carobkeel.JobID) {
	w.t.Helper()
	w.request(store.Request{Key: "cancel-" + string(id), Cancelled: []carobkeel.JobID{id}})
}

func (w *world) request(r store.Request) {
	w.t.Helper()
	txn, err := store.New(w.rows, testShard).RequestTransaction(r)
	if err == nil {
		_, err = w.rows.Commit(context.Background(), txn)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) job(id carobkeel.JobID) scheduler.Job {
	w.t.Helper()
	job, err := store.New(w.rows, testShard).Job(context.Background(), id)
	if err != nil {
		w.t.Fatal(err)
	}
	return job
}

// where returns the worker that runs the task.
func (w *world) where(id carobkeel.JobID) *standin.Worker {
	job := w.job(id)
	for _, candidate := range w.workers {
		if candidate.ID() == job.Worker {
			return candidate
		}
	}
	return nil
}

func (w *world) judge() {
	w.t.Helper()
	if breaches := w.record.Breaches(); len(breaches) > 0 {
		w.t.Fatalf("breaches: %s", strings.Join(breaches, "; "))
	}
}

// Get implements table.Table.
func (s *side) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if s.storeDown {
		return table.Row{}, false, table.ErrUnavailable
	}
	return s.world.rows.Get(ctx, key)
}

// Range implements table.Table.
func (s *side) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if s.storeDown {
		return nil, table.ErrUnavailable
	}
	return s.world.rows.Range(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (s *side) Commit(ctx context.Context, txn table.Transaction) (table.Outcome, error) {
	switch {
	case s.storeDown:
		return table.Outcome{}, table.ErrUnavailable
	case s.holdWrites:
		s.held = append(s.held, txn)
		return table.Outcome{}, table.ErrUnsettled
	}
	outcome, err := s.world.rows.Commit(ctx, txn)
	if s.loseStoreAnswers {
		return table.Outcome{}, table.ErrUnsettled
	}
	return outcome, err
}

// Members implements Workers.
func (s *side) Members() []Member {
	var members []Member
	for _, w := range s.world.workers {
		members = append(members, Member{ID: w.ID(), Location: w.Location()})
	}
	return members
}

// Exchange implements Workers.
func (s *side) Exchange(ctx context.Context, id worker.ID, commands []scheduler.Command) (scheduler.Report, error) {
	i := slices.IndexFunc(s.world.workers, func(w *standin.Worker) bool { return w.ID() == id })
	if s.loseRequests || s.cut == id {
		return scheduler.Report{}, standin.ErrLost
	}
	if s.late || s.duplicate {
		s.mu.Lock()
		s.delayed = append(s.delayed, delayedCommands{id, commands})
		s.mu.Unlock()
	}
	if s.late {
		return scheduler.Report{}, standin.ErrLost
	}
	report, err := s.world.workers[i].Exchange(ctx, commands)
	if s.loseReports {
		return scheduler.Report{}, standin.ErrLost
	}
	return report, err
}

// heal ends all faults and lets through what was delayed.
func (s *side) heal() {
	s.storeDown, s.loseStoreAnswers, s.holdWrites = false, false, false
	s.loseRequests, s.loseReports, s.late, s.duplicate = false, false, false, false
	s.cut = ""
	for _, txn := range s.held {
		_, _ = s.world.rows.Commit(context.Background(), txn)
	}
	for _, d := range s.delayed {
		_, _ = s.Exchange(context.Background(), d.to, d.commands)
	}
	s.held, s.delayed = nil, nil
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

func (s *side) ctx() context.Context { return s.world.t.Context() }

// host returns the worker that runs the task, the first where none does.
func (w *world) host(id carobkeel.JobID) *standin.Worker {
	if host := w.where(id); host != nil {
		return host
	}
	return w.workers[0]
}

// onHolder does something with the shard of the holder.
func (w *world) onHolder(do func(*scheduler.Shard)) {
	if s := w.holder(); s != nil {
		do(s.runner.shard)
	}
}
