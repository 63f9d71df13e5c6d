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

// The explorer searches the interleavings of two schedulers, two workers and
// the store, one message at a time. A pause or a late message is a message that
// stays under way while time passes and others act.

var explorerTiming = Timing{
	ShardLease: 2 * time.Second, Renewal: time.Second, Keep: 6 * time.Second, Grant: 4 * time.Second,
	CheckpointTimeout: time.Second,
}

const (
	explorerStep    = time.Second
	explorerHorizon = 10
	explorerFaults  = 2
	explorerSteps   = 2000
)

// rules are what a mutant breaks.
type rules struct {
	skipInheritedWait  bool
	workerIgnoresEpoch bool
	countFromAnswer    bool
	unfencedWrites     bool
	startBeforeDurable bool
	releaseForgets     bool
	grantFromSending   bool
}

type storeCall struct {
	lease LeaseWrite
	batch Batch
	fence table.Version
	// done says that the call took effect or was refused and the answer is
	// under way.
	done, applied bool
	versions      LeaseRows
}

type link struct {
	commands  []Command
	report    *Report
	repeated  *Report
	duplicate []Command
	// sentAt and sent count the exchanges begun since the clock last moved.
	sentAt, sent int
}

// exchangesPerTick bounds the exchanges on one link between two ticks.
const exchangesPerTick = 3

type actor struct {
	lease *Lease
	shard *Shard
	call  *storeCall
	links [2]link
}

type world struct {
	now     int
	faults  int
	version table.Version
	rows    LeaseRows
	job     Job
	actors  [2]actor
	agents  [2]*Agent
	// released is set once a scheduler gave the shard up.
	released bool
	// cut is true where scheduler 1 can't reach worker 0.
	cut   bool
	trace []stepTaken
}

var explorerWorkers = [2]worker.ID{"w0", "w1"}

func (w *world) clock(actor int) Instant {
	return Instant(time.Duration(w.now) * explorerStep).Add(time.Duration(actor+1) * time.Hour)
}

// violation names an invariant that the state breaks.
func (w *world) violation() string {
	copies := 0
	for i, agent := range w.agents {
		agent.Expire(w.clock(2 + i))
		copies += len(agent.running)
	}
	if copies > 1 {
		return "two live copies of one task"
	}
	return ""
}

// channel is who or what has to move for an action to happen. A channel that is
// held back stands for a paused process, a slow link or a store that is down.
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

// label names an action. It is written out only for a trace.
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

// stepTaken is one step of a trace.
type stepTaken struct {
	at   int
	what label
}

type action struct {
	name    label
	channel channel
	do      func(w *world)
}

// start says where a search begins: scheduler 0 holds the shard, and the task
// waits, is placed on worker 0, or runs there.
type start struct {
	steps int
	cut   bool
}

// startSteps are the lengths of the beginnings that searches start from.
var startSteps = []int{10, 14, 17}

// starts lists every beginning.
func starts() []start {
	var all []start
	for _, steps := range startSteps {
		all = append(all, start{steps, false}, start{steps, true})
	}
	return all
}

func startWorld(t *testing.T, from start) *world {
	t.Helper()
	w := &world{faults: explorerFaults, cut: from.cut}
	demand := carobkeel.Resources{MilliCPU: 1000}
	w.job = Job{ID: "s.1", Entry: "sample", Owner: "o", Class: carobkeel.ClassBatch, Demand: demand}
	for i, id := range explorerWorkers {
		w.actors[i].lease = NewLease(HolderID(fmt.Sprint("scheduler-", i)), explorerTiming)
		w.agents[i] = NewAgent(id, carobkeel.Incarnation(10*(i+1)), demand, explorerTiming)
	}
	w.perform(t, "1 reads")
	for _, name := range []string{
		"0 reads", "0 sends lease write", "store takes write of 0", "0 gets answer",
		"0 sends to worker 0", "worker 0 takes commands of 0", "0 gets report of worker 0",
		"0 sends to worker 0", "worker 0 takes commands of 0", "0 gets report of worker 0",
		"0 places on 0", "0 sends batch", "store takes write of 0", "0 gets answer",
		"0 sends to worker 0", "worker 0 takes commands of 0", "0 gets report of worker 0",
	}[:from.steps] {
		w.perform(t, name)
	}
	w.trace = nil
	return w
}

func (w *world) perform(t *testing.T, name string) {
	t.Helper()
	for _, a := range w.actions(rules{}) {
		if a.name.String() == name {
			a.do(w)
			return
		}
	}
	t.Fatalf("action %q is not possible", name)
}

// written returns the trace for people.
func (w *world) written() []string {
	lines := make([]string, 0, len(w.trace))
	for _, step := range w.trace {
		lines = append(lines, fmt.Sprintf("%d: %s", step.at, step.what))
	}
	return lines
}

// explore runs from the start world until nothing can happen any more, in the
// order that choose gives. It returns the trace of the first violation.
func explore(t *testing.T, from start, broken rules, choose func(w *world, list []action) *action) []string {
	w := startWorld(t, from)
	for {
		if len(w.trace) > explorerSteps {
			t.Fatalf("no end after %d steps:\n%s", explorerSteps, strings.Join(w.written()[:100], "\n"))
		}
		next := choose(w, w.actions(broken))
		if next == nil {
			return nil
		}
		next.do(w)
		w.trace = append(w.trace, stepTaken{w.now, next.name})
		if violation := w.violation(); violation != "" {
			return append(w.written(), violation)
		}
	}
}

// hold keeps a set of channels from moving for some time.
type hold struct {
	channels    []channel
	from, until int
}

func (h hold) blocks(c channel, now int) bool {
	return now >= h.from && now < h.until && slices.Contains(h.channels, c)
}

// eager returns a choice that moves every channel that is not held as far as it
// goes before the clock moves.
func eager(holds []hold) func(*world, []action) *action {
	return func(w *world, list []action) *action {
		var tick *action
		for k := range list {
			a := &list[k]
			if a.channel == channelClock {
				tick = a
			}
			if a.channel >= channelClock || strings.HasSuffix(a.name.format, " releases") {
				continue
			}
			if !slices.ContainsFunc(holds, func(h hold) bool { return h.blocks(a.channel, w.now) }) {
				return a
			}
		}
		return tick
	}
}

// prioritized returns a choice by random priorities of the channels, which
// change at random points: few changes suffice to reach most interleavings.
func prioritized(seed uint64) func(*world, []action) *action {
	random := rand.New(rand.NewPCG(seed, 0))
	var priority [channelCount]int
	for i, p := range random.Perm(int(channelCount)) {
		priority[i] = p
	}
	return func(_ *world, list []action) *action {
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

// priorityChange is the mean number of steps between two changes.
const priorityChange = 12
