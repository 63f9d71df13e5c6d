package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

const (
	// maxIdle is how long a long-running task may be without a run while a worker
	// has room, from calmAfter after the last fault.
	maxIdle   = 3 * time.Second
	calmAfter = 4 * time.Second
	// judgedFor is how long a simulation is judged from calmAfter on.
	judgedFor = 12 * time.Second
	// stableAfter is how long a run must last to count: failing ones end before.
	stableAfter = 300 * time.Millisecond
	// longRunningDelay is how long a long-running task waits before it preempts.
	longRunningDelay = 200 * time.Millisecond
)

// longRunningStep returns a step of long-running tasks.
func longRunningStep(count int, milliCPU int64) carobkeel.Step {
	s := step(count, milliCPU)
	s.LongRunning = true
	return s
}

// endlessLongRunning lets the runs of long-running tasks last until they are
// stopped, and those of other tasks as long as estimated.
func (sim *simulation) endlessLongRunning() {
	sim.work = func(task carobkeel.TaskName, _ int) standin.Work {
		spec := sim.store.specs[task.Job]
		return standin.Work{
			Duration: spec.Steps[task.Step].Estimate, Outcome: runs.OutcomeDone, Endless: spec.Steps[task.Step].LongRunning,
		}
	}
}

// hostRunning returns the first host on which a task of the job runs, nil if
// there is none.
func (sim *simulation) hostRunning(job carobkeel.JobID) *host {
	for _, name := range sim.hosts {
		if sim.hostsOf(job)[name] > 0 {
			return sim.workers[name]
		}
	}
	return nil
}

// hasRoom reports whether a worker has room for twice the demand beside the runs
// of the highest priority.
func (sim *simulation) hasRoom(demand carobkeel.Resources) bool {
	for _, name := range sim.hosts {
		s := sim.workers[name]
		d := s.worker.Description()
		if s.workerDown || d.Draining || s.refusesOrders || (sim.failsOn != nil && sim.failsOn(name)) {
			continue
		}
		free := d.Capacity
		for _, task := range s.worker.Tasks() {
			if spec := sim.store.specs[task.Job]; spec.Queue.Priority == 0 {
				free = free.Sub(spec.Steps[task.Step].Reserved())
			}
		}
		if demand.Add(demand).FitsIn(free) {
			return true
		}
	}
	return false
}

// idleJudge finds long-running tasks that have no run although a worker has room.
type idleJudge struct {
	sim *simulation
	// since is when a task without a run began to be without one, or had no room.
	since map[carobkeel.TaskName]time.Duration
	// startedAt is when a task that has a run was first seen with it.
	startedAt map[carobkeel.TaskName]time.Duration
	from      time.Duration
}

// isStable reports whether a task has had a run for stableAfter, so that it does not
// just fail at once.
func (j *idleJudge) isStable(task carobkeel.TaskName, running bool) bool {
	if !running {
		return false
	}
	if _, seen := j.startedAt[task]; !seen {
		j.startedAt[task] = j.sim.now
	}
	return j.sim.now-j.startedAt[task] >= stableAfter
}

// check returns the tasks that have had no run, with room for them, for maxIdle.
func (j *idleJudge) check() []string {
	running := make(map[carobkeel.TaskName]bool)
	for _, name := range j.sim.hosts {
		for _, task := range j.sim.workers[name].worker.Tasks() {
			running[task] = true
		}
	}
	for task := range j.startedAt {
		if !running[task] {
			delete(j.startedAt, task)
		}
	}
	var idle []string
	for _, spec := range j.sim.store.jobs {
		for k := range spec.Steps {
			for i := range spec.Steps[k].Count {
				task := carobkeel.TaskName{Job: spec.ID, Step: k, Index: i}
				if !spec.Steps[k].LongRunning || j.sim.store.cancel[spec.ID] || j.isStable(task, running[task]) || !j.sim.hasRoom(spec.Steps[k].Reserved()) {
					j.since[task] = j.sim.now
				} else if since := max(j.since[task], j.from); j.sim.now-since >= maxIdle+stableAfter {
					idle = append(idle, fmt.Sprintf("%s has no run since %v, with room for it", task, since-time.Hour))
				}
			}
		}
	}
	return idle
}

