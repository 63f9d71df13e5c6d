package worker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// failureSimulation runs tasks of random jobs on random workers. Some workers and
// jobs are broken.
type failureSimulation struct {
	rng         *rand.Rand
	q           *worker.Quarantine
	workers     int
	jobs        int
	badWorkers  map[int]bool
	badJobs     map[int]bool
	quarantined map[worker.ID]bool
	held        map[carobkeel.JobID]bool
	now         time.Time
}

func newFailureSimulation(seed uint64, workers, jobs int, badWorkers, badJobs map[int]bool) *failureSimulation {
	return &failureSimulation{
		rng: rand.New(rand.NewPCG(seed, 0)), q: worker.NewQuarantine(worker.DefaultQuarantinePolicy()),
		workers: workers, jobs: jobs, badWorkers: badWorkers, badJobs: badJobs,
		quarantined: map[worker.ID]bool{}, held: map[carobkeel.JobID]bool{}, now: epoch,
	}
}

func jobID(i int) carobkeel.JobID { return carobkeel.JobID(fmt.Sprintf("j%d", i)) }

func (f *failureSimulation) run(tasks int) {
	for range tasks {
		w, j := f.rng.IntN(f.workers), f.rng.IntN(f.jobs)
		// A worker on which all tasks fail at once is always free, so it is chosen
		// often.
		for bad := range f.badWorkers {
			if f.rng.IntN(3) == 0 {
				w = bad
			}
		}
		if f.quarantined[workerID(w)] || f.held[jobID(j)] {
			continue
		}
		f.now = f.now.Add(time.Second)
		failed := f.badWorkers[w] || f.badJobs[j] || f.rng.IntN(100) == 0
		f.q.Observe(worker.TaskOutcome{Worker: workerID(w), Job: jobID(j), Failed: failed, At: f.now})
		if f.q.Held(jobID(j), f.now) {
			f.held[jobID(j)] = true
		}
		f.review()
	}
}

func (f *failureSimulation) review() (released []worker.ID) {
	quarantined, released := f.q.Update(f.workers, f.now)
	for _, id := range released {
		delete(f.quarantined, id)
	}
	for _, id := range quarantined {
		f.quarantined[id] = true
	}
	return released
}

func TestBrokenWorkerAndBrokenJobAreDistinguished(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		f := newFailureSimulation(seed, 60, 40, map[int]bool{3: true}, map[int]bool{7: true, 8: true})
		f.run(1500)
		g.Expect(f.quarantined).To(HaveLen(1), "seed %d", seed)
		g.Expect(f.quarantined).To(HaveKey(worker.ID("w3")), "seed %d", seed)
		g.Expect(f.held).To(HaveLen(2), "seed %d", seed)
		g.Expect(f.held).To(HaveKey(carobkeel.JobID("j7")), "seed %d", seed)
		g.Expect(f.held).To(HaveKey(carobkeel.JobID("j8")), "seed %d", seed)
	}
}

func TestManyFailuresOfOneJobQuarantineNoWorker(t *testing.T) {
	g := NewWithT(t)
	q := worker.NewQuarantine(worker.DefaultQuarantinePolicy())
	for i := range 200 {
		at := epoch.Add(time.Duration(i) * time.Second)
		q.Observe(worker.TaskOutcome{Worker: workerID(i % 10), Job: "broken", Failed: true, At: at})
		quarantined, _ := q.Update(10, at)
		g.Expect(quarantined).To(BeEmpty())
	}
	g.Expect(q.Held("broken", epoch.Add(200*time.Second))).To(BeTrue())
}

func TestABrokenWorkerFailsFewTasksAndHoldsNoJob(t *testing.T) {
	g := NewWithT(t)
	q := worker.NewQuarantine(worker.DefaultQuarantinePolicy())
	tasks := 0
	for ; tasks < 50; tasks++ {
		at := epoch.Add(time.Duration(tasks) * 50 * time.Millisecond)
		q.Observe(worker.TaskOutcome{Worker: "bad", Job: jobID(tasks), Failed: true, At: at})
		g.Expect(q.Held(jobID(tasks), at)).To(BeFalse())
		if quarantined, _ := q.Update(100, at); len(quarantined) > 0 {
			break
		}
	}
	g.Expect(tasks).To(BeNumerically("<=", 5))
}

func TestQuarantineIsLimitedToMaxShare(t *testing.T) {
	g := NewWithT(t)
	bad := map[int]bool{}
	for i := range 30 {
		bad[i] = true
	}
	f := newFailureSimulation(1, 100, 200, nil, nil)
	f.badWorkers = bad
	for i := range 3000 {
		f.now = f.now.Add(time.Second)
		w := f.rng.IntN(f.workers)
		if !f.quarantined[workerID(w)] {
			f.q.Observe(worker.TaskOutcome{Worker: workerID(w), Job: jobID(i), Failed: bad[w], At: f.now})
		}
		f.review()
		g.Expect(len(f.quarantined)).To(BeNumerically("<=", 5))
	}
	for id := range f.quarantined {
		var n int
		_, err := fmt.Sscanf(string(id), "w%d", &n)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bad).To(HaveKey(n))
	}
}

func TestReleasedWorkerIsClearedOrQuarantinedForLonger(t *testing.T) {
	g := NewWithT(t)
	f := newFailureSimulation(1, 60, 40, map[int]bool{3: true}, nil)
	f.run(300)
	g.Expect(f.quarantined).To(HaveKey(worker.ID("w3")))
	f.now = f.now.Add(11 * time.Minute)
	g.Expect(f.review()).To(ConsistOf(worker.ID("w3")))
	for i := range 5 {
		f.q.Observe(worker.TaskOutcome{Worker: "w3", Job: jobID(100 + i), Failed: true, At: f.now})
	}
	f.review()
	g.Expect(f.quarantined).To(HaveKey(worker.ID("w3")), "still broken")
	f.now = f.now.Add(11 * time.Minute)
	g.Expect(f.review()).To(BeEmpty(), "the second quarantine lasts longer")
	f.now = f.now.Add(10 * time.Minute)
	g.Expect(f.review()).To(ConsistOf(worker.ID("w3")))
	for i := range 5 {
		f.q.Observe(worker.TaskOutcome{Worker: "w3", Job: jobID(200 + i), At: f.now})
	}
	f.review()
	g.Expect(f.quarantined).To(BeEmpty())
}

func TestRepeatedFailuresOfOneJobCountOnce(t *testing.T) {
	g := NewWithT(t)
	q := worker.NewQuarantine(worker.DefaultQuarantinePolicy())
	q.Observe(worker.TaskOutcome{Worker: "w", Job: "j", Failed: true, At: epoch})
	once, _ := q.WorkerEvidence("w", epoch)
	for range 20 {
		q.Observe(worker.TaskOutcome{Worker: "w", Job: "j", Failed: true, At: epoch})
	}
	often, jobs := q.WorkerEvidence("w", epoch)
	g.Expect(often).To(Equal(once))
	g.Expect(jobs).To(Equal(1))
}
