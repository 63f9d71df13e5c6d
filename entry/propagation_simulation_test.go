package entry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
)

// simulation simulates several processes and a table service. It runs one event
// at a time and checks the states that the processes install.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	processes []*process
	messages  []message
	links     map[[2]int]int // number of the link between two processes
	blocked   map[[2]int]bool
	lastLink  int
	history   []*carobkeel.Catalogue // every accepted state, by revision
	head      carobkeel.Revision     // revision of the table service
	storeDown bool
	// storeSlow delays the answers of the table service until answerSlowReads.
	storeSlow      bool
	delayedAnswers []func()
	// violations describes the violated invariants.
	violations []string
}

type process struct {
	propagation   *entry.Propagation
	leaf          bool
	down          bool
	paused        bool
	installed     carobkeel.Revision // in force, 0 after a start
	highestServed carobkeel.Revision // highest in force while serving, over all starts
	served        *entry.ServeAction
	reports       []entry.PropagationAction
	// incarnation is the number of the process's current incarnation.
	incarnation int
	// waiting holds the events that arrived while the process was paused.
	waiting []entry.PropagationEvent
}

type message struct {
	to    int
	link  int
	from  int
	event entry.PropagationEvent
}

func newSimulation(seed uint64, entries, leaves int) *simulation {
	w := &simulation{
		now:     time.Unix(1000, 0),
		random:  rand.New(rand.NewPCG(seed, 0)),
		links:   make(map[[2]int]int),
		blocked: make(map[[2]int]bool),
		history: []*carobkeel.Catalogue{{}},
	}
	for i := range entries + leaves {
		w.processes = append(w.processes, &process{leaf: i >= entries, down: true})
	}
	for i := range w.processes {
		w.start(i)
	}
	return w
}

