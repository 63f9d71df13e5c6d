package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
	"github.com/carobkeel/carobkeel/worker/runs/standin"
)

// The task fails each second while configurations with and without its queue alternate.
func TestLongRunningTaskRestartsUnderEveryConfiguration(t *testing.T) {
	g := NewWithT(t)
	sim := startedSimulation(8000, 8000)
	sim.work = func(carobkeel.TaskName, int) standin.Work {
		return standin.Work{Duration: time.Second, Outcome: runs.OutcomeFailed}
	}
	longRunning := step(2, 1000)
	longRunning.LongRunning = true
	job := sim.submit(1, 0, longRunning)
	sim.run(200 * time.Millisecond)
	for version := range 40 {
		config := &carobkeel.QueueConfig{Version: carobkeel.Revision(version + 1)}
		if version%2 == 0 {
			config.Queues = []carobkeel.Queue{testQueue(0, 3)}
		}
		sim.holders[0].core.SetQueues(config)
		sim.run(350 * time.Millisecond)
		tasks := 0
		for _, n := range sim.hostsOf(job) {
			tasks += n
		}
		g.Expect(tasks).To(BeNumerically(">=", 1), "version %d", version)
	}
	for i := range 2 {
		task := carobkeel.TaskName{Job: job, Index: i}
		g.Expect(sim.record.Starts[task]).To(BeNumerically(">=", 12), "a start a second or more")
	}
}

// Guards against CONFIG: a holder that gets a configuration later than an entry runs a job by
// the older one.
func TestJobRunsByTheNewerOfTheHoldersAndItsOwnConfiguration(t *testing.T) {
	moved := testQueue(0, 3)
	moved.Service = "other"
	for _, c := range []struct {
		name               string
		accepted, holders  carobkeel.Revision
		atAcceptance, held carobkeel.Queue
		want               int
	}{
		{"accepted by the newer one", 2, 1, testQueue(0, 3), moved, 1},
		{"accepted by the older one", 1, 2, testQueue(0, 3), moved, 0},
		{"accepted by the older one, moved here", 1, 2, moved, testQueue(0, 3), 1},
		{"moved away by the newer one", 2, 1, moved, testQueue(0, 3), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := startedSimulation(8000)
			sim.holders[0].core.SetQueues(&carobkeel.QueueConfig{Version: c.holders, Queues: []carobkeel.Queue{c.held}})
			job := &carobkeel.JobSpec{
				ID: "000000000000000a", Queue: c.atAcceptance, ConfigVersion: c.accepted, Steps: []carobkeel.Step{step(1, 1000)},
			}
			sim.accept(job)
			sim.run(500 * time.Millisecond)
			NewWithT(t).Expect(sim.record.Starts[carobkeel.TaskName{Job: job.ID}]).To(Equal(c.want))
		})
	}
}
