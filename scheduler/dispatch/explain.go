package dispatch

import (
	"cmp"
	"slices"

	"github.com/carobkeel/carobkeel"
)

// Placement is what would happen to a step of a job if the job were accepted now.
type Placement string

// Placements.
const (
	// PlacementStarts starts the first task, or the whole gang.
	PlacementStarts Placement = "starts"
	// PlacementPreempts stops less urgent runs for the first task.
	PlacementPreempts Placement = "starts after less urgent runs are stopped"
	// PlacementWaitsNear leaves room elsewhere unused and waits for room near the data.
	PlacementWaitsNear Placement = "waits for room near its data"
	// PlacementWaits waits for room.
	PlacementWaits Placement = "waits for room"
	// PlacementFollows waits for earlier steps of the job.
	PlacementFollows Placement = "follows earlier steps"
	// PlacementDue waits for the time at which the job is due.
	PlacementDue Placement = "waits until the job is due"
)

// Explanation says where a job would go now, and why not elsewhere.
type Explanation struct {
	Steps []StepExplanation
	// Jobs counts the jobs that have not ended.
	Jobs int
}

// StepExplanation says where the tasks of a step would go.
type StepExplanation struct {
	Tasks     int
	Placement Placement
	// Hosts are those of the first task, or of all tasks of a gang. For PlacementPreempts, Victims
	// is the number of runs that would be stopped there.
	Hosts   []string
	Victims int
	// StepsAhead counts the waiting steps that are at least as urgent, and TasksAhead their tasks
	// that wait.
	StepsAhead, TasksAhead int
	// Workers has all workers of the shard, by host.
	Workers []WorkerExplanation
}

// WorkerExplanation says whether a worker has room for a task.
type WorkerExplanation struct {
	Host, Rack string
	// Reason is the first reason for which no task starts there, empty if a task can start.
	Reason string
	// Near reports that the worker is on the rack of the task's data.
	Near bool
	Free carobkeel.Resources
}

// These bound a job that is explained, so that the explanation doesn't delay the rounds of placement.
const (
	maxExplainedSteps = 32
	maxExplainedTasks = 2048
)

// CheckExplained returns an error if a job is too large to be explained.
func CheckExplained(spec *carobkeel.JobSpec) error {
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count
	}
	if len(spec.Steps) > maxExplainedSteps || tasks > maxExplainedTasks {
		return carobkeel.NewError(carobkeel.CodeInvalidRequest,
			"%d steps with %d tasks, at most %d and %d can be explained", len(spec.Steps), tasks, maxExplainedSteps, maxExplainedTasks)
	}
	return nil
}

// maxExplainedLooks bounds how many workers an explanation looks at, each as often as it does.
const maxExplainedLooks = 1 << 21

// CheckExplained returns an error if a job is too large to be explained for the workers of the
// shard: for each task of a gang, all of them are looked at.
func (c *Core) CheckExplained(spec *carobkeel.JobSpec) error {
	looks := 0
	for i := range spec.Steps {
		looks += len(c.workers)
		if spec.Steps[i].Gang {
			looks += len(c.workers) * spec.Steps[i].Count
		}
	}
	if looks > maxExplainedLooks {
		return carobkeel.NewError(carobkeel.CodeInvalidRequest,
			"gangs too large to be explained for %d workers: %d looks, at most %d", len(c.workers), looks, maxExplainedLooks)
	}
	return nil
}

// Explain says where a job would go if it were accepted now. It decides as a round of placement
// does and changes nothing. The job must pass CheckExplained
// and Core.CheckExplained.
func (c *Core) Explain(spec *carobkeel.JobSpec) Explanation {
	wake := c.wake
	defer func() { c.wake = wake }()
	j := &job{spec: spec, accepted: c.now.Monotonic}
	o := newOccurrence(j, 0, c.now.Monotonic)
	j.occurrences = []*occurrence{o}
	p := c.explainingPass()
	e := Explanation{}
	for _, active := range c.active {
		if !c.isFinal(active) {
			e.Jobs++
		}
	}
	for _, s := range o.steps {
		s.readyAt = c.now.Monotonic
		s.valueRate = c.valueRate(s)
		e.Steps = append(e.Steps, c.explainStep(p, s))
	}
	return e
}

// explainingPass returns a round in which the room that gangs are planned to use, and the room that
// tasks wait for, is held back as it was in the last round.
func (c *Core) explainingPass() *pass {
	p := newEmptyPass()
	for _, w := range c.workers {
		switch {
		case !c.acceptsTasks(w):
		case c.isQuarantined(w):
			p.quarantined = append(p.quarantined, w)
		default:
			p.workers = append(p.workers, w)
		}
	}
	slices.SortFunc(p.workers, compareHosts)
	slices.SortFunc(p.quarantined, compareHosts)
	c.eachWaitingStep(func(s *stepState) {
		if s.plan != nil {
			for w := range s.plan.claims {
				p.plans[w] = s.plan
			}
		}
		c.claimForWaiting(p, s)
	})
	return p
}