// longRunningEvent draws and applies one event, and returns the number of jobs.
func (sim *simulation) longRunningEvent(draw drawer, jobs int) int {
	s := sim.workers[sim.hosts[draw("host", 0, len(sim.hosts)-1)]]
	newest := sim.holders[len(sim.holders)-1]
	switch draw("event", 0, 21) {
	case 0, 1, 2:
		sim.accept(drawJob(draw, jobs))
		return jobs + 1
	case 3, 4:
		spec := drawJob(draw, jobs)
		spec.Queue = testQueue(0, 3)
		spec.Steps = []carobkeel.Step{longRunningStep(draw("count", 1, 3), int64(draw("cpu", 1, 3))*1000)}
		sim.accept(spec)
		return jobs + 1
	case 5:
		newest.paused = true
		sim.takeOver()
	case 6:
		newest.ended = true
		sim.takeOver()
	case 7:
		s.partitioned = !s.partitioned
	case 8:
		s.crash()
		s.workerDown = false
	case 9:
		s.endWorker()
	case 10, 11:
		sim.restartSidecar(s, sim.now+heartbeatInterval)
	case 12:
		s.endWorker()
		sim.restartSidecar(s, sim.now+heartbeatInterval)
	case 13:
		s.workerUnreachable = !s.workerUnreachable
	case 14:
		s.refusesOrders = !s.refusesOrders
	case 15:
		late := time.Duration(draw("late", 0, 60)) * 100 * time.Millisecond
		share, n := draw("share", 1, 4), 0
		sim.loseAnswer = func() (bool, time.Duration) { n++; return n%share == 0, late }
	case 16:
		sim.failsOn = func(host string) bool { return host == s.name }
	case 17:
		s.worker.Drain(3 * time.Second)
	case 18:
		sim.delay = time.Duration(draw("delay", 0, 4)) * tick
	case 19:
		newest.core.WorkerShutDown(s.name, s.worker.Description().Incarnation)
		s.endWorker()
	case 20:
		s.worker.Stall(draw("stalled", 0, 1) == 1)
	case 21:
		if jobs > 0 {
			sim.store.cancel[sim.store.jobs[draw("cancel", 0, len(sim.store.jobs)-1)].ID] = true
		}
	}
	return jobs
}

// keepFault draws a fault of some hosts that lasts for the rest of the simulation.
func (sim *simulation) keepFault(draw drawer) {
	first, second := sim.hosts[draw("kept", 0, 1)], sim.hosts[draw("kept", 2, 3)]
	switch draw("keep", 0, 3) {
	case 0:
		sim.workers[first].refusesOrders = true
	case 1:
		sim.failsOn = func(host string) bool { return host == first }
	case 2:
		sim.failsOn = func(host string) bool { return host == first || host == second }
	}
}

// runLongRunningScenario injects faults in a drawn order, ends them all, and
// returns the first long-running tasks that are not restarted in time.
func runLongRunningScenario(sim *simulation, draw drawer) []string {
	checkStarts(sim)
	sim.endlessLongRunning()
	sim.takeOver()
	sim.run(time.Second)
	sim.submit(1_000_000, 0, longRunningStep(4, 1000))
	for i := range draw("background", 0, 3) {
		background := step(20, 2000)
		background.Estimate = 10 * time.Second
		sim.submit(1_000_001+i, 2, background)
	}
	jobs := 0
	for range draw("events", 5, 30) {
		jobs = sim.longRunningEvent(draw, jobs)
		for range draw("ticks", 1, 30) {
			sim.step()
			checkCapacity(sim)
		}
	}
	sim.endFaults(0)
	sim.keepFault(draw)
	judge := &idleJudge{sim: sim, since: make(map[carobkeel.TaskName]time.Duration), startedAt: make(map[carobkeel.TaskName]time.Duration), from: sim.calmFrom()}
	for end := judge.from + judgedFor; sim.now < end; {
		sim.step()
		if idle := judge.check(); len(idle) > 0 {
			return idle
		}
	}
	return nil
}

// calmFrom returns the time from which long-running tasks are judged: calmAfter
// from now on, or once no inherited lease can be valid any more.
func (sim *simulation) calmFrom() time.Duration {
	newest := sim.holders[len(sim.holders)-1]
	inherited := testAuthority + testLease
	return max(sim.now+calmAfter, newest.startedAt+inherited+inherited/50+200*time.Millisecond)
}

// longRunningSeeds is the number of fault sequences that TestLongRunningTasksAreRestarted
// runs. The environment variable LONG_RUNNING_SEEDS replaces it.
const longRunningSeeds = 300

func seedCount(t *testing.T, variable string, standard int) uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return uint64(standard)
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

