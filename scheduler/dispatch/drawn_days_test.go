package dispatch_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

const (
	// maxTimeWithoutRun is how long a long-running task may have no run while a
	// worker has room for it.
	maxTimeWithoutRun = 3 * time.Second
	// settlingTime is how long a shard may take after a fault.
	settlingTime = 4 * time.Second
	// roomFactor is how many times over a task must fit for a worker to count as
	// having room.
	roomFactor = 2
)

// longRunningCheck records a violation when a long-running task has had no run
// for maxTimeWithoutRun while workers had room for it and no fault was near.
// Planned drains, jobs that can't succeed and failures of the tasks themselves
// are no faults.
type longRunningCheck struct {
	sim         *simulation
	lastFault   time.Duration
	waitingFrom map[carobkeel.TaskName]time.Duration
	reported    map[carobkeel.TaskName]bool
}

func newLongRunningCheck(sim *simulation) *longRunningCheck {
	return &longRunningCheck{
		sim: sim, lastFault: sim.now,
		waitingFrom: make(map[carobkeel.TaskName]time.Duration), reported: make(map[carobkeel.TaskName]bool),
	}
}

// observe checks one moment.
func (c *longRunningCheck) observe() {
	running := make(map[carobkeel.TaskName]bool)
	for _, name := range c.sim.hosts {
		if c.sim.workers[name].fault == isolated {
			continue
		}
		for _, task := range c.sim.workers[name].worker.Tasks() {
			running[task] = true
		}
	}
	for _, spec := range c.sim.store.jobs {
		if c.sim.store.cancel[spec.ID] {
			continue
		}
		for i := range spec.Steps {
			if spec.Steps[i].LongRunning {
				c.observeStep(spec, i, running)
			}
		}
	}
}

func (c *longRunningCheck) observeStep(spec *carobkeel.JobSpec, step int, running map[carobkeel.TaskName]bool) {
	hasRoom, known := false, false
	for i := range spec.Steps[step].Count {
		task := carobkeel.TaskName{Job: spec.ID, Step: step, Index: i}
		if running[task] {
			delete(c.waitingFrom, task)
			continue
		}
		if !known {
			hasRoom, known = c.hasRoom(spec, step), true
		}
		since, waits := c.waitingFrom[task]
		switch {
		case !hasRoom:
			delete(c.waitingFrom, task)
		case !waits:
			c.waitingFrom[task] = c.sim.now
		case c.sim.now-max(since, c.lastFault+settlingTime) >= maxTimeWithoutRun && !c.reported[task]:
			c.reported[task] = true
			c.sim.record.Violations = append(c.sim.record.Violations,
				fmt.Sprintf("%v: %s has had no run since %v", c.sim.now-time.Hour, task, since-time.Hour))
		}
	}
}

// hasRoom reports whether a sound worker has room for a task of the step.
func (c *longRunningCheck) hasRoom(spec *carobkeel.JobSpec, step int) bool {
	demand := spec.Steps[step].Reserved()
	for range roomFactor - 1 {
		demand = demand.Add(spec.Steps[step].Reserved())
	}
	for _, name := range c.sim.hosts {
		s := c.sim.workers[name]
		d := s.worker.Description()
		if s.fault != sound || s.partitioned || d.Draining || d.Service != spec.Queue.Service {
			continue
		}
		free, ofStep := d.Capacity, 0
		for _, task := range s.worker.Tasks() {
			free = free.Sub(c.sim.store.specs[task.Job].Steps[task.Step].Reserved())
			if task.Job == spec.ID && task.Step == step {
				ofStep++
			}
		}
		if limit := spec.Steps[step].MaxPerWorker; demand.FitsIn(free) && (limit == 0 || ofStep < limit) {
			return true
		}
	}
	return false
}

// disturbance plays a day of faults, planned drains, bursts and jobs that can't
// succeed, drawn by a seed.
type disturbance struct {
	sim    *simulation
	seed   uint64
	random *rand.Rand
	check  *longRunningCheck
	jobs   int
	// hopeless holds the jobs that can't succeed, and batch the number of jobs
	// of each burst.
	hopeless map[carobkeel.JobID]bool
	// eventTicks is the mean number of ticks between two events of a kind.
	eventTicks int
	// failurePercent is the share of a long-running task's runs that fail within
	// seconds.
	failurePercent int
	drainingUntil  map[string]time.Duration
	// removed holds the workers that were scaled in.
	removed map[string]bool
	// longRunningPriority is the priority of the long-running jobs' queue.
	longRunningPriority int
}

const (
	minDisturbedWorkers = 3
	disturbedTime       = 40 * time.Second
)

func newDisturbance(seed uint64) *disturbance {
	random := rand.New(rand.NewPCG(seed, seed))
	capacities := []int64{8000, 16000, 12000, 8000, 12000, 16000, 8000, 8000, 16000, 12000}
	sim := newSimulation(capacities[:minDisturbedWorkers+random.IntN(len(capacities)-minDisturbedWorkers+1)]...)
	d := &disturbance{
		sim: sim, seed: seed, random: random, hopeless: make(map[carobkeel.JobID]bool),
		drainingUntil: make(map[string]time.Duration), removed: make(map[string]bool),
	}
	d.failurePercent = d.between(0, 40)
	d.eventTicks = d.between(15, 80)
	d.longRunningPriority = d.between(0, 1)
	sim.workOn = d.work
	sim.takeOver()
	sim.run(time.Second)
	d.check = newLongRunningCheck(sim)
	return d
}

func (d *disturbance) between(low, high int) int { return low + d.random.IntN(high-low+1) }

func (d *disturbance) millis(low, high int) time.Duration {
	return time.Duration(d.between(low, high)) * time.Millisecond
}

