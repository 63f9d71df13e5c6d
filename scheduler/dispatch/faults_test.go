package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// checkStarts adds the checks of each start that need the job specifications:
// predecessors have started, and attempts are left.
func checkStarts(sim *simulation) {
	specs := make(map[carobkeel.JobID]*carobkeel.JobSpec)
	sim.record.OnStart = func(task carobkeel.TaskName, run int) {
		if len(specs) != len(sim.store.jobs) {
			for _, s := range sim.store.jobs {
				specs[s.ID] = s
			}
		}
		spec := specs[task.Job]
		step := spec.Steps[task.Step]
		for _, earlier := range step.After {
			for i := range spec.Steps[earlier].Count {
				predecessor := carobkeel.TaskName{Job: task.Job, Occurrence: task.Occurrence, Step: earlier, Index: i}
				if !spec.Steps[earlier].Gang && sim.record.Starts[predecessor] == 0 {
					sim.record.Violations = append(sim.record.Violations, fmt.Sprintf("%s started before %s", task, predecessor))
				}
			}
		}
		if !step.LongRunning && sim.record.Failed[task] >= spec.Queue.MaxAttempts {
			sim.record.Violations = append(sim.record.Violations, fmt.Sprintf("%s started after its last attempt", task))
		}
	}
}

// checkCapacity records a violation if the runs on a worker exceed its
// capacity.
func checkCapacity(sim *simulation) {
	specs := make(map[carobkeel.JobID]*carobkeel.JobSpec)
	for _, s := range sim.store.jobs {
		specs[s.ID] = s
	}
	for _, name := range sim.hosts {
		var used carobkeel.Resources
		for _, task := range sim.workers[name].worker.Tasks() {
			used = used.Add(specs[task.Job].Steps[task.Step].Reserved())
		}
		if d := sim.workers[name].worker.Description(); !used.FitsIn(d.Capacity) {
			sim.record.Violations = append(sim.record.Violations, fmt.Sprintf("%s holds %+v", name, used))
		}
	}
}

// runScenario injects faults in a drawn order, ends them all, and lets the
// simulation recover.
func runScenario(sim *simulation, draw drawer) {
	checkStarts(sim)
	durations := make([]time.Duration, 8)
	for i := range durations {
		durations[i] = time.Duration(draw("duration", 1, 40)) * 100 * time.Millisecond
	}
	failing := 0
	if sim.failures {
		failing = draw("failing", 2, 12)
	}
	sim.work = func(task carobkeel.TaskName, run int) standin.Work {
		work := standin.Work{Duration: durations[(task.Index+task.Step*3)%len(durations)], Outcome: runs.OutcomeDone}
		if failing > 0 && (run+task.Index)%failing == 0 {
			work.Outcome = runs.OutcomeFailed
		}
		return work
	}
	sim.takeOver()
	sim.run(time.Second)
	jobs := 0
	for range draw("events", 5, 30) {
		jobs = sim.applyEvent(draw, jobs)
		for range draw("ticks", 1, 30) {
			sim.step()
			checkCapacity(sim)
		}
	}
	sim.endFaults(90 * time.Second)
}

// applyEvent draws and applies one event, and returns the number of jobs.
func (sim *simulation) applyEvent(draw drawer, jobs int) int {
	s := sim.workers[sim.hosts[draw("host", 0, len(sim.hosts)-1)]]
	newest := sim.holders[len(sim.holders)-1]
	switch draw("event", 0, sim.events) {
	case 0, 1, 2:
		sim.accept(drawJob(draw, jobs))
		return jobs + 1
	case 3:
		newest.paused = true
		sim.takeOver()
	case 4:
		newest.partitioned = true
		sim.takeOver()
	case 5:
		newest.ended = true
		sim.takeOver()
	case 6:
		s.partitioned = !s.partitioned
	case 7:
		s.crash()
	case 8:
		sim.store.unavailable = !sim.store.unavailable
	case 9:
		late := time.Duration(draw("late", 0, 60)) * 100 * time.Millisecond
		share := draw("share", 1, 4)
		n := 0
		sim.loseAnswer = func() (bool, time.Duration) { n++; return n%share == 0, late }
	case 11:
		s.workerUnreachable = !s.workerUnreachable
	case 13:
		describedFrom := sim.now + time.Duration(draw("described", 0, 50))*100*time.Millisecond
		if len(sim.delayed) == 0 { // a start that is carried out late could not be stopped until then
			sim.restartSidecar(s, describedFrom)
		}
	case 14:
		s.listingsLost = !s.listingsLost
	case 15:
		s.cutAfterRequest = true
	case 16:
		s.partitioned = true
		s.relinkedAt = sim.now + time.Duration(draw("relinked", 0, 32))*100*time.Millisecond
		sim.replaceEndedHolder()
	case 12:
		sim.delay = time.Duration(draw("delay", 0, 4)) * tick
	case 10:
		for _, h := range sim.holders {
			h.paused = false
		}
		if jobs > 0 && draw("cancel", 0, 1) == 1 {
			sim.store.cancel[sim.store.jobs[jobs-1].ID] = true
		}
	}
	return jobs
}

