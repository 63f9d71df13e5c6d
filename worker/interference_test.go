package worker_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// effects is the true logarithm of the slowdown by entry.
var effects = map[string]float64{"noisy": math.Log(3), "mild": 0.05, "quiet": 0}

// reportOf returns what a worker would report of the service "s".
func reportOf(rng *rand.Rand, at time.Time, load float64, neighbours ...worker.Neighbour) worker.ServiceReport {
	log := math.Log(0.050*(1+0.5*load)) + 0.05*rng.NormFloat64()
	for _, n := range neighbours {
		log += effects[n.Entry] * n.Activity * load
	}
	return worker.ServiceReport{
		Worker: "w0", Service: "s", P99: time.Duration(math.Exp(log) * float64(time.Second)),
		Load: load, From: at.Add(-30 * time.Second), To: at, Neighbours: neighbours,
	}
}

// learn feeds n reports with random neighbours to the model, so that the
// activities of the entries are independent of each other.
func learn(rng *rand.Rand, p *worker.InterferenceModel, n int) {
	for i := range n {
		var neighbours []worker.Neighbour
		for _, entry := range []string{"noisy", "mild", "quiet"} {
			if rng.IntN(2) == 0 {
				neighbours = append(neighbours, worker.Neighbour{Entry: entry, Activity: 0.1 + 0.9*rng.Float64()})
			}
		}
		at := epoch.Add(time.Duration(i) * 30 * time.Second)
		p.Observe(reportOf(rng, at, 0.3+0.6*rng.Float64(), neighbours...))
	}
}

func TestInterferenceModelFindsTheEntryThatSlowsServices(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		rng, p := rand.New(rand.NewPCG(seed, 0)), worker.NewInterferenceModel()
		unknown := p.Effect("s", "noisy")
		learn(rng, p, 120)
		noisy := p.Effect("s", "noisy")
		g.Expect(noisy.Mean).To(BeNumerically("~", math.Log(3), 0.3), "seed %d", seed)
		g.Expect(noisy.Deviation).To(BeNumerically("<", unknown.Deviation/2))
		g.Expect(p.Effect("s", "quiet").Mean).To(BeNumerically("<", 0.15), "seed %d", seed)
		report := reportOf(rng, epoch, 0.8, worker.Neighbour{Entry: "noisy", Activity: 1})
		g.Expect(p.Slowdown(report)).To(BeNumerically(">", 1.7))
	}
}

// serviceHost returns a worker with the service and tasks of the given entries.
func serviceHost(entries ...string) *worker.Worker {
	edit := fleetOf(1, cores(16, 32)).Edit()
	edit.Restore("w0", &worker.Task{ID: "s", Entry: "s", Reserved: cores(2, 2)})
	for _, entry := range entries {
		edit.Restore("w0", &worker.Task{ID: carobkeel.TaskID(entry), Entry: entry, Class: carobkeel.ClassBatch, Reserved: cores(2, 2)})
	}
	w, _ := edit.Worker("w0")
	return w
}

func TestPenaltySeparatesBatchTasksFromServicesTheySlow(t *testing.T) {
	g := NewWithT(t)
	p := worker.NewInterferenceModel()
	learn(rand.New(rand.NewPCG(1, 0)), p, 60)
	noisy := worker.Request{Entry: "noisy", Class: carobkeel.ClassBatch}
	quiet := worker.Request{Entry: "quiet", Class: carobkeel.ClassBatch}
	empty, _ := fleetOf(1, cores(16, 32)).Worker("w0")
	g.Expect(p.Penalty(&noisy, serviceHost())).To(BeNumerically(">", 0.3))
	g.Expect(p.Penalty(&quiet, serviceHost())).To(BeNumerically("<", 0.1))
	g.Expect(p.Penalty(&noisy, empty)).To(BeZero())
	g.Expect(p.Penalty(&quiet, empty)).To(BeNumerically(">", p.Penalty(&quiet, serviceHost())))
}

func TestAnUnknownTaskStartsSlowlyAndAHarmlessOneDoesNot(t *testing.T) {
	g := NewWithT(t)
	p := worker.NewInterferenceModel()
	learn(rand.New(rand.NewPCG(1, 0)), p, 200)
	p.Observe(reportOf(rand.New(rand.NewPCG(2, 0)), epoch, 0.9))
	c := worker.NewController(p, worker.DefaultControlPolicy())
	start := func(entry string) uint8 {
		return c.StartThrottle(&worker.Request{Entry: entry, Class: carobkeel.ClassBatch, Demand: cores(2, 2)}, serviceHost())
	}
	g.Expect(start("never-seen")).To(BeNumerically(">=", 10))
	g.Expect(start("noisy")).To(BeNumerically(">=", 70))
	g.Expect(start("quiet")).To(BeZero())
}

