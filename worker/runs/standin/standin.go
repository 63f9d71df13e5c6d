// Package standin provides an in-memory worker that follows the protocol of
// package runs: epochs, leases, numbered ends, and orders that are carried out
// late. It has no clock of its own; a test advances its time.
//
// It records what actually ran, so that a test can check the schedulers against it.
package standin

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// ErrNoAnswer means that an order got no answer. It may have been carried out.
var ErrNoAnswer = errors.New("no answer from the worker")

// Work is the behaviour of one run of a task.
type Work struct {
	Duration time.Duration
	Outcome  runs.Outcome
	// Endless reports whether the run ends only when it is stopped.
	Endless bool
	// Paced reports whether the run works at its pace only. It then saves its progress at a stop,
	// and the next run goes on from there.
	Paced bool
}

// Config describes a stand-in.
type Config struct {
	Description runs.Description
	// MaxLease is the longest lease that the worker accepts.
	MaxLease time.Duration
	// StopGrace is how long a stopped run takes to end.
	StopGrace time.Duration
	// Work returns the behaviour of a run of a task.
	Work func(task carobkeel.TaskName, run int) Work
	// LoadMetric returns the reported load metric of a run at one time, given the
	// pace in percent of each task on the worker. Its average over half a second is
	// listed. If it is nil, runs have no load metric.
	LoadMetric func(task carobkeel.TaskName, paces map[carobkeel.TaskName]int) int
	// Admits reports whether a task may start on the worker with a ticket. If it is
	// nil, no task needs a ticket.
	Admits func(task carobkeel.TaskName, ticket string) bool
	// Record receives all starts and ends. Several stand-ins may share one.
	Record *Record
}

// activeRun is a running run on the worker.
type activeRun struct {
	task    carobkeel.TaskName
	run     int
	started time.Duration
	endsAt  time.Duration
	outcome runs.Outcome
	endless bool
	paced   bool
	// checkpoint is the work that a paced run had done when it was stopped.
	checkpoint string
	// pace is in percent.
	pace int
	// samples are the load metrics of the last loadMetricSpan.
	samples []sample
}

// sample is the load metric of a run at one time.
type sample struct {
	at         time.Duration
	loadMetric int
}

// loadMetricSpan is the time over which load metrics are averaged.
const loadMetricSpan = 500 * time.Millisecond

// fullPace is the pace at which a run starts, in percent.
const fullPace = 100

type key struct {
	task carobkeel.TaskName
	run  int
}

// Worker is a stand-in for a worker. It is not safe for concurrent use.
type Worker struct {
	config Config
	// now is the worker's monotonic clock.
	now      time.Duration
	fence    runs.Fence
	deadline time.Duration
	running  map[key]*activeRun
	ends     []runs.End
	lastEnd  uint64
	// expiredEnd is the number of the last end before the lease last expired. What
	// is acknowledged of it and of earlier ends does not count.
	expiredEnd uint64
	// stalled reports whether the worker answers while its runs make no progress.
	stalled bool
	// refused is the highest run number of each task that ended or was stopped.
	// Runs up to it are not started.
	refused map[carobkeel.TaskName]int
}

// New returns a worker that runs nothing.
func New(config Config) *Worker {
	w := &Worker{config: config}
	w.reset()
	return w
}

func (w *Worker) reset() {
	w.now = time.Second
	w.fence = runs.Fence{}
	w.deadline, w.lastEnd, w.expiredEnd = 0, 0, 0
	w.running = make(map[key]*activeRun)
	w.refused = make(map[carobkeel.TaskName]int)
	w.ends = nil
}

// Description returns the worker's description of itself.
func (w *Worker) Description() runs.Description { return w.config.Description }

// Lease returns the rest of the worker's lease.
func (w *Worker) Lease() time.Duration { return max(0, w.deadline-w.now) }

// Drain makes the worker describe itself as draining.
func (w *Worker) Drain(remaining time.Duration) {
	w.config.Description.Draining = true
	w.config.Description.Remaining = remaining
	w.config.Description.Sequence++
}

