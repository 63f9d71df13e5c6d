package scheduler

import (
	"sort"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/worker"
)

// Agent holds the rules by which a worker accepts commands and ends copies. It
// is what the platform's workers have to do, and what the worker stand-in does.
// An Agent is owned by one goroutine.
type Agent struct {
	id          worker.ID
	incarnation carobkeel.Incarnation
	timing      Timing
	capacity    carobkeel.Resources
	// epoch is the highest seen. It never falls within an incarnation.
	epoch    carobkeel.Epoch
	sequence uint64
	// running holds at most one copy of each task; their demands fit in
	// capacity at any time.
	running map[carobkeel.TaskID]RunningCopy
	ended   map[TaskRef]endedCopy
	// refused holds what was refused since the last report.
	refused []Refusal
}

// RunningCopy is a copy that a worker runs.
type RunningCopy struct {
	RunningReport
	Class carobkeel.Class
	Entry string
	// Resumed names the checkpoint that the copy was started from.
	Resumed string
	// Order is the agent's number of the start, for shedding the newest first.
	Order uint64
	// WantedCheckpoint is the highest checkpoint sequence asked for.
	WantedCheckpoint uint64
}

type endedCopy struct {
	EndedReport
	// forgettable is true once the holder has made the end durable.
	forgettable bool
	// dropAt is when no command for the copy can be valid any more.
	dropAt Instant
}

// NewAgent returns the state of a worker that has just started.
func NewAgent(id worker.ID, incarnation carobkeel.Incarnation, capacity carobkeel.Resources, timing Timing) *Agent {
	return &Agent{
		id:          id,
		incarnation: incarnation,
		timing:      timing,
		capacity:    capacity,
		running:     make(map[carobkeel.TaskID]RunningCopy),
		ended:       make(map[TaskRef]endedCopy),
	}
}

// Handle carries out a command and returns CodeOK, or why it was refused. A
// refused command has changed nothing.
func (a *Agent) Handle(now Instant, c Command) carobkeel.Code {
	a.Expire(now)
	code := a.carryOut(now, c)
	if code != carobkeel.CodeOK && len(a.refused) < refusalsKept {
		a.refused = append(a.refused, Refusal{ID: c.ID, Ref: c.Ref, Code: code})
	}
	return code
}

// refusalsKept bounds the refusals in one report. A command that is still
// wanted is sent again and refused again.
const refusalsKept = 64

func (a *Agent) carryOut(now Instant, c Command) carobkeel.Code {
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
		return a.update(c, func(r *RunningCopy) { r.SharePercent = c.SharePercent })
	case CommandCheckpoint:
		return a.update(c, func(r *RunningCopy) {
			r.WantedCheckpoint = max(r.WantedCheckpoint, c.CheckpointSequence)
		})
	case CommandStop:
		a.stop(c.Ref)
	case CommandForget:
		a.forget(now, c.Ref)
	}
	return carobkeel.CodeOK
}

// Expire ends the copies whose grants have run out and returns them. A worker
// calls it at least as often as its clock moves by a step that matters, and
// first of all when it wakes from a pause.
func (a *Agent) Expire(now Instant) []TaskRef {
	var lapsed []TaskRef
	for _, copy := range a.running {
		if now >= copy.Until {
			lapsed = append(lapsed, copy.Ref)
		}
	}
	for _, ref := range lapsed {
		a.end(ref, OutcomeLapsed, "")
	}
	for ref, ended := range a.ended {
		if ended.forgettable && now >= ended.dropAt {
			delete(a.ended, ref)
		}
	}
	return lapsed
}

// Finish records that a copy ended by itself.
func (a *Agent) Finish(ref TaskRef, outcome Outcome, reason string) {
	if copy, ok := a.running[ref.Task]; ok && copy.Ref == ref {
		a.end(ref, outcome, reason)
	}
}

// Checkpointed records a whole checkpoint of a running copy.
func (a *Agent) Checkpointed(ref TaskRef, sequence uint64, name string) {
	copy, ok := a.running[ref.Task]
	if !ok || copy.Ref != ref || sequence <= copy.CheckpointSequence {
		return
	}
	copy.CheckpointSequence, copy.Checkpoint = sequence, name
	a.running[ref.Task] = copy
}

// SetCapacity takes in that the host has changed shape. It ends the copies that
// no longer fit, batch work first and the newest first, and returns them.
func (a *Agent) SetCapacity(capacity carobkeel.Resources) []TaskRef {
	a.capacity = capacity
	var shed []TaskRef
	for len(a.running) > 0 && !a.used().FitsIn(a.capacity) {
		victim := a.leastImportant()
		a.end(victim, OutcomeShed, "")
		shed = append(shed, victim)
	}
	return shed
}