// claimForWaiting claims near room for the tasks of a step that wait for it.
func (c *Core) claimForWaiting(p *pass, s *stepState) {
	rack := s.spec.DataRack
	for _, t := range s.tasks.queue {
		if rack != "" && t.near.waiting {
			p.forecastFor(c, rack).claim(c.forecastPlaceFor(p, t, rack), s.spec.Reserved())
		}
	}
}

// eachWaitingStep calls visit for each step that waits for room.
func (c *Core) eachWaitingStep(visit func(*stepState)) {
	for _, j := range c.active {
		if c.isFinal(j) {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.ready && s.tasks.waiting() > 0 {
					visit(s)
				}
			}
		}
	}
}

// explainStep returns where the tasks of a step would go, and how many others are ahead of them.
func (c *Core) explainStep(p *pass, s *stepState) StepExplanation {
	e := StepExplanation{Tasks: s.tasks.count, Workers: c.explainWorkers(p, s.tasks.peek(0))}
	c.eachWaitingStep(func(other *stepState) {
		if c.compareUrgency(other, s) > 0 {
			return
		}
		e.StepsAhead++
		e.TasksAhead += other.tasks.waiting()
	})
	c.explainPlacement(p, s, &e)
	return e
}

// explainPlacement sets where the step's first task would go, or all tasks of a gang.
func (c *Core) explainPlacement(p *pass, s *stepState, e *StepExplanation) {
	due := s.occurrence.due
	switch {
	case len(s.spec.After) > 0:
		e.Placement = PlacementFollows
	case !due.IsZero() && c.now.Wall.Before(due):
		e.Placement = PlacementDue
	case s.spec.Gang:
		e.setHosts(c.chooseGangAmong(p, p.workers, s))
	default:
		c.explainTask(p, s.tasks.peek(0), e)
	}
}

// setHosts sets the placement of a step whose tasks would start on the given workers, or wait for room
// if there are none.
func (e *StepExplanation) setHosts(workers []*workerState) {
	e.Placement = PlacementWaits
	for _, w := range workers {
		e.Placement = PlacementStarts
		e.Hosts = append(e.Hosts, w.host)
	}
}

// explainTask sets where a task that is no member of a gang would go.
func (c *Core) explainTask(p *pass, t *task, e *StepExplanation) {
	w := c.selectWorkerAmong(p, p.workers, t, anyWorker)
	if w == nil {
		c.explainPreemption(p, t, e)
		return
	}
	e.setHosts([]*workerState{w})
	rack := t.step.spec.DataRack
	if rack == "" || w.isNear(rack) || !c.weighsLocality(t.step) {
		return
	}
	if near := c.nearWorker(p, t, rack); near != nil {
		e.Hosts = []string{near.host}
		return
	}
	in := c.localityInputs(t, c.forecastPlaceFor(p, t, rack))
	in.contention = c.contention[rack]
	if c.localityRule(in) > 0 {
		e.Placement, e.Hosts = PlacementWaitsNear, nil
	}
}

// explainPreemption sets which runs would be stopped for a task that finds no room.
func (c *Core) explainPreemption(p *pass, t *task, e *StepExplanation) {
	e.Placement = PlacementWaits
	if c.queueOf(t.job()).Priority != highestPriority {
		return
	}
	if w, victims := c.cheapestVictims(p, t); w != nil {
		e.Placement, e.Hosts, e.Victims = PlacementPreempts, []string{w.host}, len(victims)
	}
}

// explainWorkers returns all workers by host, each with the first reason why the task can't start there.
func (c *Core) explainWorkers(p *pass, t *task) []WorkerExplanation {
	var workers []WorkerExplanation
	for _, w := range c.workers {
		var n workerCounts
		if counter := c.unusableReason(w, &n); counter != nil {
			*counter++
		} else {
			c.countUsable(p, t, w, &n)
		}
		workers = append(workers, WorkerExplanation{
			Host: w.host, Rack: w.description.Rack, Reason: n.reason(), Free: w.free(),
			Near: t.step.spec.DataRack != "" && w.isNear(t.step.spec.DataRack),
		})
	}
	slices.SortFunc(workers, func(a, b WorkerExplanation) int { return cmp.Compare(a.Host, b.Host) })
	return workers
}

// reason returns the name of the first reason that was counted for a single worker, empty if it has
// room. Two reasons are counted for a worker that is full until stopped runs have ended.
func (n *workerCounts) reason() string {
	for _, count := range n.reasons() {
		if count.value > 0 {
			return count.name
		}
	}
	return ""
}
