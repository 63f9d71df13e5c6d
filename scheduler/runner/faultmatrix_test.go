package runner

import (
	"testing"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler"
)

// faultRounds is the duration of a fault, longer than a grant and a shard lease.
const faultRounds = 35

// settleLimit bounds the time in which the schedulers have to recover after a
// fault.
const settleLimit = 5 * time.Minute

// fault is an injected fault. It begins before the step and ends after it.
type fault struct {
	name  string
	begin func(c *cluster, holder *schedulerNode, id carobkeel.JobID)
	// end removes the effects that schedulerNode.heal does not remove.
	end func(c *cluster, holder *schedulerNode)
}

var faults = []fault{
	{name: "request lost", begin: func(_ *cluster, s *schedulerNode, _ carobkeel.JobID) { s.loseRequests = true }},
	{name: "answer lost", begin: func(_ *cluster, s *schedulerNode, _ carobkeel.JobID) { s.loseReports = true }},
	{name: "commands late", begin: func(_ *cluster, s *schedulerNode, _ carobkeel.JobID) { s.delayCommands = true }},
	{name: "commands repeated", begin: func(_ *cluster, s *schedulerNode, _ carobkeel.JobID) { s.duplicateCommands = true }},
	{name: "worker killed", begin: func(c *cluster, _ *schedulerNode, id carobkeel.JobID) { c.workerOfOrFirst(id).Kill() }, end: restartWorkers},
	{
		name:  "worker paused",
		begin: func(c *cluster, _ *schedulerNode, id carobkeel.JobID) { c.workerOfOrFirst(id).Pause() },
		end: func(c *cluster, _ *schedulerNode) {
			for _, worker := range c.workers {
				worker.Resume()
			}
		},
	},
	{name: "scheduler killed", begin: func(_ *cluster, s *schedulerNode, _ carobkeel.JobID) { s.stopped = true }, end: replaceScheduler},
	{
		name: "scheduler paused in a write",
		begin: func(_ *cluster, s *schedulerNode, _ carobkeel.JobID) {
			s.holdWrites = true
			s.runner.RunRound(s.ctx())
			s.stopped = true
		},
		end: func(_ *cluster, s *schedulerNode) { s.stopped = false },
	},
	{name: "store down", begin: func(c *cluster, _ *schedulerNode, _ carobkeel.JobID) {
		for _, s := range c.schedulers {
			s.storeDown = true
		}
	}},
	{name: "holder cut from the store, standby from the worker", begin: func(c *cluster, s *schedulerNode, id carobkeel.JobID) {
		s.storeDown = true
		for _, other := range c.schedulers {
			if other != s {
				other.unreachable = c.workerOfOrFirst(id).ID()
			}
		}
	}},
	{name: "store answer lost", begin: func(_ *cluster, s *schedulerNode, _ carobkeel.JobID) { s.loseStoreAnswers = true }},
}

func restartWorkers(c *cluster, _ *schedulerNode) {
	for _, worker := range c.workers {
		worker.Restart()
	}
}

// replaceScheduler starts a new scheduler in place of one that was killed.
func replaceScheduler(c *cluster, dead *schedulerNode) {
	dead.runner = New(Config{Metrics: dead.runner.config.Metrics})
	c.addScheduler(0)
}

// step is the operation in progress during the fault.
type step struct {
	name string
	// running reports that the task runs before the fault.
	running bool
	do      func(c *cluster, id carobkeel.JobID)
	// cancelled reports that the expected end of the task is its cancellation.
	cancelled bool
}

var steps = []step{
	{name: "start"},
	{name: "renewal", running: true},
	{name: "throttle", running: true, do: func(c *cluster, id carobkeel.JobID) {
		c.withHolderShard(func(s *scheduler.Shard) { s.Throttle(carobkeel.TaskID(id), 50) })
	}},
	{name: "checkpoint", running: true, do: evict},
	{name: "stop after the checkpoint", running: true, do: func(c *cluster, id carobkeel.JobID) {
		evict(c, id)
		c.rounds(1)
	}},
	{name: "resume", running: true, do: func(c *cluster, id carobkeel.JobID) {
		evict(c, id)
		c.rounds(2)
	}},
	{name: "cancel", running: true, cancelled: true, do: func(c *cluster, id carobkeel.JobID) { c.cancel(id) }},
	{name: "takeover", running: true, do: func(c *cluster, _ carobkeel.JobID) {
		if s := c.holder(); s != nil {
			s.runner.Release(s.ctx())
		}
	}},
}

func evict(c *cluster, id carobkeel.JobID) {
	c.withHolderShard(func(s *scheduler.Shard) { s.Evict(c.holder().runner.config.Now(), carobkeel.TaskID(id)) })
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
	c := newCluster(t)
	c.until("held", settleLimit, func() bool { return c.holder() != nil })
	id := c.submit("job")
	if step.running {
		c.until("running", settleLimit, func() bool { return c.job(id).State == scheduler.StateRunning })
	}
	holder := c.holder()
	fault.begin(c, holder, id)
	if step.do != nil {
		step.do(c, id)
	}
	c.rounds(faultRounds)
	if fault.end != nil {
		fault.end(c, holder)
	}
	for _, s := range c.schedulers {
		s.heal()
	}
	c.checkBreaches()
	c.waitUntilEnded(id, step.cancelled)
	c.checkBreaches()
}

// waitUntilEnded waits until the task has been cancelled, if that is expected, or
// runs again. In the second case it lets the task finish and waits until it has
// succeeded.
func (c *cluster) waitUntilEnded(id carobkeel.JobID, cancelled bool) {
	c.t.Helper()
	if cancelled {
		c.until("cancelled", settleLimit, func() bool { return c.job(id).State == scheduler.StateCancelled })
		c.record.Cancelled(carobkeel.TaskID(id))
		c.rounds(faultRounds)
		return
	}
	c.until("running again", settleLimit, func() bool {
		return c.record.Running(carobkeel.TaskID(id)) == 1 && c.job(id).State == scheduler.StateRunning
	})
	starts := c.record.Starts(carobkeel.TaskID(id))
	if run := c.job(id).Run; uint64(starts) > run {
		c.t.Fatalf("%d starts for %d numbered runs", starts, run)
	}
	for _, worker := range c.workers {
		worker.Finish(carobkeel.TaskID(id))
	}
	c.until("succeeded", settleLimit, func() bool { return c.job(id).State == scheduler.StateSucceeded })
	c.rounds(faultRounds)
}
