package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker/runs"
)

// wholeFleet is the number of workers of a large shard.
const wholeFleet = 12000

// newFleet returns a core with workers that accept tasks.
func newFleet(workers int, policy Policy) *Core {
	c := New(Config{Policy: policy, WorkerLease: time.Second}, Now{Monotonic: time.Minute, Held: time.Minute}, nil)
	for n := range workers {
		w := c.worker(fmt.Sprintf("host-%05d", n))
		w.reachable, w.listed, w.recorded, w.leaseExpiry = true, true, true, time.Hour
		w.description.Rack = fmt.Sprint("rack-", n/40)
		w.description.Capacity = carobkeel.Resources{MilliCPU: 8000, MemoryBytes: 1 << 40}
	}
	return c
}

// BenchmarkRefusalsOfAWholeFleet records that each worker has refused a start of one round.
func BenchmarkRefusalsOfAWholeFleet(b *testing.B) {
	for b.Loop() {
		c := newFleet(wholeFleet, Policy{})
		for _, w := range c.workers {
			c.recordRefusal(&runState{worker: w, orderedAt: 1}, runs.ResultUnhealthy)
		}
	}
}

// addRun adds a confirmed batch run to a worker.
func (c *Core) addRun(w *workerState, t *task, run, percent int, age time.Duration) *runState {
	r := c.reserve(w, t, t.name(), run)
	r.phase, r.percent, r.started = runConfirmed, percent, c.now.Monotonic-age
	return r
}

// newSteps returns the steps of a job that waits.
func newSteps(c *Core, steps ...carobkeel.Step) []*stepState {
	spec := &carobkeel.JobSpec{Steps: steps}
	j := &job{spec: spec, accepted: c.now.Monotonic}
	o := newOccurrence(j, 0, c.now.Monotonic)
	j.occurrences = []*occurrence{o}
	for _, s := range o.steps {
		s.ready, s.readyAt = true, c.now.Monotonic
	}
	return o.steps
}

// Runs that end at the same time are in no order of their own.
func TestForecastDoesNotDependOnTheOrderOfAMap(t *testing.T) {
	g := NewWithT(t)
	c := newFleet(1, Policy{LocalityWait: true, RemoteFactor: 2})
	w := c.worker("host-00000")
	s := newSteps(c, carobkeel.Step{Count: 4, Estimate: time.Second, Demand: carobkeel.Resources{MilliCPU: 4000}})[0]
	c.addRun(w, s.tasks.get(0), 1, 100, time.Second)
	c.addRun(w, s.tasks.get(1), 1, 0, time.Minute).stopping = true
	p := newEmptyPass()
	spreads := make(map[time.Duration]bool)
	for range 100 {
		spreads[c.forecastWorker(w).earliest(p, s.spec.Reserved()).spread] = true
	}
	g.Expect(spreads).To(HaveLen(1))
}

// Ended jobs are taken out of the active ones in the same loop.
func TestMeanWorkCountsEachActiveJobOnce(t *testing.T) {
	g := NewWithT(t)
	c := newFleet(0, Policy{})
	for n, estimate := range []time.Duration{time.Second, 9 * time.Second, time.Second} {
		s := newSteps(c, carobkeel.Step{Count: 1, Estimate: estimate, Demand: carobkeel.Resources{MilliCPU: 1000}})[0]
		j := s.occurrence.job
		j.failed = n == 0
		j.remaining = 1
		c.active = append(c.active, j)
		if n == 1 {
			c.reserve(c.worker("host"), s.tasks.get(0), s.tasks.get(0).name(), 1)
		}
	}
	g.Expect(c.waitingSteps()).To(HaveLen(1))
	g.Expect(c.meanWork("")).To(Equal(5.0))
}

// BenchmarkNearWaits is a round in which the tasks of a step wait for room on their rack.
func BenchmarkNearWaits(b *testing.B) {
	c := newFleet(wholeFleet, Policy{LocalityWait: true, RemoteFactor: 2})
	blocking := newSteps(c, carobkeel.Step{Count: 320, Estimate: time.Second, Demand: carobkeel.Resources{MilliCPU: 1000}})[0]
	for n := range 320 {
		c.addRun(c.worker(fmt.Sprintf("host-%05d", n/8)), blocking.tasks.get(n), 1, 80, 800*time.Millisecond)
	}
	s := newSteps(c, carobkeel.Step{Count: 320, Estimate: time.Minute, DataRack: "rack-0", Demand: carobkeel.Resources{MilliCPU: 1000}})[0]
	for b.Loop() {
		p := c.newPass()
		c.placeStep(p, s)
		if len(s.tasks.get(0).runs) > 0 {
			b.Fatal("started")
		}
	}
}

// Jobs without estimates have no work, so their rate has no logarithm.
func TestValueExponentsAreBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(valueExponent(0, 0, 0)).To(Equal(-maxValueExponent))
	g.Expect(valueExponent(1e9, 1e9, 0)).To(Equal(maxValueExponent))
}

// BenchmarkWithheldCopies is the part of a round in which tasks of 100 steps are slow, in a fleet that
// runs two tasks on each worker.
func BenchmarkWithheldCopies(b *testing.B) {
	c := newFleet(wholeFleet, Policy{OverloadControl: true})
	c.overload.active = true
	steps := make([]*stepState, 100)
	for i := range steps {
		steps[i] = newSteps(c, carobkeel.Step{Count: 241, Estimate: time.Second, AllowsDuplicates: true, Demand: carobkeel.Resources{MilliCPU: 1000}})[0]
		s := steps[i]
		s.done, s.completedRuns, s.completedTime = 1, 1, time.Second
		for n := range 240 {
			w := c.worker(fmt.Sprintf("host-%05d", (240*i+n)/2))
			c.addRun(w, s.tasks.get(n), n+1000*i, 1, 10*time.Second)
		}
		c.active = append(c.active, s.occurrence.job)
	}
	for b.Loop() {
		c.startSpeculativeRuns(c.newPass())
	}
}
