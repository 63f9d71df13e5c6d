package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/table"
	"github.com/carobkeel/carobkeel/worker"
)

// The explorer is a model checker. It searches the interleavings of two
// schedulers, two workers and the store, one message at a time. A paused process
// or a delayed message is modelled by a message that stays in flight while time
// passes and other processes act.

var explorerTiming = Timing{
	ShardLease: 2 * time.Second, RenewalInterval: time.Second, GrantWindow: 6 * time.Second, Grant: 4 * time.Second,
	CheckpointTimeout: time.Second,
}

const (
	explorerStep    = time.Second
	explorerHorizon = 10
	explorerFaults  = 2
	explorerSteps   = 2000
)

// mutation selects the safety rules that a faulty implementation breaks. The
// search has to find a violation for each.
type mutation struct {
	skipInheritedWait    bool
	workerIgnoresEpoch   bool
	countFromAnswer      bool
	unfencedWrites       bool
	startBeforeDurable   bool
	releaseForgetsGrants bool
	grantTooLong         bool
}

// storeCall is a scheduler's write to the store: of the lease, or of a batch if the
// kind of the lease write is LeaseNone.
type storeCall struct {
	lease LeaseWrite
	batch Batch
	fence table.Version
	// done reports that the store has processed the write and that its answer is
	// in flight. applied then reports that the write took effect; if it is false,
	// the store refused the write.
	done, applied bool
	versions      LeaseRows
}

type link struct {
	commands  []Command
	report    *Report
	repeated  *Report
	duplicate []Command
	// sent counts the exchanges started at sentAt, the current tick.
	sentAt, sent int
}

// exchangesPerTick bounds the exchanges on one link between two ticks.
const exchangesPerTick = 3

type schedulerNode struct {
	lease *Lease
	shard *Shard
	call  *storeCall
	links [2]link
}

type model struct {
	now        int
	faults     int
	version    table.Version
	rows       LeaseRows
	job        Job
	schedulers [2]schedulerNode
	agents     [2]*Agent
	// released is set once a scheduler has released the lease.
	released bool
	// partitioned is true if scheduler 1 can't reach worker 0.
	partitioned bool
	trace       []traceStep
}

var explorerWorkers = [2]worker.ID{"w0", "w1"}

func (m *model) clock(process int) Instant {
	return Instant(time.Duration(m.now) * explorerStep).Add(time.Duration(process+1) * time.Hour)
}

// violation returns the invariant that the state violates, empty if none.
func (m *model) violation() string {
	activeRuns := 0
	for i, agent := range m.agents {
		agent.Expire(m.clock(2 + i))
		activeRuns += len(agent.running)
	}
	if activeRuns > 1 {
		return "two active runs of one task"
	}
	return ""
}

// channel is the process or connection that performs an action. Blocking a
// channel models a paused process, a slow link or an unavailable store.
type channel uint8

const (
	// One for each scheduler.
	channelScheduler channel = 0
	channelStore     channel = 2
	channelAnswer    channel = 4
	// One for each worker of scheduler 0, then of scheduler 1.
	channelLink     channel = 6
	channelDelivery channel = 10

	// One for each scheduler.
	channelLease channel = 14

	channelClock channel = 16
	channelFault channel = 17
	channelCount         = 18
)

// label is the name of an action. It is formatted only for a trace and to find an
// action by its name.
type label struct {
	format string
	of     [2]int
	length int
}

// String implements fmt.Stringer.
func (l label) String() string {
	switch l.length {
	case 0:
		return l.format
	case 1:
		return fmt.Sprintf(l.format, l.of[0])
	}
	return fmt.Sprintf(l.format, l.of[0], l.of[1])
}

// traceStep is one step of a trace.
type traceStep struct {
	at   int
	what label
}

type action struct {
	name    label
	channel channel
	do      func(m *model)
}

// startState is the state in which a search begins: scheduler 0 holds the shard,
// and the task waits, is placed on worker 0, or runs there. It is reached by the
// given number of fixed steps.
type startState struct {
	steps       int
	partitioned bool
}

// startSteps lists the numbers of fixed steps after which searches begin.
var startSteps = []int{10, 14, 17}

// startStates returns every start state.
func startStates() []startState {
	var all []startState
	for _, steps := range startSteps {
		all = append(all, startState{steps, false}, startState{steps, true})
	}
	return all
}

