package judge

import (
	"math"
	"slices"
	"time"

	"github.com/carobkeel/carobkeel"
)

const (
	// idleWithRoom is how long a task whose turn has come may wait beside free room.
	idleWithRoom = 3 * time.Second
	// idleAfterRun is how long a long-running task may take to run again.
	idleAfterRun = 6 * time.Second
	// calmBeforeIdle is the calm that comes before idleWithRoom during the traffic.
	calmBeforeIdle = 4 * time.Second
	// idleStep is the longest time between two looks at the room.
	idleStep = 500 * time.Millisecond
	// roomTwice is for how many of a task there must be room.
	roomTwice = 2
)

// idle looks for spans in which a job isn't worked on though there is room.
func (h *history) idle(j *job) []Finding {
	if j.cancelSent != nil || h.failed(j, len(h.Events)) || h.advised(j) {
		return nil
	}
	var findings []Finding
	if f, broken := h.idleAtEnd(j); broken {
		findings = append(findings, f)
	}
	spec := j.spec()
	for occurrence := range max(1, spec.Repeats) {
		for number := range spec.Steps {
			if !spec.Steps[number].LongRunning {
				continue
			}
			for index := range spec.Steps[number].Count {
				task := carobkeel.TaskName{Job: j.id, Occurrence: occurrence, Step: number, Index: index}
				if f, broken := h.idleLongRunning(j, task); broken {
					findings = append(findings, f)
				}
			}
		}
	}
	return findings
}

// advised reports whether only workers that the record doesn't name may run the job.
func (h *history) advised(j *job) bool {
	return slices.ContainsFunc(h.queues(j), func(q *carobkeel.Queue) bool { return q.Advice != nil })
}

// idleAtEnd judges whether nothing of a job runs after the traffic.
func (h *history) idleAtEnd(j *job) (Finding, bool) {
	finish, ended := h.finishFrom()
	if !ended {
		return Finding{}, false
	}
	waiting := h.waitingTasks(j)
	if len(waiting) == 0 {
		return Finding{}, false
	}
	var runs []*run
	for _, r := range h.runs {
		if r.Task.Job == j.id {
			runs = append(runs, r)
		}
	}
	for _, gap := range h.gaps(runs, finish) {
		for _, w := range waiting {
			from := max(gap.from, w.turn)
			if at, idle := h.idleBeside(j, w.task, span{from, gap.to}, false); idle {
				return findTask(RuleLost, w.task, at, []Event{*j.accepted}, "nothing of the job runs since %v, though there is room", from), true
			}
		}
	}
	return Finding{}, false
}

// idleLongRunning judges whether a long-running task has no run.
func (h *history) idleLongRunning(j *job, task carobkeel.TaskName) (Finding, bool) {
	turn, come := h.turn(j, task)
	if !come {
		return Finding{}, false
	}
	finish, ended := h.finishFrom()
	for _, gap := range h.gaps(h.byTask[task], turn) {
		if gap.from > turn {
			gap.from += idleAfterRun
		}
		at, idle := h.idleBeside(j, task, gap, true)
		if !idle && ended {
			at, idle = h.idleBeside(j, task, span{max(gap.from, finish), gap.to}, false)
		}
		if idle {
			return findTask(RuleLost, task, at, []Event{*j.accepted}, "a long-running task has no run, though there is room"), true
		}
	}
	return Finding{}, false
}

// waitingTask is a task that has never been done, and when its turn came.
type waitingTask struct {
	task carobkeel.TaskName
	turn time.Duration
}

// waitingTasks returns the first such task of each step.
func (h *history) waitingTasks(j *job) []waitingTask {
	var waiting []waitingTask
	spec := j.spec()
	for occurrence := range max(1, spec.Repeats) {
		for number := range spec.Steps {
			first := carobkeel.TaskName{Job: j.id, Occurrence: occurrence, Step: number}
			missing, found := h.undoneOf(first, len(h.Events))
			if !found {
				continue
			}
			if turn, come := h.turn(j, missing); come {
				waiting = append(waiting, waitingTask{missing, turn})
			}
		}
	}
	return waiting
}

// turn returns when a task's turn came: its job is accepted, its time has come, and the
// steps that it follows are done.
func (h *history) turn(j *job, task carobkeel.TaskName) (time.Duration, bool) {
	turn := j.accepted.At
	if due, timed := h.due(task); timed {
		turn = max(turn, due)
	}
	for _, number := range h.step(task).After {
		first := carobkeel.TaskName{Job: task.Job, Occurrence: task.Occurrence, Step: number}
		if _, undone := h.undoneOf(first, len(h.Events)); undone {
			return 0, false
		}
		turn = max(turn, h.lastDone(first))
	}
	return turn, true
}