// Each long-running task runs again soon after the last fault, in any order of faults.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	for seed := range seedCount(t, "LONG_RUNNING_SEEDS", longRunningSeeds) {
		random := rand.New(rand.NewPCG(seed, seed))
		sim := newSimulation(8000, 8000, 12000, 16000)
		idle := runLongRunningScenario(sim, func(_ string, low, high int) int { return low + random.IntN(high-low+1) })
		NewWithT(t).Expect(sim.record.Violations).To(BeEmpty(), "seed %d", seed)
		NewWithT(t).Expect(idle).To(BeEmpty(), "seed %d", seed)
	}
}

// The random search detects a rule that is broken on purpose.
func TestSearchFindsLongRunningTasksThatAreNotRestarted(t *testing.T) {
	for seed := range uint64(longRunningSeeds) {
		random := rand.New(rand.NewPCG(seed, seed))
		sim := newSimulation(8000, 8000, 12000, 16000)
		sim.broken.silentSidecar = true
		if idle := runLongRunningScenario(sim, func(_ string, low, high int) int { return low + random.IntN(high-low+1) }); len(idle) > 0 {
			t.Logf("seed %d: %s", seed, idle[0])
			return
		}
	}
	t.Fatalf("no idle task found in %d fault sequences", longRunningSeeds)
}

// The pings of a sidecar that knows no worker extend no lease.
func TestRestartedSidecarDoesNotProlongADeadWorkersLease(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	sim.endlessLongRunning()
	job := sim.submit(1, 0, longRunningStep(1, 1000))
	sim.run(time.Second)
	dead := sim.hostRunning(job)
	dead.endWorker()
	sim.run(time.Second)
	sim.restartSidecar(dead, sim.now+heartbeatInterval)
	sim.run(testLease + testLease/50 + 300*time.Millisecond)
	g.Expect(sim.hostRunning(job)).NotTo(BeNil())
}

// The sidecar's pings don't prolong the lease of a worker that has shut down.
func TestTasksOfAWorkerThatShutDownRestartAfterItsExit(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	sim.endlessLongRunning()
	job := sim.submit(1, 0, longRunningStep(1, 1000))
	sim.run(time.Second)
	left := sim.hostRunning(job)
	incarnation := left.worker.Description().Incarnation
	sim.holders[0].core.WorkerShutDown(left.name, incarnation)
	left.endWorker()
	sim.run(time.Second)
	g.Expect(sim.hostRunning(job)).NotTo(BeNil())
}

func TestLongRunningTaskDoesNotWaitForAStopThatIsRefused(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work { return standin.Work{Duration: time.Minute} }
	sim.submit(1, 2, step(4, 4000))
	sim.run(200 * time.Millisecond)
	lines := recordDecisions(sim, "preempted")
	job := sim.submit(2, 0, longRunningStep(1, 4000))
	sim.workers["host-0"].refusesOrders = true
	sim.workers["host-1"].refusesOrders = true
	for len(*lines) == 0 {
		sim.step()
	}
	sound := sim.workers["host-0"]
	if strings.Contains((*lines)[0], sound.name) {
		sound = sim.workers["host-1"]
	}
	sound.refusesOrders = false
	sim.run(maxIdle - longRunningDelay)
	g.Expect(sim.hostRunning(job)).To(Equal(sound))
}

// All runs fail on the only host with free room.
func TestLongRunningTaskLeavesAHostOnWhichItFails(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(2000, 8000)
	sim.endlessLongRunning()
	background := step(4, 2000)
	background.Estimate = time.Minute
	sim.failsOn = func(host string) bool { return host == "host-0" }
	sim.workers["host-0"].partitioned = true
	sim.run(2 * time.Second)
	sim.submit(1, 2, background)
	sim.run(200 * time.Millisecond)
	sim.workers["host-0"].partitioned = false
	sim.run(200 * time.Millisecond)
	job := sim.submit(2, 0, longRunningStep(1, 1000))
	sim.run(maxIdle)
	g.Expect(sim.hostRunning(job)).To(Equal(sim.workers["host-1"]))
}

// A restarted sidecar numbers its listings from one again.
func TestStoppedRunIsReleasedAlthoughListingNumbersBeginAnew(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000)
	sim.endlessLongRunning()
	orders := 0
	sim.loseAnswer = func() (bool, time.Duration) { orders++; return orders == 1, time.Hour }
	worker := sim.workers["host-0"]
	worker.listing = 1000
	job := sim.submit(1, 0, longRunningStep(1, 1000))
	for orders < 2 { // a start without an answer, and its stop
		sim.step()
	}
	sim.restartSidecar(worker, sim.now+heartbeatInterval)
	sim.run(heartbeatInterval + maxIdle)
	g.Expect(worker.listing).To(BeNumerically("<", 1000))
	g.Expect(sim.hostRunning(job)).NotTo(BeNil())
}
