// Package standin provides an in-memory worker for tests and for a single process
// that runs the entire system. Its faults and run times are derived from a seed.
//
// A stand-in records what actually ran on it, apart from what it reports, so that a
// test can check the schedulers against the record.
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

// ErrLost means that an exchange got no answer. The worker may have carried out the
// commands.
var ErrLost = errors.New("no answer from the worker")

// Config describes a stand-in and the faults it starts with.
type Config struct {
	ID       worker.ID
	Location carobkeel.Location
	Capacity carobkeel.Resources
	Timing   scheduler.Timing
	// Seed determines the run times and the lost answers.
	Seed uint64
	// RunTime is the mean run time of a task, zero for tasks that never end.
	RunTime time.Duration
	// UsageLag is the age of the usage that the stand-in reports.
	UsageLag time.Duration
	// Slowdown is the factor by which a batch task slows each service on the same
	// worker.
	Slowdown float64
	// LostAnswerShare is the share of exchanges whose answer is lost, 0 to 1.
	LostAnswerShare float64
	// FailAfter is the time after its start at which every task fails, zero if
	// tasks do not fail.
	FailAfter time.Duration
	// Now is the worker's monotonic clock.
	Now func() scheduler.Instant
	// Record receives what runs. Several stand-ins may share one.
	Record *Record
	// Checkpoint writes a checkpoint and returns its name. It is nil if tasks
	// can't be checkpointed.
	Checkpoint func(ref scheduler.RunRef, sequence uint64) (string, error)
}

// Worker is a stand-in for one worker. It is safe for concurrent use.
type Worker struct {
	mu     sync.Mutex
	config Config
	random *rand.Rand
	agent  *scheduler.Agent
	// incarnation increases with each restart.
	incarnation carobkeel.Incarnation
	// paused and killed workers do not answer. Runs on a paused worker make no
	// progress.
	paused, killed bool
	// endsAt is the time at which a run completes or fails.
	endsAt map[scheduler.RunRef]scheduler.Instant
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
	w.endsAt = make(map[scheduler.RunRef]scheduler.Instant)
}

// ID returns the worker's id.
func (w *Worker) ID() worker.ID { return w.config.ID }

// Location returns where the worker is.
func (w *Worker) Location() carobkeel.Location { return w.config.Location }

// Exchange carries out the commands and returns a report.
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
			w.applyEffects(now, c)
		}
	}
	w.updateRecord(now)
	if w.random.Float64() < w.config.LostAnswerShare {
		return scheduler.Report{}, ErrLost
	}
	return w.agent.Report(now), nil
}

// Advance applies what has become due by now: grants expire and tasks end.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.paused && !w.killed {
		w.advance(w.config.Now())
	}
}

func (w *Worker) advance(now scheduler.Instant) {
	w.agent.Expire(now)
	for _, run := range w.agent.Running() {
		if ends, ok := w.endsAt[run.Ref]; ok && now >= ends {
			w.finish(run.Ref)
		}
	}
	w.updateRecord(now)
}

func (w *Worker) finish(ref scheduler.RunRef) {
	if w.config.FailAfter > 0 {
		w.agent.Finish(ref, scheduler.OutcomeFailed, "exit status 1")
		return
	}
	w.config.Record.finished(ref)
	w.agent.Finish(ref, scheduler.OutcomeSucceeded, "")
}

// applyEffects applies the effects of a command that the agent itself does not
// have: it schedules the end of a started task, and writes a checkpoint.
func (w *Worker) applyEffects(now scheduler.Instant, c scheduler.Command) {
	switch c.Kind {
	case scheduler.CommandStart:
		if _, ok := w.endsAt[c.Ref]; !ok {
			w.scheduleEnd(now, c.Ref)
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

func (w *Worker) scheduleEnd(now scheduler.Instant, ref scheduler.RunRef) {
	switch {
	case w.config.FailAfter > 0:
		w.endsAt[ref] = now.Add(w.config.FailAfter)
	case w.config.RunTime > 0:
		w.endsAt[ref] = now.Add(time.Duration((0.5 + w.random.Float64()) * float64(w.config.RunTime)))
	}
}

// updateRecord updates the usage samples and the record from the runs of the agent.
func (w *Worker) updateRecord(now scheduler.Instant) {
	running := w.agent.Running()
	var used carobkeel.Resources
	for _, run := range running {
		used = used.Add(run.Demand)
	}
	w.usage = append(w.usage, sample{at: now, used: used})
	for len(w.usage) > 1 && w.usage[1].at <= now.Add(-w.config.UsageLag) {
		w.usage = w.usage[1:]
	}
	w.config.Record.update(w.incarnationName(), running, w.config.Capacity)
}

// incarnationName returns the name of the current incarnation of the worker in
// the record.
func (w *Worker) incarnationName() string { return fmt.Sprintf("%s/%d", w.config.ID, w.incarnation) }

// Usage returns the usage of the tasks at UsageLag before the last sample.
func (w *Worker) Usage() carobkeel.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.usage) == 0 {
		return carobkeel.Resources{}
	}
	return w.usage[0].used
}

// ServiceSlowdown returns the factor by which a service on this worker is slowed by
// its batch tasks, each in proportion to its CPU share.
func (w *Worker) ServiceSlowdown() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	factor := 1.0
	for _, run := range w.agent.Running() {
		if run.Class == carobkeel.ClassBatch {
			factor += (w.config.Slowdown - 1) * float64(run.PacePercent) / 100
		}
	}
	return max(1, factor)
}

// Finish ends the run of a task with success. It reports false if the task does not
// run on the worker.
func (w *Worker) Finish(task carobkeel.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, run := range w.agent.Running() {
		if run.Ref.Task == task {
			w.config.Record.finished(run.Ref)
			w.agent.Finish(run.Ref, scheduler.OutcomeSucceeded, "")
			w.updateRecord(w.config.Now())
			return true
		}
	}
	return false
}

// Pause suspends the worker and its runs.
func (w *Worker) Pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
	w.config.Record.update(w.incarnationName(), nil, w.config.Capacity)
}

// Resume resumes a paused worker. Runs whose grants expired meanwhile end first.
func (w *Worker) Resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = false
	w.advance(w.config.Now())
}

// Kill ends the worker and its runs.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = true
	w.config.Record.update(w.incarnationName(), nil, w.config.Capacity)
}

// Restart starts a new incarnation of the worker, without any of its state.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Record.update(w.incarnationName(), nil, w.config.Capacity)
	w.paused, w.killed = false, false
	w.boot()
}

// SetCapacity changes the host's capacity.
func (w *Worker) SetCapacity(capacity carobkeel.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Capacity = capacity
	w.agent.SetCapacity(capacity)
	w.updateRecord(w.config.Now())
}

// SetFailAfter sets the time after its start at which each task that starts
// from now on fails.
func (w *Worker) SetFailAfter(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.FailAfter = after
}
