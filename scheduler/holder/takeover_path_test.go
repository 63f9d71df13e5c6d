package holder_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/scheduler/holder"
)

func TestAnotherEntryTakesOverAndFinishesJobs(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 3, 2)
	g.Eventually(f.leader, waitTimeout).ShouldNot(BeNil())
	old := f.leader()
	var jobs []carobkeel.JobID
	var survivor *entry
	for n, e := range f.entries {
		if e != old {
			survivor = e
			jobs = append(jobs, f.submit(g, e, n))
		}
	}
	old.stop()
	for _, job := range jobs {
		g.Eventually(state(survivor, job), waitTimeout).Should(Equal(carobkeel.JobCompleted))
	}
	jobs = append(jobs, f.submit(g, survivor, 100))
	g.Eventually(state(survivor, jobs[len(jobs)-1]), waitTimeout).Should(Equal(carobkeel.JobCompleted))
	g.Expect(f.violations()).To(BeEmpty())
}

func TestNewHolderWaitsOneLeaseAfterPredecessorSteppedDown(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 2, 0)
	lost, loseHost := f.startWorker(t, "host-0")
	g.Expect(f.entries[0].jobs.Submit(context.Background(), longRunningJob())).To(Succeed())
	g.Eventually(lost.countTasks, waitTimeout).Should(Equal(1))
	other, _ := f.startWorker(t, "host-1")
	loseHost()
	f.leader().node.Resign()
	g.Eventually(lost.countTasks, waitTimeout).Should(BeZero())
	g.Eventually(other.countTasks, 6*time.Second).Should(Equal(1))
	g.Expect(f.violations()).To(BeEmpty())
}

// How long it may take is in TestTaskOfALostHostStartsInTimeUnderANewHolder, in virtual time.
func TestTaskRestartsAfterTheHoldersHostAndAWorkersHostAreLost(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 2, 0)
	lost, loseHost := f.startWorker(t, "host-0")
	g.Expect(f.entries[0].jobs.Submit(context.Background(), longRunningJob())).To(Succeed())
	g.Eventually(lost.countTasks, waitTimeout).Should(Equal(1))
	other, _ := f.startWorker(t, "host-1")
	f.leader().stop()
	loseHost()
	f.mu.Lock()
	lost.worker.Crash()
	f.mu.Unlock()
	g.Eventually(other.countTasks, waitTimeout).Should(Equal(1))
	g.Expect(f.violations()).To(BeEmpty())
}

// Other entries must not take over because reading takes longer than a second.
func TestNewHolderMayReadALargeShard(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 3, 1)
	g.Eventually(f.leader, waitTimeout).ShouldNot(BeNil())
	f.rows.DelayScans(holder.TableJobs, 1500*time.Millisecond)
	f.leader().node.Resign()
	g.Eventually(f.leader, waitTimeout).Should(BeNil())
	g.Eventually(f.leader, waitTimeout).ShouldNot(BeNil())
}

func TestHolderThatResignsIsReplaced(t *testing.T) {
	g := NewWithT(t)
	f := startCluster(t, 2, 1)
	g.Eventually(f.leader, waitTimeout).ShouldNot(BeNil())
	old := f.leader()
	old.node.Resign()
	g.Eventually(func() bool { next := f.leader(); return next != nil && next != old }, waitTimeout).Should(BeTrue())
}
