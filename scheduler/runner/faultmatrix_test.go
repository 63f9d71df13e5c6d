package runner

import (
	"testing"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
)

// faultRounds is how long a fault lasts, longer than a grant and a shard lease.
const faultRounds = 35

// settleLimit is how long the schedulers have to settle everything after it.
const settleLimit = 5 * time.Minute

// fault is what goes wrong. It begins before the step and ends after it.
type fault struct {
	name  string
	begin func(w *world, holder *side, id carobkeel.JobID)
	// end heals what the common healing does not.
	end func(w *world, holder *side)
}

var faults = []fault{
	{name: "request lost", begin: func(_ *world, s *side, _ carobkeel.JobID) { s.loseRequests = true }},
	{name: "answer lost", begin: func(_ *world, s *side, _ carobkeel.JobID) { s.loseReports = true }},
	{name: "commands late", begin: func(_ *world, s *side, _ carobkeel.JobID) { s.late = true }},
	{name: "commands repeated", begin: func(_ *world, s *side, _ carobkeel.JobID) { s.duplicate = true }},
	{name: "worker killed", begin: func(w *world, _ *side, id carobkeel.JobID) { w.host(id).Kill() }, end: restartAll},
	{
		name:  "worker paused",
		begin: func(w *world, _ *side, id carobkeel.JobID) { w.host(id).Pause() },
		end: func(w *world, _ *side) {
			for _, worker := range w.workers {
				worker.Resume()
			}
		},
	},
	{name: "scheduler killed", begin: func(_ *world, s *side, _ carobkeel.JobID) { s.stopped = true }, end: replace},
	{
		name: "scheduler paused in a write",
		begin: func(_ *world, s *side, _ carobkeel.JobID) {
			s.holdWrites = true
			s.runner.Step(s.ctx())
			s.stopped = true
		},
		end: func(_ *world, s *side) { s.stopped = false },
	},
	{name: "store down", begin: func(w *world, _ *side, _ carobkeel.JobID) {
		for _, s := range w.sides {
			s.storeDown = true
		}
	}},
	{name: "holder cut from the store, standby from the worker", begin: func(w *world, s *side, id carobkeel.JobID) {
		s.storeDown = true
		for _, other := range w.sides {
			if other != s {
				other.cut = w.host(id).ID()
			}
		}
	}},
	{name: "store answer lost", begin: func(_ *world, s *side, _ carobkeel.JobID) { s.loseStoreAnswers = true }},
}

func restartAll(w *world, _ *side) {
	for _, worker := range w.workers {
		worker.Restart()
	}
}

// replace puts a new scheduler in the place of one that was killed.
func replace(w *world, dead *side) {
	dead.runner = New(Config{Metrics: dead.runner.config.Metrics})
	w.addSide(0)
}

// step is what is under way when the fault strikes.
type step struct {
	name string
	// running says that the task runs before the fault.
	running bool
	do      func(w *world, id carobkeel.JobID)
	// cancelled says that the task is cancelled in the end.
	cancelled bool
}

var steps = []step{
	{name: "start"},
	{name: "renewal", running: true},
	{name: "throttle", running: true, do: func(w *world, id carobkeel.JobID) {
		w.onHolder(func(s *scheduler.Shard) { s.Throttle(carobkeel.TaskID(id), 50) })
	}},
	{name: "checkpoint", running: true, do: evict},
	{name: "stop after the checkpoint", running: true, do: func(w *world, id carobkeel.JobID) {
		evict(w, id)
		w.rounds(1)
	}},
	{name: "resume", running: true, do: func(w *world, id carobkeel.JobID) {
		evict(w, id)
		w.rounds(2)
	}},
	{name: "cancel", running: true, cancelled: true, do: func(w *world, id carobkeel.JobID) { w.cancel(id) }},
	{name: "takeover", running: true, do: func(w *world, _ carobkeel.JobID) {
		if s := w.holder(); s != nil {
			s.runner.Release(s.ctx())
		}
	}},
}

func evict(w *world, id carobkeel.JobID) {
	w.onHolder(func(s *scheduler.Shard) { s.Evict(w.holder().runner.config.Now(), carobkeel.TaskID(id)) })
}

func TestEachFaultAtEachStep(t *testing.T) {
	for _, step := range steps {
		for _, fault := range faults {
			t.Run(step.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				runCase(t, step, fault)
			})
		}
	}
}

func runCase(t *testing.T, step step, fault fault) {
	w := newWorld(t)
	w.until("held", settleLimit, func() bool { return w.holder() != nil })
	id := w.submit("job")
	if step.running {
		w.until("running", settleLimit, func() bool { return w.job(id).State == scheduler.StateRunning })
	}
	holder := w.holder()
	fault.begin(w, holder, id)
	if step.do != nil {
		step.do(w, id)
	}
	w.rounds(faultRounds)
	if fault.end != nil {
		fault.end(w, holder)
	}
	for _, s := range w.sides {
		s.heal()
	}
	w.judge()
	w.settle(id, step.cancelled)
	w.judge()
}

// settle waits until the task has ended as it should.
func (w *world) settle(id carobkeel.JobID, cancelled bool) {
	w.t.Helper()
	if cancelled {
		w.until("cancelled", settleLimit, func() bool { return w.job(id).State == scheduler.StateCancelled })
		w.record.Cancelled(carobkeel.TaskID(id))
		w.rounds(faultRounds)
		return
	}
	w.until("running again", settleLimit, func() bool {
		return w.record.Live(carobkeel.TaskID(id)) == 1 && w.job(id).State == scheduler.StateRunning
	})
	starts := w.record.Starts(carobkeel.TaskID(id))
	if generation := w.job(id).Generation; uint64(starts) > generation {
		w.t.Fatalf("%d starts under %d claims", starts, generation)
	}
	for _, worker := range w.workers {
		worker.Finish(carobkeel.TaskID(id))
	}
	w.until("succeeded", settleLimit, func() bool { return w.job(id).State == scheduler.StateSucceeded })
	w.rounds(faultRounds)
}