func TestTheHarmfulTaskIsThrottledBeforeItIsEvicted(t *testing.T) {
	g := NewWithT(t)
	rng, p := rand.New(rand.NewPCG(1, 0)), worker.NewInterferenceModel()
	learn(rng, p, 200)
	c := worker.NewController(p, worker.DefaultControlPolicy())
	registry := worker.NewRegistry(nil)
	registry.Update(func(e *worker.Edit) {
		e.Join(*serviceHost("noisy", "noisy2", "quiet"))
		for _, id := range []carobkeel.TaskID{"noisy", "noisy2"} {
			e.Remove("w0", id)
			e.Restore("w0", &worker.Task{ID: id, Entry: "noisy", Class: carobkeel.ClassBatch, Reserved: cores(2, 2)})
		}
	})
	evictedAt, throttled := time.Duration(0), map[carobkeel.TaskID]bool{}
	for at := time.Duration(0); at < 20*time.Minute && evictedAt == 0; at += 30 * time.Second {
		w, _ := registry.Fleet().Worker("w0")
		now := epoch.Add(at)
		reports := []worker.ServiceReport{reportOf(rng, now.Add(-30*time.Second), 0.9, worker.Neighbour{Entry: "noisy", Activity: 2})}
		for _, action := range c.Decide(w, reports, now) {
			g.Expect(action.Task).NotTo(BeEquivalentTo("quiet"))
			if action.Kind == worker.ActionEvict {
				g.Expect(throttled[action.Task]).To(BeTrue())
				evictedAt = at
				continue
			}
			throttled[action.Task] = true
			registry.Update(func(e *worker.Edit) { e.Throttle("w0", action.Task, action.Throttle) })
		}
	}
	g.Expect(throttled).To(HaveLen(2))
	g.Expect(evictedAt).To(BeNumerically(">=", worker.DefaultControlPolicy().EvictionDelay))
}

// controlLoop is a small fleet with the service on each worker. Its reports arrive
// one window of 30 seconds late.
type controlLoop struct {
	rng            *rand.Rand
	model          *worker.InterferenceModel
	controller     *worker.Controller
	registry       *worker.Registry
	delayedReports map[worker.ID]worker.ServiceReport
}

// newControlLoop starts one worker for each mix, with the service and a task of
// each entry of the mix.
func newControlLoop(seed uint64, mixes ...[]string) *controlLoop {
	p := worker.NewInterferenceModel()
	l := &controlLoop{
		rng: rand.New(rand.NewPCG(seed, 0)), model: p, delayedReports: map[worker.ID]worker.ServiceReport{},
		controller: worker.NewController(p, worker.DefaultControlPolicy()),
		registry:   worker.NewRegistry(fleetOf(len(mixes), cores(16, 32))),
	}
	l.registry.Update(func(e *worker.Edit) {
		for i, mix := range mixes {
			e.Restore(workerID(i), &worker.Task{ID: carobkeel.TaskID(workerID(i)), Entry: "s", Reserved: cores(2, 2)})
			for _, entry := range mix {
				task := carobkeel.TaskID(entry) + carobkeel.TaskID(workerID(i))
				request := worker.Request{Task: task, Entry: entry, Class: carobkeel.ClassBatch, Demand: cores(2, 2)}
				w, _ := e.Worker(workerID(i))
				request.Throttle = l.controller.StartThrottle(&request, w)
				e.Apply(worker.Plan{At: epoch, Assignments: []worker.Assignment{{Request: request, Worker: w.ID}}})
			}
		}
	})
	return l
}

// step delivers the reports of the window before the last and draws new ones.
func (l *controlLoop) step(now time.Time, load float64) (throttles int) {
	l.registry.Fleet().Each(func(w *worker.Worker) bool {
		if report, ok := l.delayedReports[w.ID]; ok {
			l.model.Observe(report)
			for _, action := range l.controller.Decide(w, []worker.ServiceReport{report}, now) {
				// Evictions are ignored: no other worker has room.
				if action.Kind == worker.ActionThrottle {
					throttles++
					l.registry.Update(func(e *worker.Edit) { e.Throttle(w.ID, action.Task, action.Throttle) })
				}
			}
		}
		w, _ = l.registry.Fleet().Worker(w.ID)
		report := reportOf(l.rng, now.Add(30*time.Second), load, neighbours(w)...)
		report.Worker = w.ID
		l.delayedReports[w.ID] = report
		return true
	})
	return throttles
}

