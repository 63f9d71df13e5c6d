package scheduler

import (
	"sort"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// Agent implements the rules by which a worker accepts commands and ends runs.
// The platform's workers have to follow them; the worker stand-in uses this
// type. An Agent is owned by one goroutine.
type Agent struct {
	id          worker.ID
	incarnation carobkeel.Incarnation
	timing      Timing
	capacity    carobkeel.Resources
	// epoch is the highest epoch seen. It never decreases within an incarnation.
	epoch    carobkeel.Epoch
	sequence uint64
	// running holds at most one run of each task; their demands fit in
	// capacity at any time.
	running map[carobkeel.TaskID]ActiveRun
	ended   map[RunRef]endedRun
	// refused holds the commands refused since the last report.
	refused []Refusal
}

// ActiveRun is a run that a worker executes.
type ActiveRun struct {
	RunningReport
	Class carobkeel.Class
	Entry string
	// ResumedFrom names the checkpoint that the run was started from.
	ResumedFrom string
	// StartSequence numbers the starts of the agent, so that the newest run is shed
	// first.
	StartSequence uint64
	// RequestedCheckpoint is the highest checkpoint sequence requested.
	RequestedCheckpoint uint64
}

type endedRun struct {
	EndedReport
	// acknowledged is true once the holder has made the end durable.
	acknowledged bool
	// dropAt is the time from which no command for the run can be valid.
	dropAt Instant
}

// NewAgent returns the state of a worker that has just started.
func NewAgent(id worker.ID, incarnation carobkeel.Incarnation, capacity carobkeel.Resources, timing Timing) *Agent {
	return &Agent{
		id:          id,
		incarnation: incarnation,
		timing:      timing,
		capacity:    capacity,
		running:     make(map[carobkeel.TaskID]ActiveRun),
		ended:       make(map[RunRef]endedRun),
	}
}

// Handle executes a command and returns CodeOK, or the code with which it was
// refused. A refused command changes no run.
func (a *Agent) Handle(now Instant, c Command) carobkeel.Code {
	a.Expire(now)
	code := a.execute(now, c)
	if code != carobkeel.CodeOK && len(a.refused) < maxRefusals {
		a.refused = append(a.refused, Refusal{ID: c.ID, Ref: c.Ref, Code: code})
	}
	return code
}

// maxRefusals bounds the refusals in one report. One that is left out is
// reported later, because the holder repeats a command that is still needed.
const maxRefusals = 64

func (a *Agent) execute(now Instant, c Command) carobkeel.Code {
	if c.Worker != a.id || c.Incarnation != a.incarnation || c.ID.Epoch < a.epoch {
		return carobkeel.CodeStaleEpoch
	}
	a.epoch = c.ID.Epoch
	switch c.Kind {
	case CommandStart:
		return a.start(now, c)
	case CommandRenew:
		return a.renew(now, c)
	case CommandThrottle:
		return a.update(c, func(r *ActiveRun) { r.PacePercent = c.PacePercent })
	case CommandCheckpoint:
		return a.update(c, func(r *ActiveRun) {
			r.RequestedCheckpoint = max(r.RequestedCheckpoint, c.CheckpointSequence)
		})
	case CommandStop:
		a.stop(c.Ref)
	case CommandForget:
		a.forget(now, c.Ref)
	}
	return carobkeel.CodeOK
}

// Expire ends the runs whose grants have expired and returns them. A worker
// calls it periodically, often enough to end runs on time, and before anything
// else when it resumes after a pause.
func (a *Agent) Expire(now Instant) []RunRef {
	var expired []RunRef
	for _, run := range a.running {
		if now >= run.GrantUntil {
			expired = append(expired, run.Ref)
		}
	}
	for _, ref := range expired {
		a.end(ref, OutcomeExpired, "")
	}
	for ref, ended := range a.ended {
		if ended.acknowledged && now >= ended.dropAt {
			delete(a.ended, ref)
		}
	}
	return expired
}

// Finish records that a run ended by itself.
func (a *Agent) Finish(ref RunRef, outcome Outcome, reason string) {
	if run, ok := a.running[ref.Task]; ok && run.Ref == ref {
		a.end(ref, outcome, reason)
	}
}

// Checkpointed records a complete checkpoint of an active run.
func (a *Agent) Checkpointed(ref RunRef, sequence uint64, name string) {
	run, ok := a.running[ref.Task]
	if !ok || run.Ref != ref || sequence <= run.CheckpointSequence {
		return
	}
	run.CheckpointSequence, run.Checkpoint = sequence, name
	a.running[ref.Task] = run
}

// SetCapacity sets the capacity of the host. It ends the runs that no longer
// fit, batch tasks first and the newest first, and returns them.
func (a *Agent) SetCapacity(capacity carobkeel.Resources) []RunRef {
	a.capacity = capacity
	var shed []RunRef
	for len(a.running) > 0 && !a.used().FitsIn(a.capacity) {
		victim := a.lowestPriority()
		a.end(victim, OutcomeShed, "")
		shed = append(shed, victim)
	}
	return shed
}

// Running returns the active runs, sorted by task id.
func (a *Agent) Running() []ActiveRun {
	runs := make([]ActiveRun, 0, len(a.running))
	for _, run := range a.running {
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].Ref.Task < runs[j].Ref.Task })
	return runs
}

