// Package standin is a worker in memory, for tests and for a process that runs
// everything by itself. Its faults and its tasks follow from a seed.
//
// A stand-in keeps a record of what really ran on it, apart from what it
// reports, so that a test can judge the schedulers by it.
package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
	"github.com/carobkeel/carobkeel/worker"
)

// ErrLost says that an exchange got no answer. The worker may have taken the
// commands.
var ErrLost = errors.New("no answer from the worker")

// Config describes a stand-in and the faults it starts with.
type Config struct {
	ID       worker.ID
	Location carobkeel.Location
	Capacity carobkeel.Resources
	Timing   scheduler.Timing
	// Seed fixes the run times and the losses.
	Seed uint64
	// RunTime is the mean run time of a task, zero for tasks that never end.
	RunTime time.Duration
	// UsageLag is the age of the usage that the stand-in reports.
	UsageLag time.Duration
	// Slowdown is the factor by which a batch task slows each service beside it.
	Slowdown float64
	// LostShare is the share of exchanges whose answer is lost, in 0..1.
	LostShare float64
	// FailAfter fails every task that long after its start, zero for none.
	FailAfter time.Duration
	// Now is the worker's monotonic clock.
	Now func() scheduler.Instant
	// Record is told what runs. Several stand-ins may share one.
	Record *Record
	// Checkpoint writes a checkpoint and returns its name, nil where tasks
	// can't be checkpointed.
	Checkpoint func(ref scheduler.TaskRef, sequence uint64) (string, error)
}

// Worker is a stand-in for one worker. All methods are safe for use by several
// goroutines.
type Worker struct {
	mu     sync.Mutex
	config Config
	random *rand.Rand
	agent  *scheduler.Agent
	// incarnation grows with each restart.
	incarnation carobkeel.Incarnation
	// paused and killed workers answer nothing; copies on a paused one stand
	// still with it.
	paused, killed bool
	// endsAt says when a running copy has done its work or fails.
	endsAt map[scheduler.TaskRef]scheduler.Instant
	usage  []sample
}

type sample struct {
	at   scheduler.Instant
	used carobkeel.Resources
}

// New returns a stand-in that runs nothing yet.
func New(config Config) *Worker {
	w := &Worker{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, 0)),
	}
	w.boot()
	return w
}

func (w *Worker) boot() {
	w.incarnation++
	w.agent = scheduler.NewAgent(w.config.ID, w.incarnation, w.config.Capacity, w.config.Timing)
	w.endsAt = make(map[scheduler.TaskRef]scheduler.Instant)
}

// ID returns the worker's name.
func (w *Worker) ID() worker.ID { return w.config.ID }

// Location returns where the worker is.
func (w *Worker) Location() carobkeel.Location { return w.config.Location }

// Exchange carries out commands and returns a report.
func (w *Worker) Exchange(_ context.Context, commands []scheduler.Command) (scheduler.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused || w.killed {
		return scheduler.Report{}, ErrLost
	}
	now := w.config.Now()
	w.advance(now)
	for _, c := range commands {
		if w.agent.Handle(now, c) == carobkeel.CodeOK {
			w.carriedOut(now, c)
		}
	}
	w.sync(now)
	if w.random.Float64() < w.config.LostShare {
		return scheduler.Report{}, ErrLost
	}
	return w.agent.Report(now), nil
}

// Advance lets the worker act on its own: grants run out and tasks end.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.paused && !w.killed {
		w.advance(w.config.Now())
	}
}

func (w *Worker) advance(now scheduler.Instant) {
	w.agent.Expire(now)
	for _, copy := range w.agent.Running() {
		if ends, ok := w.endsAt[copy.Ref]; ok && now >= ends {
			w.finish(copy.Ref)
		}
	}
	w.sync(now)
}

func (w *Worker) finish(ref scheduler.TaskRef) {
	if w.config.FailAfter > 0 {
		w.agent.Finish(ref, scheduler.OutcomeFailed, "exit status 1")
		return
	}
	w.config.Record.finished(ref)
	w.agent.Finish(ref, scheduler.OutcomeSucceeded, "")
}

// carriedOut does what a command means beyond the agent's books.
func (w *Worker) carriedOut(now scheduler.Instant, c scheduler.Command) {
	switch c.Kind {
	case scheduler.CommandStart:
		if _, ok := w.endsAt[c.Ref]; !ok {
			w.plan(now, c.Ref)
		}
	case scheduler.CommandCheckpoint:
		if w.config.Checkpoint == nil {
			return
		}
		if name, err := w.config.Checkpoint(c.Ref, c.CheckpointSequence); err == nil {
			w.agent.Checkpointed(c.Ref, c.CheckpointSequence, name)
		}
	}
}

func (w *Worker) plan(now scheduler.Instant, ref scheduler.TaskRef) {
	switch {
	case w.config.FailAfter > 0:
		w.endsAt[ref] = now.Add(w.config.FailAfter)
	case w.config.RunTime > 0:
		w.endsAt[ref] = now.Add(time.Duration((0.5 + w.random.Float64()) * float64(w.config.RunTime)))
	}
}

// sync tells the record what runs now.
func (w *Worker) sync(now scheduler.Instant) {
	running := w.agent.Running()
	var used carobkeel.Resources
	for _, copy := range running {
		used = used.Add(copy.Demand)
	}
	w.usage = append(w.usage, sample{at: now, used: used})
	for len(w.usage) > 1 && w.usage[1].at <= now.Add(-w.config.UsageLag) {
		w.usage = w.usage[1:]
	}
	w.config.Record.runs(w.where(), running, w.config.Capacity)
}

// where names one incarnation of the worker in the record.
func (w *Worker) where() string { return fmt.Sprintf("%s/%d", w.config.ID, w.incarnation) }

// Usage returns what the tasks used as long ago as the usage lags.
func (w *Worker) Usage() carobkeel.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.usage) == 0 {
		return carobkeel.Resources{}
	}
	return w.usage[0].used
}

// ServiceSlowdown returns the factor by which a service on this worker is
// slowed by the batch tasks beside it, each by the share that it may use.
func (w *Worker) ServiceSlowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	factor := 1.0
	for _, copy := range w.agent.Running() {
		if copy.Class == carobkeel.ClassBatch {
			factor += (w.config.Slowdown - 1) * float64(copy.SharePercent) / 100
		}
	}
	return max(1, factor)
}

// Finish ends a running copy with success.
func (w *Worker) Finish(task carobkeel.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, copy := range w.agent.Running() {
		if copy.Ref.Task == task {
			w.config.Record.finished(copy.Ref)
			w.agent.Finish(copy.Ref, scheduler.OutcomeSucceeded, "")
			w.sync(w.config.Now())
			return true
		}
	}
	return false
}

// Pause stops the worker and everything on it from moving.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
	w.config.Record.runs(w.where(), nil, w.config.Capacity)
}

// Resume wakes a paused worker. What lapsed meanwhile ends before all else.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = false
	w.advance(w.config.Now())
}

// Kill ends the worker and everything on it.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = true
	w.config.Record.runs(w.where(), nil, w.config.Capacity)
}

// Restart starts a killed or running worker anew. It remembers nothing.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Record.runs(w.where(), nil, w.config.Capacity)
	w.paused, w.killed = false, false
	w.boot()
}

// SetCapacity changes the host's shape.
func (w *Worker) SetCapacity(capacity carobkeel.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Capacity = capacity
	w.agent.SetCapacity(capacity)
	w.sync(w.config.Now())
}

// SetFailAfter lets every task that starts from now on fail that long after.
func (w *Worker) SetFailAfter(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.FailAfter = after
}
