package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// The colocation model replays one trace of batch arrivals and service load
// under a rule for sharing workers. It knows tasks, workers, lagging reports
// and slowdowns by pair, and nothing of networks, leases or processes.

const (
	colocationTick    = 5 * time.Second
	colocationLength  = 4 * time.Hour
	reportWindow      = 30 * time.Second
	reportLag         = 30 * time.Second
	checkpointGap     = time.Minute
	evictionTime      = 10 * time.Second
	meanTaskTime      = 10 * time.Minute
	serviceInstances  = 10
	batchEntries      = 20
	loadPeriod        = 2 * time.Hour
	samplesAtFullLoad = 30
	// requestDeviation is the spread of one request's logarithm of the latency.
	requestDeviation = 0.4
	// serviceLatency is the 99th percentile of the idle service.
	serviceLatency = 50 * time.Millisecond
	serviceName    = "dispatch"
)

// job is the state of one batch task in the model.
type job struct {
	arrival
	id        carobkeel.TaskID
	worker    worker.ID
	progress  time.Duration
	saved     time.Duration
	savedAt   time.Duration
	readyAt   time.Duration
	evictions uint16
	avoid     worker.ID
}

// rule shares the workers between services and batch work.
type rule interface {
	// policy returns the placement policy for a job that has waited.
	policy(waited time.Duration) worker.Policy
	// startThrottle returns the throttle that a job starts with.
	startThrottle(r *worker.Request, w *worker.Worker) uint8
	// control answers the reports of one worker.
	control(w *worker.Worker, reports []worker.ServiceReport, now time.Time) []worker.Action
}

// outcome is what a rule made of a trace.
type outcome struct {
	p99        float64
	throughput float64
	evictions  int
	// finished is the number of finished tasks of harmful entries.
	harmfulDone float64
}

// colocation is one run of a trace under a rule.
type colocation struct {
	trace    *trace
	rule     rule
	fleet    *worker.Fleet
	queue    []*job
	running  map[carobkeel.TaskID]*job
	pending  map[time.Duration][]worker.ServiceReport
	windows  map[worker.ID]*window
	rng      *rand.Rand
	samples  []float64
	result   outcome
	now      time.Duration
	nextTask int
}

// window gathers what a report will tell.
type window struct {
	slowdown, load float64
	activity       map[string]float64
	ticks          float64
}

func runColocation(t *trace, r rule) outcome {
	c := &colocation{
		trace: t, rule: r, fleet: serviceFleet(t.shape, r.policy(0)), running: map[carobkeel.TaskID]*job{},
		pending: map[time.Duration][]worker.ServiceReport{}, windows: map[worker.ID]*window{},
		rng: rand.New(rand.NewPCG(t.seed, 2)),
	}
	for i := range t.load {
		c.now = time.Duration(i) * colocationTick
		c.step(t.load[i])
	}
	slices.Sort(c.samples)
	c.result.p99 = c.samples[len(c.samples)*99/100]
	return c.result
}

// serviceFleet returns the workers with the service's instances.
func serviceFleet(s shape, policy worker.Policy) *worker.Fleet {
	policy.Interference = nil
	edit := (&worker.Fleet{}).Edit()
	for i := range s.workers {
		edit.Join(worker.Worker{
			ID: worker.ID(fmt.Sprintf("worker-%d", i)), Capacity: s.capacity,
			Location: carobkeel.Location{DataCentre: "dc", Rack: fmt.Sprintf("rack-%d", i/3)},
		})
	}
	for i := range serviceInstances {
		request := worker.Request{
			Task:  carobkeel.TaskID(fmt.Sprintf("instance-%d", i)),
			Entry: serviceName, Group: serviceName, Class: carobkeel.ClassLatencyCritical, Demand: s.serviceDemand,
		}
		decision := worker.Place(edit, request, policy, uint64(i), sampleTime)
		edit.Apply(worker.Plan{At: sampleTime, Assignments: []worker.Assignment{decision.Assignment}})
	}
	return edit.Publish()
}

func (c *colocation) time() time.Time { return sampleTime.Add(c.now) }

func (c *colocation) step(load float64) {
	c.arrive()
	edit := c.fleet.Edit()
	c.deliver(edit)
	c.place(edit)
	c.advance(edit)
	c.fleet = edit.Publish()
	c.measure(load)
}

func (c *colocation) arrive() {
	for c.nextTask < len(c.trace.arrivals) && c.trace.arrivals[c.nextTask].at <= c.now {
		a := c.trace.arrivals[c.nextTask]
		id := carobkeel.TaskID(fmt.Sprintf("task-%d", c.nextTask))
		c.queue = append(c.queue, &job{arrival: a, id: id, readyAt: a.at})
		c.nextTask++
	}
}

// deliver hands the rule the reports that arrive now and applies its actions.
func (c *colocation) deliver(edit *worker.Edit) {
	reports := c.pending[c.now]
	delete(c.pending, c.now)
	for start := 0; start < len(reports); {
		end := start + 1
		for end < len(reports) && reports[end].Worker == reports[start].Worker {
			end++
		}
		w, _ := edit.Worker(reports[start].Worker)
		for _, action := range c.rule.control(w, reports[start:end], c.time()) {
			c.apply(edit, action)
		}
		start = end
	}
}

func (c *colocation) apply(edit *worker.Edit, action worker.Action) {
	if action.Kind == worker.ActionThrottle {
		edit.Throttle(action.Worker, action.Task, action.Throttle)
		return
	}
	j := c.running[action.Task]
	delete(c.running, action.Task)
	edit.Remove(action.Worker, action.Task)
	j.progress, j.avoid, j.readyAt = j.saved, j.worker, c.now+evictionTime
	j.evictions++
	c.result.evictions++
	c.queue = append([]*job{j}, c.queue...)
}