// replaceEndedHolder ends the newest holder and has another one take over, which knows that it has
// ended unless an earlier one may still go on.
func (sim *simulation) replaceEndedHolder() {
	sim.holders[len(sim.holders)-1].ended = true
	goesOn := slices.ContainsFunc(sim.holders, func(h *holder) bool { return !h.ended })
	next := sim.takeOver()
	if !goesOn {
		next.core.LimitInheritedLease(testLease)
	}
}

// mostFailures returns the largest number of failed runs of any task or gang of a job. The members
// of a gang share the numbers of their runs, and each run of which a member fails counts once.
func (sim *simulation) mostFailures(spec *carobkeel.JobSpec) int {
	failed := make(map[carobkeel.TaskName]map[int]bool)
	for task, numbers := range sim.record.FailedRuns {
		if task.Job != spec.ID {
			continue
		}
		if spec.Steps[task.Step].Gang {
			task.Index = 0
		}
		if failed[task] == nil {
			failed[task] = make(map[int]bool)
		}
		for _, number := range numbers {
			failed[task][number] = true
		}
	}
	most := 0
	for _, numbers := range failed {
		most = max(most, len(numbers))
	}
	return most
}

// TestFaultsInRandomOrder checks that under any order of faults no task runs in
// two places, no task starts before its predecessors or after its last attempt,
// no worker is filled beyond its capacity, and every job ends once the faults
// are over.
func TestFaultsInRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(8000, 8000, 12000, 16000)
		sim.trace = func(line string) { t.Log(line) }
		sim.failures = true
		sim.events = 16
		runScenario(sim, func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) })
		NewWithT(t).Expect(sim.record.Violations).To(BeEmpty())
		for _, spec := range sim.store.jobs {
			state := sim.store.progress[spec.ID].State
			NewWithT(t).Expect(state.IsFinal()).To(BeTrue(), "job %s is %s", spec.ID, state)
			if state == carobkeel.JobFailed {
				NewWithT(t).Expect(sim.mostFailures(spec)).To(BeNumerically(">=", spec.Queue.MaxAttempts), "job %s", spec.ID)
			}
			if state == carobkeel.JobCancelled {
				NewWithT(t).Expect(sim.store.cancel[spec.ID]).To(BeTrue())
			}
		}
	})
}

// brokenSeeds is the number of fault sequences that are searched for the effect
// of a broken rule.
const brokenSeeds = 400

// TestSearchFindsBrokenDispatchRules checks that the random search detects each
// rule that is broken on purpose.
func TestSearchFindsBrokenDispatchRules(t *testing.T) {
	for name, rules := range map[string]brokenRules{
		"a new holder forgets what unreachable workers may run": {forgetInherited: true},
		"runs are given up before their lease lapses":           {shortLease: true},
		"an order without an answer is taken as refused":        {unansweredIsRefused: true},
		"ends are acknowledged before they are stored":          {earlyAcknowledge: true},
		"orders are not fenced":                                 {withoutFencing: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(brokenSeeds) {
				random := rand.New(rand.NewPCG(seed, seed))
				sim := newSimulation(8000, 8000, 12000, 16000)
				sim.broken = rules
				runScenario(sim, func(_ string, low, high int) int { return low + random.IntN(high-low+1) })
				if len(sim.record.Violations) > 0 {
					t.Logf("seed %d: %s", seed, sim.record.Violations[0])
					return
				}
			}
			t.Fatalf("no violation of the broken rule found in %d fault sequences", brokenSeeds)
		})
	}
}