// lastDone returns when the last task of the step of first was done. One end represents
// all members of a gang.
func (h *history) lastDone(first carobkeel.TaskName) time.Duration {
	var last time.Duration
	earliest := time.Duration(math.MaxInt64)
	step := h.step(first)
	for index := range step.Count {
		task := first
		task.Index = index
		for _, r := range h.byTask[task] {
			if r.done(len(h.Events)) {
				last, earliest = max(last, r.end.At), min(earliest, r.end.At)
				break
			}
		}
	}
	if step.Gang {
		return earliest
	}
	return last
}

// gaps returns the spans from a time on in which none of the runs, which are in order of
// their starts, lasted.
func (h *history) gaps(runs []*run, from time.Duration) []span {
	var gaps []span
	for _, r := range runs {
		if r.start.At > from {
			gaps = append(gaps, span{from, r.start.At})
		}
		from = max(from, r.until(h))
	}
	if from < h.End {
		gaps = append(gaps, span{from, h.End})
	}
	return gaps
}

// idleBeside returns when the task had waited for too long in the span beside free room.
// During the traffic the wait counts in calm only, however full the service is otherwise.
func (h *history) idleBeside(j *job, task carobkeel.TaskName, s span, traffic bool) (time.Duration, bool) {
	if s.to-s.from < idleWithRoom {
		return 0, false
	}
	since := s.from
	looks := h.looks(s)
	for i, look := range looks[:len(looks)-1] {
		if !h.hasRoom(j, task, look, !traffic) {
			since = looks[i+1].at
			continue
		}
		for ; looks[i+1].at-since >= idleWithRoom; since += idleStep {
			if !traffic || h.quiet(span{since - calmBeforeIdle, since + idleWithRoom}) {
				return since + idleWithRoom, true
			}
		}
	}
	return 0, false
}

// quiet reports whether no disruption overlaps the span.
func (h *history) quiet(s span) bool {
	return !h.contact.any(s, func(Disruption) bool { return true })
}

// look is a moment just after the event with the number.
type look struct {
	at     time.Duration
	number int
}

// looks returns the moments of a span at which room may have changed, with both ends.
func (h *history) looks(s span) []look {
	first, _ := slices.BinarySearchFunc(h.Events, s.from, func(e Event, at time.Duration) int {
		if e.At <= at {
			return -1
		}
		return 1
	})
	looks := []look{{s.from, first}}
	number := first
	add := func(at time.Duration) {
		for last := looks[len(looks)-1].at; at-last > idleStep; {
			last += idleStep
			looks = append(looks, look{last, number})
		}
	}
	for _, event := range h.Events[first:] {
		if event.At >= s.to {
			break
		}
		add(event.At)
		number = event.Number
		looks = append(looks, look{event.At, number})
	}
	add(s.to)
	return append(looks, look{s.to, number})
}

// hasRoom reports whether the task fits twice into the workers that may run it and, if
// asked, whether under half of their capacity is in use.
func (h *history) hasRoom(j *job, task carobkeel.TaskName, l look, underHalf bool) bool {
	step := h.step(task)
	need := roomTwice
	if step.Gang {
		need *= step.Count
	}
	var capacity, used carobkeel.Resources
	fits := 0
	services := h.services(j)
	for _, worker := range h.lives {
		if !worker.upAt(l.at) || !slices.Contains(services, worker.Service) {
			continue
		}
		running := worker.runningAt(l.number)
		taken := h.used(running)
		capacity, used = capacity.Add(worker.Capacity), used.Add(taken)
		if h.contact.reachable(worker.WorkerStarted, l.at) && mayRun(worker, step) {
			fits += places(step, worker.Capacity.Sub(taken), together(running, task))
		}
	}
	return fits >= need && (!underHalf || isUnderHalf(used, capacity))
}

func mayRun(worker *life, step *carobkeel.Step) bool {
	return step.RequiredLabel == "" || slices.Contains(worker.Labels, step.RequiredLabel)
}

// places returns how many tasks of a step fit in what is free on a worker, beside those of
// the step that run there.
func places(step *carobkeel.Step, free carobkeel.Resources, running int) int {
	places := int64(step.Count * roomTwice)
	if step.MaxPerWorker > 0 {
		places = min(places, int64(step.MaxPerWorker-running))
	}
	demand := reserved(step)
	for _, r := range [][2]int64{
		{demand.MilliCPU, free.MilliCPU}, {demand.MemoryBytes, free.MemoryBytes}, {demand.Accelerators, free.Accelerators},
	} {
		if r[0] > 0 {
			places = min(places, r[1]/r[0])
		}
	}
	return int(max(0, places))
}

func isUnderHalf(used, capacity carobkeel.Resources) bool {
	return 2*used.MilliCPU <= capacity.MilliCPU && 2*used.MemoryBytes <= capacity.MemoryBytes &&
		2*used.Accelerators <= capacity.Accelerators
}
