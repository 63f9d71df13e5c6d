package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// watch adds the checks that need to know the jobs.
func watch(w *world) {
	specs := make(map[carobkeel.JobID]*carobkeel.JobSpec)
	w.record.OnStart = func(task carobkeel.TaskName, run int) {
		if len(specs) != len(w.store.jobs) {
			for _, s := range w.store.jobs {
				specs[s.ID] = s
			}
		}
		spec := specs[task.Job]
		step := spec.Steps[task.Step]
		for _, earlier := range step.After {
			for i := range spec.Steps[earlier].Count {
				before := carobkeel.TaskName{Job: task.Job, Occurrence: task.Occurrence, Step: earlier, Index: i}
				if !spec.Steps[earlier].Gang && w.record.Starts[before] == 0 {
					w.record.Wrong = append(w.record.Wrong, fmt.Sprintf("%s started before %s", task, before))
				}
			}
		}
		if w.record.Failed[task] >= spec.Queue.MaxAttempts {
			w.record.Wrong = append(w.record.Wrong, fmt.Sprintf("%s started after its last attempt", task))
		}
	}
}

// checkRoom fails where the runs on a worker exceed its capacity.
func checkRoom(w *world) {
	specs := make(map[carobkeel.JobID]*carobkeel.JobSpec)
	for _, s := range w.store.jobs {
		specs[s.ID] = s
	}
	for _, name := range w.hosts {
		var used carobkeel.Resources
		for _, task := range w.workers[name].worker.Tasks() {
			used = used.Add(specs[task.Job].Steps[task.Step].Reserved())
		}
		if d := w.workers[name].worker.Description(); !used.FitsIn(d.Capacity) {
			w.record.Wrong = append(w.record.Wrong, fmt.Sprintf("%s holds %+v", name, used))
		}
	}
}

// play lets faults happen in an order that is drawn, and then ends them all.
func play(w *world, draw drawer) {
	watch(w)
	durations := make([]time.Duration, 8)
	for i := range durations {
		durations[i] = time.Duration(draw("duration", 1, 40)) * 100 * time.Millisecond
	}
	failing := 0
	if w.failures {
		failing = draw("failing", 2, 12)
	}
	w.work = func(task carobkeel.TaskName, run int) standin.Work {
		work := standin.Work{Duration: durations[(task.Index+task.Step*3)%len(durations)], Outcome: runs.OutcomeDone}
		if failing > 0 && (run+task.Index)%failing == 0 {
			work.Outcome = runs.OutcomeFailed
		}
		return work
	}
	w.takeOver()
	w.run(time.Second)
	jobs := 0
	for range draw("events", 5, 30) {
		jobs = w.disturb(draw, jobs)
		for range draw("ticks", 1, 30) {
			w.step()
			checkRoom(w)
		}
	}
	w.settleAll(90 * time.Second)
}

// disturb draws one event and returns the number of jobs.
func (w *world) disturb(draw drawer, jobs int) int {
	s := w.workers[w.hosts[draw("host", 0, len(w.hosts)-1)]]
	newest := w.holders[len(w.holders)-1]
	switch draw("event", 0, w.events) {
	case 0, 1, 2:
		w.accept(drawJob(draw, jobs))
		return jobs + 1
	case 3:
		newest.frozen = true
		w.takeOver()
	case 4:
		newest.cut = true
		w.takeOver()
	case 5:
		newest.dead = true
		w.takeOver()
	case 6:
		s.cut = !s.cut
	case 7:
		s.worker.Crash()
	case 8:
		w.store.away = !w.store.away
	case 9:
		late := time.Duration(draw("late", 0, 60)) * 100 * time.Millisecond
		share := draw("share", 1, 4)
		n := 0
		w.lose = func() (bool, time.Duration) { n++; return n%share == 0, late }
	case 11:
		s.deaf = !s.deaf
	case 12:
		w.delay = time.Duration(draw("delay", 0, 4)) * tick
	case 10:
		for _, h := range w.holders {
			h.frozen = false
		}
		if jobs > 0 && draw("cancel", 0, 1) == 1 {
			w.store.cancel[w.store.jobs[jobs-1].ID] = true
		}
	}
	return jobs
}

// mostFailures returns how often the task of a job failed that failed most.
func (w *world) mostFailures(spec *carobkeel.JobSpec) int {
	most := 0
	for task, n := range w.record.FailedRuns {
		if task.Job == spec.ID {
			most = max(most, n)
		}
	}
	return most
}

// Whatever fails and in whatever order: no task runs in two places, none starts
// before its predecessors or after its last attempt, no worker is filled beyond
// its capacity, and once the faults are over every job ends.
func TestFaultsInRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(8000, 8000, 12000, 16000)
		w.trace = func(line string) { t.Log(line) }
		w.failures = true
		w.events = 12
		play(w, func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(t, label) })
		NewWithT(t).Expect(w.record.Wrong).To(BeEmpty())
		for _, spec := range w.store.jobs {
			state := w.store.progress[spec.ID].State
			NewWithT(t).Expect(state.IsFinal()).To(BeTrue(), "job %s is %s", spec.ID, state)
			if state == carobkeel.JobFailed {
				NewWithT(t).Expect(w.mostFailures(spec)).To(BeNumerically(">=", spec.Queue.MaxAttempts), "job %s", spec.ID)
			}
			if state == carobkeel.JobCancelled {
				NewWithT(t).Expect(w.store.cancel[spec.ID]).To(BeTrue())
			}
		}
	})
}

// brokenSeeds is how many orders of faults are searched for a broken rule.
const brokenSeeds = 400

// The search finds each rule that is broken on purpose.
func TestSearchFindsBrokenDispatchRules(t *testing.T) {
	for name, rules := range map[string]broken{
		"a new holder forgets what unreachable workers may run": {forgetInherited: true},
		"runs are given up before their lease lapses":           {shortLease: true},
		"an order without an answer is taken as refused":        {trustSilence: true},
		"ends are acknowledged before they are stored":          {earlyAcknowledge: true},
		"orders are not fenced":                                 {noFence: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(brokenSeeds) {
				random := rand.New(rand.NewPCG(seed, seed))
				w := newWorld(8000, 8000, 12000, 16000)
				w.broken = rules
				play(w, func(_ string, low, high int) int { return low + random.IntN(high-low+1) })
				if len(w.record.Wrong) > 0 {
					t.Logf("seed %d: %s", seed, w.record.Wrong[0])
					return
				}
			}
			t.Fatalf("not found in %d orders of faults", brokenSeeds)
		})
	}
}