// work returns the behaviour of a run on a host. It is drawn from the run's
// name, so that it does not depend on the order of starts.
func (d *disturbance) work(host string, task carobkeel.TaskName, run int) standin.Work {
	h := fnv.New64()
	fmt.Fprint(h, task, run)
	random := rand.New(rand.NewPCG(d.seed, h.Sum64()))
	millis := func(low, high int) time.Duration {
		return time.Duration(low+random.IntN(high-low+1)) * time.Millisecond
	}
	longRunning := d.sim.store.specs[task.Job].Steps[task.Step].LongRunning
	switch {
	case d.sim.workers[host].fault == failing, d.hopeless[task.Job]:
		return standin.Work{Duration: millis(50, 800), Outcome: runs.OutcomeFailed}
	case longRunning && random.IntN(100) < d.failurePercent:
		return standin.Work{Duration: millis(500, 8000), Outcome: runs.OutcomeFailed}
	case longRunning:
		return standin.Work{Endless: true}
	}
	return standin.Work{Duration: millis(300, 2500), Outcome: runs.OutcomeDone}
}

func (d *disturbance) submit(priority int, s carobkeel.Step) carobkeel.JobID {
	d.jobs++
	return d.sim.submit(d.jobs, priority, s)
}

// play runs the day. Faults come in the first part of each cycle, so that the
// second part is calm.
func (d *disturbance) play() {
	for range 3 {
		job := step(d.between(2, 8), int64(d.between(2, 15))*100)
		job.LongRunning, job.LatencyTarget = true, 300*time.Millisecond
		job.MaxPerWorker = d.between(0, 2)
		if d.between(0, 5) == 0 {
			job.BestEffort, job.LatencyTarget = true, 0
		}
		d.submit(d.longRunningPriority, job)
	}
	for end := d.sim.now + disturbedTime; d.sim.now < end; {
		for range d.between(0, 4) {
			d.fault()
		}
		d.events(d.millis(500, 6000))
		d.endFaults()
		d.events(d.millis(8000, 14000))
	}
}

// events submits jobs and plans drains for a time.
func (d *disturbance) events(duration time.Duration) {
	for end := d.sim.now + duration; d.sim.now < end; d.advance() {
		switch d.random.IntN(d.eventTicks) {
		case 0:
			for range d.between(1, 8) {
				d.submitHopeless()
			}
		case 1, 2, 3:
			d.submit(d.between(0, 2), step(d.between(1, 10), int64(d.between(2, 20))*100))
		case 4:
			for range d.between(2, 10) {
				d.submitBurst()
			}
		case 5:
			d.drain()
		case 6:
			d.scaleOut()
		}
	}
}

func (d *disturbance) submitHopeless() {
	job := step(d.between(1, 20), int64(d.between(1, 20))*100)
	job.BestEffort = d.between(0, 2) == 0
	d.hopeless[d.submit(d.between(0, 2), job)] = true
}

func (d *disturbance) submitBurst() {
	job := step(d.between(5, 20), int64(d.between(5, 40))*100)
	job.BestEffort = d.between(0, 3) == 0
	job.Gang = d.between(0, 5) == 0
	job.SavesProgress = d.between(0, 1) == 0
	d.submit(d.between(0, 2), job)
}

// drain empties a worker, which restarts some seconds later.
func (d *disturbance) drain() {
	name := d.sim.hosts[d.random.IntN(len(d.sim.hosts))]
	if s := d.sim.workers[name]; s.fault == sound && !d.removed[name] && d.drainingUntil[name] == 0 {
		s.worker.Drain(5 * time.Second)
		d.drainingUntil[name] = d.sim.now + d.millis(4000, 7000)
	}
}

// shutDown ends a worker in an orderly way. Another one starts in its place at
// once or, if it was scaled in, some time later.
func (d *disturbance) shutDown(s *host) {
	d.sim.holders[0].core.WorkerShutDown(s.name, s.worker.Description().Incarnation)
	s.crash()
	if d.between(0, 1) == 0 {
		d.removed[s.name] = true
		s.partitioned = true
	}
}

// scaleOut starts a worker on a host whose worker was removed.
func (d *disturbance) scaleOut() {
	for _, name := range d.sim.hosts {
		if d.removed[name] {
			delete(d.removed, name)
			d.sim.workers[name].partitioned = false
			return
		}
	}
}

func (d *disturbance) fault() {
	s := d.sim.workers[d.sim.hosts[d.random.IntN(len(d.sim.hosts))]]
	if d.removed[s.name] {
		return
	}
	s.setFault(faultKind(d.between(int(failing), int(isolated))))
	if d.random.IntN(5) == 0 {
		s.crash()
	}
	d.check.lastFault = d.sim.now
}

func (d *disturbance) endFaults() {
	for _, s := range d.sim.workers {
		if s.fault != sound {
			s.setFault(sound)
			d.check.lastFault = d.sim.now
		}
	}
}

func (d *disturbance) advance() {
	for name, until := range d.drainingUntil {
		if until > 0 && d.sim.now >= until {
			d.drainingUntil[name] = 0
			d.shutDown(d.sim.workers[name])
		}
	}
	d.sim.step()
	for _, s := range d.sim.workers {
		if s.fault != sound {
			d.check.lastFault = d.sim.now
		}
	}
	d.check.observe()
}

func TestLongRunningTaskWaitsWhileAWorkerHasRoom(t *testing.T) {
	for seed := range uint64(disturbedDays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			d := newDisturbance(seed)
			waiting := recordDecisions(d.sim, "task waiting")
			d.play()
			NewWithT(t).Expect(d.sim.record.Violations).To(BeEmpty(), "%s", strings.Join(*waiting, "\n"))
		})
	}
}

// disturbedDays is the number of drawn days.
const disturbedDays = 6