// Report returns the worker's complete state.
func (a *Agent) Report(now Instant) Report {
	a.Expire(now)
	a.sequence++
	report := Report{
		Worker:      a.id,
		Incarnation: a.incarnation,
		Timestamp:   now,
		Sequence:    a.sequence,
		Epoch:       a.epoch,
		Capacity:    a.capacity,
		Refused:     a.refused,
	}
	a.refused = nil
	for _, run := range a.Running() {
		report.Running = append(report.Running, run.RunningReport)
	}
	for _, ended := range a.ended {
		if !ended.acknowledged {
			report.Ended = append(report.Ended, ended.EndedReport)
		}
	}
	sort.Slice(report.Ended, func(i, j int) bool { return refLess(report.Ended[i].Ref, report.Ended[j].Ref) })
	return report
}

func refLess(a, b RunRef) bool {
	if a.Task != b.Task {
		return a.Task < b.Task
	}
	return a.Run < b.Run
}

func (a *Agent) start(now Instant, c Command) carobkeel.Code {
	if c.GrantUntil <= now {
		return carobkeel.CodeLeaseExpired
	}
	if _, ok := a.ended[c.Ref]; ok {
		return carobkeel.CodeJobFinished
	}
	if run, ok := a.running[c.Ref.Task]; ok {
		if run.Ref != c.Ref {
			return carobkeel.CodeStaleEpoch
		}
		return a.renew(now, c)
	}
	if !a.used().Add(c.Demand).FitsIn(a.capacity) {
		return carobkeel.CodeHostFull
	}
	a.sequence++
	a.running[c.Ref.Task] = ActiveRun{
		RunningReport: RunningReport{Ref: c.Ref, GrantUntil: c.GrantUntil, PacePercent: fullPacePercent, Demand: c.Demand},
		Class:         c.Class,
		Entry:         c.Entry,
		ResumedFrom:   c.Checkpoint,
		StartSequence: a.sequence,
	}
	return carobkeel.CodeOK
}

// fullPacePercent is the pace of a run that is not throttled.
const fullPacePercent = 100

func (a *Agent) renew(now Instant, c Command) carobkeel.Code {
	run, ok := a.running[c.Ref.Task]
	if !ok || run.Ref != c.Ref || c.GrantUntil <= now {
		return carobkeel.CodeLeaseExpired
	}
	run.GrantUntil = max(run.GrantUntil, c.GrantUntil)
	a.running[c.Ref.Task] = run
	return carobkeel.CodeOK
}

func (a *Agent) update(c Command, change func(*ActiveRun)) carobkeel.Code {
	run, ok := a.running[c.Ref.Task]
	if !ok || run.Ref != c.Ref {
		return carobkeel.CodeLeaseExpired
	}
	change(&run)
	a.running[c.Ref.Task] = run
	return carobkeel.CodeOK
}

// stop ends a run. A run that was never started here is recorded as ended too,
// so that a start command still in flight is refused.
func (a *Agent) stop(ref RunRef) {
	if _, ok := a.ended[ref]; ok {
		return
	}
	a.end(ref, OutcomeStopped, "")
}

func (a *Agent) end(ref RunRef, outcome Outcome, reason string) {
	ended := EndedReport{Ref: ref, Outcome: outcome, Reason: reason}
	if run, ok := a.running[ref.Task]; ok && run.Ref == ref {
		ended.Checkpoint = run.Checkpoint
		delete(a.running, ref.Task)
	}
	a.ended[ref] = endedRun{EndedReport: ended}
}

// forget schedules the removal of a run's record for the time when every start
// command issued before now has expired. The holder issues none after a forget
// command.
func (a *Agent) forget(now Instant, ref RunRef) {
	ended, ok := a.ended[ref]
	if !ok || ended.acknowledged {
		return
	}
	ended.acknowledged = true
	ended.dropAt = now.Add(a.timing.Grant)
	a.ended[ref] = ended
}

func (a *Agent) used() carobkeel.Resources {
	var used carobkeel.Resources
	for _, run := range a.running {
		used = used.Add(run.Demand)
	}
	return used
}

func (a *Agent) lowestPriority() RunRef {
	var victim ActiveRun
	for _, run := range a.running {
		if victim.Ref.Task == "" || run.Class > victim.Class ||
			(run.Class == victim.Class && run.StartSequence > victim.StartSequence) {
			victim = run
		}
	}
	return victim.Ref
}