func neighbours(w *worker.Worker) []worker.Neighbour {
	var list []worker.Neighbour
	for _, task := range w.Tasks {
		if task.Class == carobkeel.ClassBatch {
			list = append(list, worker.Neighbour{Entry: task.Entry, Activity: task.Speed()})
		}
	}
	return list
}

// slowdown returns the true slowdown of the service on the worker.
func slowdown(w *worker.Worker, load float64) float64 {
	sum := 0.0
	for _, n := range neighbours(w) {
		sum += effects[n.Entry] * n.Activity * load
	}
	return math.Exp(sum)
}

// TestControllerConvergesWithinLimit checks that under a constant load the
// speeds settle, although reports arrive late, and that no service is slowed by
// more than a factor of 1.15. One worker has no batch tasks: otherwise the
// effects of mixes that never change can't be distinguished from the service's
// own latency.
func TestControllerConvergesWithinLimit(t *testing.T) {
	const load, steps, settled = 0.8, 120, 80
	for seed := range uint64(10) {
		g := NewWithT(t)
		l := newControlLoop(seed, []string{"noisy", "mild", "quiet"}, []string{"quiet"}, []string{"mild", "quiet"}, []string{"noisy"}, nil)
		late := 0
		for i := range steps {
			throttles := l.step(epoch.Add(time.Duration(i)*30*time.Second), load)
			if i >= settled {
				late += throttles
			}
		}
		l.registry.Fleet().Each(func(w *worker.Worker) bool {
			return g.Expect(slowdown(w, load)).To(BeNumerically("<=", 1.15), "seed %d, worker %s", seed, w.ID)
		})
		quiet, _ := l.registry.Fleet().Worker("w1")
		g.Expect(quiet.Tasks[1].Speed()).To(BeNumerically(">=", 0.8), "seed %d", seed)
		g.Expect(late).To(BeNumerically("<=", (steps-settled)/4), "seed %d: changes of speed after settling", seed)
	}
}

func TestAnOldReportDoesNotRaiseASpeed(t *testing.T) {
	g := NewWithT(t)
	p := worker.NewInterferenceModel()
	learn(rand.New(rand.NewPCG(1, 0)), p, 200)
	c := worker.NewController(p, worker.DefaultControlPolicy())
	registry := worker.NewRegistry(nil)
	registry.Update(func(e *worker.Edit) {
		e.Join(*serviceHost("noisy", "quiet"))
		e.Throttle("w0", "quiet", 90)
	})
	rng := rand.New(rand.NewPCG(2, 0))
	decide := func(at time.Duration, lag time.Duration) (raised int) {
		w, _ := registry.Fleet().Worker("w0")
		now := epoch.Add(at)
		for _, action := range c.Decide(w, []worker.ServiceReport{reportOf(rng, now.Add(-lag), 0.8, neighbours(w)...)}, now) {
			if action.Task == "quiet" {
				raised++
			}
		}
		return raised
	}
	g.Expect(decide(0, 0)).To(Equal(1), "no earlier action")
	g.Expect(decide(20*time.Second, 30*time.Second)).To(BeZero(), "the window began before the last action")
	g.Expect(decide(90*time.Second, 30*time.Second)).To(Equal(1))
}

// TestNewControllerDoesNotThrottle guards against a new holder, which has learned
// no effects yet, throttling tasks that do not slow the service. It finds tasks
// of 17 unknown entries running at full speed.
func TestNewControllerDoesNotThrottle(t *testing.T) {
	g := NewWithT(t)
	edit := fleetOf(1, cores(64, 64)).Edit()
	edit.Restore("w0", &worker.Task{ID: "s", Entry: "s", Reserved: cores(2, 2)})
	for i := range 17 {
		entry := fmt.Sprintf("entry-%d", i)
		edit.Restore("w0", &worker.Task{ID: carobkeel.TaskID(entry), Entry: entry, Class: carobkeel.ClassBatch, Reserved: cores(2, 2)})
	}
	w, _ := edit.Worker("w0")
	rng, p := rand.New(rand.NewPCG(1, 0)), worker.NewInterferenceModel()
	c := worker.NewController(p, worker.DefaultControlPolicy())
	actions := 0
	for i := range 60 {
		now := epoch.Add(time.Duration(i) * 30 * time.Second)
		report := reportOf(rng, now, 0.9, neighbours(w)...)
		p.Observe(report)
		actions += len(c.Decide(w, []worker.ServiceReport{report}, now))
	}
	g.Expect(actions).To(BeZero())
}
