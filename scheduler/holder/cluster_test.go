package holder_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/caller/submission"
	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/internal/logging"
	"github.com/carobkeel/carobkeel/scheduler/directory"
	"github.com/carobkeel/carobkeel/scheduler/dispatch"
	"github.com/carobkeel/carobkeel/scheduler/holder"
	"github.com/carobkeel/carobkeel/sidecar/agent"
	"github.com/carobkeel/carobkeel/table/faulty"
	"github.com/carobkeel/carobkeel/table/memory"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

const (
	testShard   = "shard"
	testService = carobkeel.Service("desk")
	// testWorkerLease is the duration of a worker's lease.
	testWorkerLease = 3 * time.Second
	// testMaxLease is the longest lease that a worker accepts.
	testMaxLease = 10 * time.Second
	// waitTimeout bounds how long a test waits for a condition that is expected
	// within moments.
	waitTimeout = 20 * time.Second
)

// realTimeWorker runs a stand-in in real time and makes it safe for use by
// several goroutines.
type realTimeWorker struct {
	mu         *sync.Mutex
	worker     *standin.Worker
	advancedTo time.Duration
	// refusesStops reports that the worker refuses stops as unhealthy, and stops
	// counts them.
	refusesStops bool
	stops        int
}

func (w *realTimeWorker) advance() {
	now := clock.Boottime()
	w.worker.Advance(now - w.advancedTo)
	w.advancedTo = now
}

func (w *realTimeWorker) Start(ctx context.Context, e runs.Envelope, order runs.Start) (runs.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.worker.Start(ctx, e, order)
}

func (w *realTimeWorker) Stop(ctx context.Context, e runs.Envelope, order runs.Stop) (runs.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.stops++
	if w.refusesStops {
		return runs.Answer{Result: runs.ResultUnhealthy}, nil
	}
	return w.worker.Stop(ctx, e, order)
}

func (w *realTimeWorker) Pace(ctx context.Context, e runs.Envelope, order runs.Pace) (runs.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.worker.Pace(ctx, e, order)
}