func newModel(t *testing.T, from startState) *model {
	t.Helper()
	m := &model{faults: explorerFaults, partitioned: from.partitioned}
	demand := carobkeel.Resources{MilliCPU: 1000}
	m.job = Job{ID: "s.1", Entry: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: demand}
	for i, id := range explorerWorkers {
		m.schedulers[i].lease = NewLease(HolderID(fmt.Sprint("scheduler-", i)), explorerTiming)
		m.agents[i] = NewAgent(id, carobkeel.Incarnation(10*(i+1)), demand, explorerTiming)
	}
	m.perform(t, "1 reads")
	for _, name := range []string{
		"0 reads", "0 sends lease write", "store takes write of 0", "0 gets answer",
		"0 sends to worker 0", "worker 0 takes commands of 0", "0 gets report of worker 0",
		"0 sends to worker 0", "worker 0 takes commands of 0", "0 gets report of worker 0",
		"0 places on 0", "0 sends batch", "store takes write of 0", "0 gets answer",
		"0 sends to worker 0", "worker 0 takes commands of 0", "0 gets report of worker 0",
	}[:from.steps] {
		m.perform(t, name)
	}
	m.trace = nil
	return m
}

func (m *model) perform(t *testing.T, name string) {
	t.Helper()
	for _, a := range m.actions(mutation{}) {
		if a.name.String() == name {
			a.do(m)
			return
		}
	}
	t.Fatalf("action %q is not possible", name)
}

// formatTrace returns the trace as text, one line for each step.
func (m *model) formatTrace() []string {
	lines := make([]string, 0, len(m.trace))
	for _, step := range m.trace {
		lines = append(lines, fmt.Sprintf("%d: %s", step.at, step.what))
	}
	return lines
}

// explore performs actions in the order given by choose until it returns none.
// It returns the trace of the first violation, nil if there is none.
func explore(t *testing.T, from startState, mutant mutation, choose func(m *model, list []action) *action) []string {
	m := newModel(t, from)
	for {
		if len(m.trace) > explorerSteps {
			t.Fatalf("no end after %d steps:\n%s", explorerSteps, strings.Join(m.formatTrace()[:100], "\n"))
		}
		next := choose(m, m.actions(mutant))
		if next == nil {
			return nil
		}
		next.do(m)
		m.trace = append(m.trace, traceStep{m.now, next.name})
		if violation := m.violation(); violation != "" {
			return append(m.formatTrace(), violation)
		}
	}
}

// hold blocks a set of channels during an interval.
type hold struct {
	channels    []channel
	from, until int
}

func (h hold) blocks(c channel, now int) bool {
	return now >= h.from && now < h.until && slices.Contains(h.channels, c)
}

// eager returns a choice that performs all actions of channels that are not
// blocked before it advances the clock. It injects no faults and releases no
// lease.
func eager(holds []hold) func(*model, []action) *action {
	return func(m *model, list []action) *action {
		var tick *action
		for k := range list {
			a := &list[k]
			if a.channel == channelClock {
				tick = a
			}
			if a.channel >= channelClock || strings.HasSuffix(a.name.format, " releases") {
				continue
			}
			if !slices.ContainsFunc(holds, func(h hold) bool { return h.blocks(a.channel, m.now) }) {
				return a
			}
		}
		return tick
	}
}

// prioritized returns a choice by random priorities of the channels, which change
// at random steps. A few changes are enough to reach most interleavings.
func prioritized(seed uint64) func(*model, []action) *action {
	random := rand.New(rand.NewPCG(seed, 0))
	var priority [channelCount]int
	for i, p := range random.Perm(int(channelCount)) {
		priority[i] = p
	}
	return func(_ *model, list []action) *action {
		if random.IntN(priorityChange) == 0 {
			priority[random.IntN(int(channelCount))] = random.IntN(2*int(channelCount)) - int(channelCount)/2
		}
		if len(list) == 0 {
			return nil
		}
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		best := &list[0]
		for k := range list {
			if priority[list[k].channel] > priority[best.channel] {
				best = &list[k]
			}
		}
		return best
	}
}

// priorityChange is the mean number of steps between two changes of a priority.
const priorityChange = 12