func (w *simulation) entries() int {
	count := 0
	for _, p := range w.processes {
		if !p.leaf {
			count++
		}
	}
	return count
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// areConfiguredPeers reports whether two processes are configured to be areConfiguredPeers.
func (w *simulation) areConfiguredPeers(a, b int) bool {
	return a != b && !(w.processes[a].leaf && w.processes[b].leaf)
}

func (w *simulation) start(i int) {
	p := w.processes[i]
	if !p.down {
		return
	}
	config := entry.DefaultPropagationConfig()
	config.Leaf, config.ReadsStore = p.leaf, !p.leaf
	config.LoggedChanges, config.BatchChanges = 4, 2
	config.Peers = w.entries()
	if !p.leaf {
		config.Peers--
	}
	p.propagation = entry.NewPropagation(config, w.random, w.now)
	p.incarnation++
	p.down, p.paused, p.installed, p.served, p.waiting = false, false, 0, nil, nil
	w.connect()
}

func (w *simulation) crash(i int) {
	w.processes[i].down = true
	for j := range w.processes {
		w.closeLink(i, j)
	}
}

// closeLink ends the link between two processes. Messages in transit are lost.
func (w *simulation) closeLink(a, b int) {
	link, ok := w.links[pair(a, b)]
	if !ok {
		return
	}
	delete(w.links, pair(a, b))
	for _, end := range [][2]int{{a, b}, {b, a}} {
		w.step(end[0], entry.LinkDownEvent{Peer: peerID(end[1], link)})
	}
}

// connect opens every missing link between running processes that is not blocked.
func (w *simulation) connect() {
	for a := range w.processes {
		for b := a + 1; b < len(w.processes); b++ {
			_, open := w.links[pair(a, b)]
			if open || !w.areConfiguredPeers(a, b) || w.processes[a].down || w.processes[b].down || w.blocked[pair(a, b)] {
				continue
			}
			w.lastLink++
			w.links[pair(a, b)] = w.lastLink
			w.step(a, entry.LinkUpEvent{Peer: peerID(b, w.lastLink), Dialled: !w.processes[b].leaf})
			w.step(b, entry.LinkUpEvent{Peer: peerID(a, w.lastLink), Dialled: !w.processes[a].leaf})
		}
	}
}

func peerID(process, link int) entry.PeerID { return entry.PeerID(fmt.Sprintf("%d/%d", process, link)) }

func (w *simulation) block(a, b int, blocked bool) {
	w.blocked[pair(a, b)] = blocked
	if blocked {
		w.closeLink(a, b)
		return
	}
	w.connect()
}

// deliver delivers the message at the index. With keep a copy stays in transit.
func (w *simulation) deliver(index int, keep bool) {
	m := w.messages[index]
	if !keep {
		w.drop(index)
	}
	receiver := w.processes[m.to]
	if receiver.down || w.links[pair(m.to, m.from)] != m.link {
		return
	}
	w.step(m.to, m.event)
}

func (w *simulation) drop(index int) {
	w.messages = append(w.messages[:index:index], w.messages[index+1:]...)
}

// step passes an event to a process and carries out the resulting actions.
func (w *simulation) step(i int, event entry.PropagationEvent) {
	p := w.processes[i]
	if p.down {
		return
	}
	if p.paused {
		p.waiting = append(p.waiting, event)
		return
	}
	for _, action := range p.propagation.Step(event, w.now) {
		w.carryOut(i, action)
	}
}

// resume resumes a paused process, which handles the events of the meantime.
func (w *simulation) resume(i int) {
	p := w.processes[i]
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	for _, event := range waiting {
		w.step(i, event)
	}
}

func (w *simulation) resumeAll() {
	for i := range w.processes {
		w.resume(i)
	}
}

func (w *simulation) carryOut(i int, action entry.PropagationAction) {
	switch a := action.(type) {
	case entry.SendStampAction:
		for _, to := range a.To {
			w.send(i, to, func(from entry.PeerID) entry.PropagationEvent {
				return entry.PeerStampEvent{Peer: from, Stamp: a.Stamp}
			})
		}
	case entry.RequestAction:
		w.send(i, a.To, func(from entry.PeerID) entry.PropagationEvent {
			return entry.PeerRequestEvent{Peer: from, Stamp: a.Stamp, Snapshot: a.Snapshot}
		})
	case entry.ChangesAction:
		w.send(i, a.To, func(from entry.PeerID) entry.PropagationEvent {
			return entry.ChangesEvent{Peer: from, Changes: a.Changes}
		})
	case entry.SnapshotAction:
		w.send(i, a.To, func(from entry.PeerID) entry.PropagationEvent {
			return entry.SnapshotEvent{Peer: from, Catalogue: a.Catalogue, Stamp: a.Stamp}
		})
	case entry.InstallAction:
		w.observeInstall(i, a)
	case entry.ServeAction:
		w.observeServe(i, a)
	default:
		w.processes[i].reports = append(w.processes[i].reports, action)
	}
}

func (w *simulation) send(from int, to entry.PeerID, event func(from entry.PeerID) entry.PropagationEvent) {
	var process, link int
	if _, err := fmt.Sscanf(string(to), "%d/%d", &process, &link); err != nil {
		panic(err)
	}
	w.messages = append(w.messages, message{to: process, link: link, from: from, event: event(peerID(from, link))})
}

func (w *simulation) observeInstall(i int, a entry.InstallAction) {
	p := w.processes[i]
	revision := a.Catalogue.Revision
	if revision < p.installed {
		w.violate("process %d went back from revision %d to %d", i, p.installed, revision)
	}
	if int(revision) >= len(w.history) || entry.StampOf(w.history[revision]) != a.Stamp || entry.StampOf(a.Catalogue) != a.Stamp {
		w.violate("process %d holds a state under revision %d that was never accepted", i, revision)
	}
	p.installed = revision
	if p.served != nil {
		p.highestServed = max(p.highestServed, revision)
	}
}

func (w *simulation) observeServe(i int, a entry.ServeAction) {
	p := w.processes[i]
	p.served = &a
	if a.Confirmed && p.installed < p.highestServed {
		w.violate("process %d serves revision %d as confirmed, after %d before its restart", i, p.installed, p.highestServed)
	}
	p.highestServed = max(p.highestServed, p.installed)
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// accept makes the table service accept an edit.
func (w *simulation) accept() {
	if w.storeDown || int(w.head) != len(w.history)-1 {
		return
	}
	w.head++
	name := fmt.Sprintf("service-%d", w.random.IntN(3))
	if w.random.IntN(4) == 0 {
		w.history = append(w.history, w.history[w.head-1].Without(w.head, name))
		return
	}
	w.history = append(w.history, w.history[w.head-1].With(w.head, carobkeel.Entry{Name: name, Instances: w.random.IntN(9)}))
}

// poll makes a process read the table service.
func (w *simulation) poll(i int) {
	p := w.processes[i]
	if w.storeDown || p.leaf || p.down {
		return
	}
	answer := entry.PropagationEvent(entry.StoreCatalogueEvent{Catalogue: w.history[w.head]})
	if p.propagation.Stamp().Revision > w.head {
		answer = entry.StoreBehindEvent{Revision: w.head}
	}
	if !w.storeSlow {
		w.step(i, answer)
		return
	}
	start := p.incarnation
	w.delayedAnswers = append(w.delayedAnswers, func() {
		if p.incarnation == start {
			w.step(i, answer)
		}
	})
}

func (w *simulation) pollAll() {
	for i := range w.processes {
		w.poll(i)
	}
}

// answerSlowReads delivers the delayed answers of the table service.
func (w *simulation) answerSlowReads() {
	answers := w.delayedAnswers
	w.delayedAnswers = nil
	for _, answer := range answers {
		answer()
	}
}

// converge repairs everything but the table service, and runs until all processes
// have converged.
func (w *simulation) converge() { w.convergeFor(convergeTicks) }

// convergeTicks is long enough for several digests and repeated requests.
const convergeTicks = 30

func (w *simulation) convergeFor(ticks int) {
	clear(w.blocked)
	w.resumeAll()
	for i := range w.processes {
		w.start(i)
	}
	w.connect()
	for range ticks {
		for len(w.messages) > 0 {
			w.deliver(0, false)
		}
		w.tick(time.Second)
	}
}

func (w *simulation) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.processes {
		w.step(i, entry.TickEvent{})
	}
}

// newest returns the highest revision that a running process holds.
func (w *simulation) newest() carobkeel.Revision {
	var newest carobkeel.Revision
	for _, p := range w.processes {
		if !p.down {
			newest = max(newest, p.propagation.Stamp().Revision)
		}
	}
	return newest
}

// checkConverged checks that every process holds the given revision.
func (w *simulation) checkConverged(revision carobkeel.Revision) {
	for i, p := range w.processes {
		if got := p.propagation.Stamp(); got != entry.StampOf(w.history[revision]) {
			w.violate("process %d holds revision %d after all faults, want %d", i, got.Revision, revision)
		}
	}
}