func (w *realTimeWorker) List(ctx context.Context, e runs.Envelope, acknowledged uint64, wait time.Duration) (runs.Listing, runs.Answer, error) {
	if err := clock.Sleep(ctx, min(wait, 20*time.Millisecond)); err != nil {
		return runs.Listing{}, runs.Answer{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.worker.List(ctx, e, acknowledged, 0)
}

// entry is a node with its submission service.
type entry struct {
	node *holder.Node
	jobs *submission.Service
	stop context.CancelFunc
}

// cluster consists of entries and sidecars on loopback, with a table service in
// memory.
type cluster struct {
	rows    *faulty.Rows
	memory  *memory.Rows
	record  *standin.Record
	mu      sync.Mutex
	entries []*entry
	agents  []*agent.Agent
	workers []*standin.Worker
	clients []*realTimeWorker
	// stopAgents end the agents.
	stopAgents []context.CancelFunc
	// endless lets runs last until they are stopped.
	endless bool
	// oddTasksTake is how long runs of tasks with odd indexes last, if longer than those of others.
	oddTasksTake time.Duration
	// rowBytes is the bound on the value of a row, zero for the default.
	rowBytes int
	config   *carobkeel.QueueConfig
	logger   *log.Logger
	// policy is that of entries that are started.
	policy dispatch.Policy
	// sidecarMetrics are those of all sidecars.
	sidecarMetrics tally.TestScope
}

func startCluster(t *testing.T, entries, workers int) *cluster {
	t.Helper()
	f := &cluster{
		memory: memory.NewRows(),
		record: standin.NewRecord(),
		logger: logging.Discard().For("test"),

		sidecarMetrics: tally.NewTestScope("", nil),
		config: &carobkeel.QueueConfig{Version: 1, Queues: []carobkeel.Queue{{
			Name: "quotes", Host: "desk.example", PathPrefix: "/q/", Service: testService, MaxAttempts: 3, SlowdownFactor: 2,
		}}},
	}
	f.rows = faulty.NewRows(f.memory)
	for range entries {
		f.startEntry(t)
	}
	for i := range workers {
		f.startWorker(t, fmt.Sprintf("host-%d", i))
	}
	return f
}

func (f *cluster) startEntry(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host := fmt.Sprintf("entry-%d", len(f.entries))
	node := holder.New(holder.Config{
		Host: host, Incarnation: carobkeel.Incarnation(len(f.entries) + 1), Address: listener.Addr().String(),
		Shard: testShard, WorkerLease: testWorkerLease, MaxLease: testMaxLease, RowBytes: f.rowBytes,
		Policy: f.policy,
	}, f.rows, holder.NewMetrics(tally.NoopScope), f.logger)
	go func() {
		if err := node.Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	}()
	go node.Run(ctx)
	node.SetQueues(f.config)
	directory.Register(ctx, f.rows, host, 1, listener.Addr().String(), f.logger)
	NewWithT(t).Eventually(node.StoreAge, waitTimeout).Should(BeNumerically("<", time.Second))
	f.entries = append(f.entries, &entry{node: node, jobs: submission.New(testShard, f.rows, node, submission.NewMetrics(tally.NoopScope), f.logger), stop: cancel})
}

// startWorker starts a worker with its sidecar, and returns the worker and a
// function that stops the sidecar.
func (f *cluster) startWorker(t *testing.T, host string) (*realTimeWorker, context.CancelFunc) {
	t.Helper()
	worker := f.newWorker(host)
	f.workers, f.clients = append(f.workers, worker.worker), append(f.clients, worker)
	a, stop := f.startSidecar(t, host, worker)
	a.RecordHeartbeat(worker.worker.Description())
	return worker, stop
}

func (f *cluster) newWorker(host string) *realTimeWorker {
	worker := standin.New(standin.Config{
		Description: runs.Description{
			Incarnation: runs.Incarnation{ID: "w-" + host, StartedAtMs: 1}, Service: testService, Rack: "r1", Labels: []string{"a", "r1"},
			Capacity: carobkeel.Resources{MilliCPU: 8000, MemoryBytes: 32 << 30}, Sequence: 1,
		},
		MaxLease: testMaxLease, StopGrace: 100 * time.Millisecond, Record: f.record,
		Work: func(task carobkeel.TaskName, _ int) standin.Work {
			duration := 100 * time.Millisecond
			if task.Index%2 == 1 {
				duration = max(duration, f.oddTasksTake)
			}
			return standin.Work{Duration: duration, Outcome: runs.OutcomeDone, Endless: f.endless || task.Job == longRunningJobID}
		},
	})
	return &realTimeWorker{mu: &f.mu, worker: worker, advancedTo: clock.Boottime()}
}

// startSidecar starts the sidecar of a host, which has not heard of its worker yet.
func (f *cluster) startSidecar(t *testing.T, host string, worker runs.Client) (*agent.Agent, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	a := agent.New(agent.Config{
		Host: host, Incarnation: carobkeel.Incarnation(len(f.agents) + 1), WorkerLease: testWorkerLease, MaxLease: testMaxLease,
	}, worker, directory.NewReader(f.rows, f.logger).Addresses, agent.NewMetrics(f.sidecarMetrics), f.logger)
	go a.Run(ctx)
	f.agents, f.stopAgents = append(f.agents, a), append(f.stopAgents, cancel)
	return a, cancel
}

// ordersAnswered reports whether the workers have answered all orders.
func (f *cluster) ordersAnswered() bool {
	unanswered, counted := f.sidecarMetrics.Snapshot().Counters()["agent.orders_unanswered+"]
	return !counted || unanswered.Value() == 0
}

// countTasks returns the number of tasks that run on the worker.
func (w *realTimeWorker) countTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.worker.Tasks())
}

// busyWorker returns the number of a worker with runs, -1 if there is none.
func (f *cluster) busyWorker() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.IndexFunc(f.workers, func(w *standin.Worker) bool { return len(w.Tasks()) > 0 })
}

// leader returns the entry that holds the shard, nil if there is none.
func (f *cluster) leader() *entry {
	for _, e := range f.entries {
		if e.node.Leading() {
			return e
		}
	}
	return nil
}

func testJob(n int) *carobkeel.JobSpec {
	step := carobkeel.Step{Count: 3, Demand: carobkeel.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Estimate: 100 * time.Millisecond}
	second := step
	second.After = []int{0}
	return &carobkeel.JobSpec{
		ID: carobkeel.JobID(fmt.Sprintf("%016x", n)), Payload: "payload",
		Queue: carobkeel.Queue{Name: "quotes", Service: testService, MaxAttempts: 3, SlowdownFactor: 2},
		Steps: []carobkeel.Step{step, second},
	}
}

// longRunningJobID is the job whose tasks run until they are stopped.
const longRunningJobID = carobkeel.JobID("00000000000000aa")

func longRunningJob() *carobkeel.JobSpec {
	job := testJob(0xaa)
	job.Steps = job.Steps[:1]
	job.Steps[0].Count, job.Steps[0].LongRunning = 1, true
	return job
}

func (f *cluster) submit(g Gomega, e *entry, n int) carobkeel.JobID {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	job := testJob(n)
	g.Expect(e.jobs.Submit(ctx, job)).To(Succeed())
	return job.ID
}

func state(e *entry, job carobkeel.JobID) func() (carobkeel.JobState, error) {
	return func() (carobkeel.JobState, error) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return e.jobs.State(ctx, job)
	}
}

func (f *cluster) violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.Violations
}