// Crash ends all runs without listing their ends, and starts another incarnation
// under the same id.
func (w *Worker) Crash() {
	for k := range w.running {
		w.config.Record.ended(k.task, k.run, runs.OutcomeExpired)
	}
	w.config.Description.StartedAtMs++
	w.config.Description.Sequence = 1
	w.config.Description.Draining = false
	w.reset()
}

// Advance advances the worker's clock, and ends the runs that are due.
func (w *Worker) Advance(d time.Duration) {
	w.now += d
	w.delayRuns(d)
	w.slowRuns(d)
	if w.now > w.deadline {
		w.expiredEnd = w.lastEnd
		for _, l := range w.running {
			w.endRun(l, runs.OutcomeExpired)
		}
	}
	for _, l := range w.running {
		if !l.endless && w.now >= l.endsAt {
			w.endRun(l, l.outcome)
		}
	}
	w.sample()
}

// sample adds a sample of each run's load metric, and drops samples older than
// loadMetricSpan.
func (w *Worker) sample() {
	if w.config.LoadMetric == nil {
		return
	}
	paces := w.Paces()
	for _, l := range w.running {
		l.samples = append(l.samples, sample{at: w.now, loadMetric: w.config.LoadMetric(l.task, paces)})
		l.samples = slices.DeleteFunc(l.samples, func(s sample) bool { return w.now-s.at > loadMetricSpan })
	}
}

// Stall sets whether the runs make no progress.
func (w *Worker) Stall(stalled bool) { w.stalled = stalled }

// delayRuns delays the end of each run by a time in which the worker is stalled.
func (w *Worker) delayRuns(d time.Duration) {
	if !w.stalled {
		return
	}
	for _, l := range w.running {
		if l.outcome != runs.OutcomeStopped {
			l.started += d
			l.endsAt += d
		}
	}
}

// slowRuns delays the ends of the paced runs by the part of a time in which they do no work.
func (w *Worker) slowRuns(d time.Duration) {
	for _, l := range w.running {
		if l.paced && l.outcome != runs.OutcomeStopped {
			idle := d * time.Duration(fullPace-l.pace) / fullPace
			l.started += idle
			l.endsAt += idle
		}
	}
}

// percent returns the progress of a run, 100 for an endless one.
func (w *Worker) percent(l *activeRun) int {
	if l.endless {
		return 100
	}
	return int(100 * (w.now - l.started) / max(1, l.endsAt-l.started))
}

func (w *Worker) endRun(l *activeRun, outcome runs.Outcome) {
	delete(w.running, key{l.task, l.run})
	w.refused[l.task] = max(w.refused[l.task], l.run)
	w.lastEnd++
	w.ends = append(w.ends, runs.End{Number: w.lastEnd, Task: l.task, Run: l.run, Outcome: outcome, Checkpoint: l.checkpoint})
	w.config.Record.ended(l.task, l.run, outcome)
}

// admit checks the envelope of an order, and stores its fence and deadline. The
// order may be carried out if the result is ResultOK. An order that was sent to an earlier
// incarnation under the same ID is no other than one to this incarnation.
func (w *Worker) admit(e runs.Envelope) runs.Answer {
	answer := runs.Answer{Clock: w.now}
	switch {
	case e.Incarnation.ID != "" && e.Incarnation.ID != w.config.Description.ID:
		return runs.Answer{Result: runs.ResultOtherIncarnation}
	case e.Fence.Less(w.fence):
		answer.Result = runs.ResultStaleEpoch
		return answer
	}
	w.fence = e.Fence
	w.deadline = max(w.deadline, min(e.Deadline, w.now+w.config.MaxLease))
	return answer
}