// Running returns the running copies by task id.
func (a *Agent) Running() []RunningCopy {
	copies := make([]RunningCopy, 0, len(a.running))
	for _, copy := range a.running {
		copies = append(copies, copy)
	}
	sort.Slice(copies, func(i, j int) bool { return copies[i].Ref.Task < copies[j].Ref.Task })
	return copies
}

// Report returns the worker's whole state.
func (a *Agent) Report(now Instant) Report {
	a.Expire(now)
	a.sequence++
	report := Report{
		Worker:      a.id,
		Incarnation: a.incarnation,
		Stamp:       now,
		Sequence:    a.sequence,
		Epoch:       a.epoch,
		Capacity:    a.capacity,
		Refused:     a.refused,
	}
	a.refused = nil
	for _, copy := range a.Running() {
		report.Running = append(report.Running, copy.RunningReport)
	}
	for _, ended := range a.ended {
		if !ended.forgettable {
			report.Ended = append(report.Ended, ended.EndedReport)
		}
	}
	sort.Slice(report.Ended, func(i, j int) bool { return refLess(report.Ended[i].Ref, report.Ended[j].Ref) })
	return report
}

func refLess(a, b TaskRef) bool {
	if a.Task != b.Task {
		return a.Task < b.Task
	}
	return a.Generation < b.Generation
}

func (a *Agent) start(now Instant, c Command) carobkeel.Code {
	if c.Until <= now {
		return carobkeel.CodeLeaseExpired
	}
	if _, ok := a.ended[c.Ref]; ok {
		return carobkeel.CodeJobFinished
	}
	if copy, ok := a.running[c.Ref.Task]; ok {
		if copy.Ref != c.Ref {
			return carobkeel.CodeStaleEpoch
		}
		return a.renew(now, c)
	}
	if !a.used().Add(c.Demand).FitsIn(a.capacity) {
		return carobkeel.CodeHostFull
	}
	a.sequence++
	a.running[c.Ref.Task] = RunningCopy{
		RunningReport: RunningReport{Ref: c.Ref, Until: c.Until, SharePercent: fullShare, Demand: c.Demand},
		Class:         c.Class,
		Entry:         c.Entry,
		Resumed:       c.Checkpoint,
		Order:         a.sequence,
	}
	return carobkeel.CodeOK
}

// fullShare is the share in percent of a copy that is not throttled.
const fullShare = 100

func (a *Agent) renew(now Instant, c Command) carobkeel.Code {
	copy, ok := a.running[c.Ref.Task]
	if !ok || copy.Ref != c.Ref || c.Until <= now {
		return carobkeel.CodeLeaseExpired
	}
	copy.Until = max(copy.Until, c.Until)
	a.running[c.Ref.Task] = copy
	return carobkeel.CodeOK
}

func (a *Agent) update(c Command, change func(*RunningCopy)) carobkeel.Code {
	copy, ok := a.running[c.Ref.Task]
	if !ok || copy.Ref != c.Ref {
		return carobkeel.CodeLeaseExpired
	}
	change(&copy)
	a.running[c.Ref.Task] = copy
	return carobkeel.CodeOK
}

// stop ends a copy. One that never arrived is recorded as ended too, so that a
// start command still under way is refused.
func (a *Agent) stop(ref TaskRef) {
	if _, ok := a.ended[ref]; ok {
		return
	}
	a.end(ref, OutcomeStopped, "")
}

func (a *Agent) end(ref TaskRef, outcome Outcome, reason string) {
	ended := EndedReport{Ref: ref, Outcome: outcome, Reason: reason}
	if copy, ok := a.running[ref.Task]; ok && copy.Ref == ref {
		ended.Checkpoint = copy.Checkpoint
		delete(a.running, ref.Task)
	}
	a.ended[ref] = endedCopy{EndedReport: ended}
}

// forget drops the record of a copy once every start command that was made
// before now has lapsed. The holder makes none after it.
func (a *Agent) forget(now Instant, ref TaskRef) {
	ended, ok := a.ended[ref]
	if !ok || ended.forgettable {
		return
	}
	ended.forgettable = true
	ended.dropAt = now.Add(a.timing.Grant)
	a.ended[ref] = ended
}

func (a *Agent) used() carobkeel.Resources {
	var used carobkeel.Resources
	for _, copy := range a.running {
		used = used.Add(copy.Demand)
	}
	return used
}

func (a *Agent) leastImportant() TaskRef {
	var victim RunningCopy
	for _, copy := range a.running {
		if victim.Ref.Task == "" || copy.Class > victim.Class ||
			(copy.Class == victim.Class && copy.Order > victim.Order) {
			victim = copy
		}
	}
	return victim.Ref
}