// place starts jobs from the queue in their order. Once a job has found no room,
// the later ones of its entry and size are not tried in the same step.
func (c *colocation) place(edit *worker.Edit) {
	type kind struct {
		entry    int
		milliCPU int64
	}
	refused := map[kind]bool{}
	waiting := c.queue[:0:0]
	for _, j := range c.queue {
		k := kind{j.entry, j.demand.MilliCPU}
		if j.readyAt > c.now || refused[k] {
			waiting = append(waiting, j)
		} else if !c.start(edit, j) {
			refused[k] = true
			waiting = append(waiting, j)
		}
	}
	c.queue = waiting
}

func (c *colocation) start(edit *worker.Edit, j *job) bool {
	request := worker.Request{
		Task: j.id, Entry: entryName(j.entry), Group: string(j.id), Class: carobkeel.ClassBatch,
		Demand: j.demand, Evictions: j.evictions, Avoid: j.avoid,
	}
	decision := worker.Place(edit, request, c.rule.policy(c.now-j.readyAt), c.trace.seed+uint64(c.now), c.time())
	if decision.Verdict != worker.VerdictPlaced {
		return false
	}
	w, _ := edit.Worker(decision.Assignment.Worker)
	decision.Assignment.Request.Throttle = c.rule.startThrottle(&request, w)
	edit.Apply(worker.Plan{At: c.time(), Assignments: []worker.Assignment{decision.Assignment}})
	j.worker, j.savedAt = w.ID, c.now
	c.running[j.id] = j
	return true
}

// advance lets running jobs progress, takes checkpoints and ends jobs.
func (c *colocation) advance(edit *worker.Edit) {
	for _, w := range workersOf(&edit.Fleet) {
		for _, task := range w.Tasks {
			j, ok := c.running[task.ID]
			if !ok {
				continue
			}
			j.progress += time.Duration(task.Speed() * float64(colocationTick))
			if c.now-j.savedAt >= checkpointGap {
				j.saved, j.savedAt = j.progress, c.now
				edit.Checkpointed(w.ID, task.ID, c.time())
			}
			if j.progress >= j.duration || c.now+colocationTick >= colocationLength {
				c.finish(edit, j)
			}
		}
	}
}

func (c *colocation) finish(edit *worker.Edit, j *job) {
	done := min(j.progress, j.duration).Seconds() * float64(j.demand.MilliCPU) / 1000
	c.result.throughput += done
	if c.trace.effect(j.entry, c.now) > math.Log(1.2) {
		c.result.harmfulDone += done
	}
	edit.Remove(j.worker, j.id)
	delete(c.running, j.id)
}

// measure draws the latencies of the tick's requests and gathers the reports.
func (c *colocation) measure(load float64) {
	alone := aloneLatency(load)
	for _, w := range workersOf(c.fleet) {
		logSlowdown := 0.0
		activity := map[string]float64{}
		for _, task := range w.Tasks {
			if j, ok := c.running[task.ID]; ok {
				logSlowdown += math.Log(1 + (math.Exp(c.trace.effect(j.entry, c.now))-1)*load*task.Speed())
				activity[task.Entry] += task.Speed()
			}
		}
		slowdown := math.Exp(logSlowdown)
		for _, task := range w.Tasks {
			if task.Class == carobkeel.ClassLatencyCritical {
				c.sample(alone*slowdown, load)
			}
		}
		c.gather(w, slowdown, load, activity)
	}
}

// aloneLatency returns the 99th percentile in seconds without interference.
func aloneLatency(load float64) float64 { return serviceLatency.Seconds() * (1 + 0.5*load*load*load) }

func (c *colocation) sample(p99, load float64) {
	const z99 = 2.326
	for range int(samplesAtFullLoad * load) {
		c.samples = append(c.samples, p99*math.Exp(requestDeviation*(c.rng.NormFloat64()-z99)))
	}
}

func (c *colocation) gather(w *worker.Worker, slowdown, load float64, activity map[string]float64) {
	win := c.windows[w.ID]
	if win == nil {
		win = &window{activity: map[string]float64{}}
		c.windows[w.ID] = win
	}
	win.ticks++
	win.slowdown += slowdown
	win.load += load
	for entry, a := range activity {
		win.activity[entry] += a
	}
	end := c.now + colocationTick
	if end%reportWindow != 0 {
		return
	}
	delete(c.windows, w.ID)
	if len(w.Tasks) > 0 && w.Tasks[0].Class == carobkeel.ClassLatencyCritical {
		arrives := end + reportLag
		c.pending[arrives] = append(c.pending[arrives], c.report(w.ID, win, end))
	}
}

func (c *colocation) report(id worker.ID, win *window, end time.Duration) worker.ServiceReport {
	load := win.load / win.ticks
	noise := math.Exp(0.05 * c.rng.NormFloat64())
	report := worker.ServiceReport{
		Worker: id, Service: serviceName, Load: load,
		P99:  time.Duration(aloneLatency(load) * win.slowdown / win.ticks * noise * float64(time.Second)),
		From: sampleTime.Add(end - reportWindow), To: sampleTime.Add(end),
	}
	for i := range batchEntries {
		if a := win.activity[entryName(i)]; a > 0 {
			report.Neighbours = append(report.Neighbours, worker.Neighbour{Entry: entryName(i), Activity: a / win.ticks})
		}
	}
	return report
}

func entryName(i int) string { return fmt.Sprintf("batch-%d", i) }

func workersOf(f *worker.Fleet) []*worker.Worker {
	workers := make([]*worker.Worker, 0, f.Len())
	f.Each(func(w *worker.Worker) bool {
		workers = append(workers, w)
		return true
	})
	return workers
}