// Start implements runs.Client.
func (w *Worker) Start(_ context.Context, e runs.Envelope, order runs.Start) (runs.Answer, error) {
	answer := w.admit(e)
	if answer.Result != runs.ResultOK {
		return answer, nil
	}
	if _, found := w.running[key{order.Task, order.Run}]; found {
		return answer, nil
	}
	switch {
	case order.Run <= w.refused[order.Task]:
		answer.Result = runs.ResultOldRun
	case w.config.Admits != nil && !w.config.Admits(order.Task, order.Ticket):
		answer.Result = runs.ResultNoTicket
	case e.Deadline <= w.now:
		answer.Result = runs.ResultLate
	default:
		w.startRun(order)
	}
	return answer, nil
}

func (w *Worker) startRun(order runs.Start) {
	work := w.config.Work(order.Task, order.Run)
	begun := w.now
	if saved, err := time.ParseDuration(order.Checkpoint); work.Paced && err == nil {
		begun -= saved
	}
	w.running[key{order.Task, order.Run}] = &activeRun{
		task: order.Task, run: order.Run, started: begun, endsAt: begun + work.Duration, outcome: work.Outcome, endless: work.Endless,
		paced: work.Paced, pace: fullPace,
	}
	w.config.Record.started(order.Task, order.Run, w.config.Description.Incarnation)
}

// Stop implements runs.Client.
func (w *Worker) Stop(_ context.Context, e runs.Envelope, order runs.Stop) (runs.Answer, error) {
	e.Deadline = 0
	answer := w.admit(e)
	if answer.Result != runs.ResultOK {
		return answer, nil
	}
	w.refused[order.Task] = max(w.refused[order.Task], order.Run)
	if l, found := w.running[key{order.Task, order.Run}]; found {
		l.endless = false
		if l.paced && l.outcome != runs.OutcomeStopped {
			l.checkpoint = (w.now - l.started).String()
		}
		l.outcome = runs.OutcomeStopped
		l.endsAt = w.now + w.config.StopGrace
	}
	return answer, nil
}

// Pace implements runs.Client. The pace affects the load metrics of runs, but not their
// duration.
func (w *Worker) Pace(_ context.Context, e runs.Envelope, order runs.Pace) (runs.Answer, error) {
	e.Deadline = 0
	answer := w.admit(e)
	if l, found := w.running[key{order.Task, order.Run}]; found && answer.Result == runs.ResultOK {
		l.pace = order.Percent
	}
	return answer, nil
}

// List implements runs.Client. It does not wait.
func (w *Worker) List(_ context.Context, e runs.Envelope, acknowledged uint64, _ time.Duration) (runs.Listing, runs.Answer, error) {
	answer := w.admit(e)
	if answer.Result != runs.ResultOK {
		return runs.Listing{}, answer, nil
	}
	for len(w.ends) > 0 && w.ends[0].Number <= acknowledged {
		if w.ends[0].Number > w.expiredEnd {
			w.config.Record.acknowledged(w.ends[0])
		}
		w.ends = w.ends[1:]
	}
	listing := runs.Listing{StartedAtMs: w.config.Description.StartedAtMs, Ends: append([]runs.End(nil), w.ends...)}
	for _, l := range w.running {
		listing.Running = append(listing.Running, runs.Running{Task: l.task, Run: l.run, Percent: w.percent(l), LoadMetric: l.averageLoad()})
	}
	return listing, answer, nil
}

// averageLoad returns the average of the samples, zero for a run whose samples cover
// less than half of loadMetricSpan.
func (l *activeRun) averageLoad() int {
	if len(l.samples) == 0 || l.samples[len(l.samples)-1].at-l.samples[0].at < loadMetricSpan/2 {
		return 0
	}
	sum := 0
	for _, s := range l.samples {
		sum += s.loadMetric
	}
	return sum / len(l.samples)
}

// Tasks returns the running tasks.
func (w *Worker) Tasks() []carobkeel.TaskName {
	var tasks []carobkeel.TaskName
	for k := range w.running {
		tasks = append(tasks, k.task)
	}
	return tasks
}

// Paces returns the pace of each running task, in percent.
func (w *Worker) Paces() map[carobkeel.TaskName]int {
	paces := make(map[carobkeel.TaskName]int, len(w.running))
	for _, l := range w.running {
		paces[l.task] = l.pace
	}
	return paces
}
