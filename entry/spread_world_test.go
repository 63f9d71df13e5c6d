package entry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
)

// world runs several spreads against each other and a table service, one event
// at a time, and observes what they put in force.
type world struct {
	now       time.Time
	random    *rand.Rand
	processes []*process
	messages  []parcel
	links     map[[2]int]int // number of the link between two processes
	blocked   map[[2]int]bool
	lastLink  int
	history   []*carobkeel.Catalogue // every accepted state, by revision
	head      carobkeel.Revision     // what the table service is at
	storeDown bool
	// slow holds up the table service's answers in late.
	slow bool
	late []func()
	// violations is what the observer saw that must not be.
	violations []string
}

type process struct {
	spread    *entry.Spread
	leaf      bool
	down      bool
	paused    bool
	installed carobkeel.Revision // highest in force since the start
	ever      carobkeel.Revision // highest in force at this address
	serves    *entry.ServeAction
	reports   []entry.SpreadAction
	// started counts the starts at this address.
	started int
	// waiting holds what came while the process was paused.
	waiting []entry.SpreadEvent
}

type parcel struct {
	to    int
	link  int
	from  int
	event entry.SpreadEvent
}

func newWorld(seed uint64, entries, leaves int) *world {
	w := &world{
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

func (w *world) entries() int {
	count := 0
	for _, p := range w.processes {
		if !p.leaf {
			count++
		}
	}
	return count
}

func pair(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// linked reports whether two processes are set to be linked.
func (w *world) linked(a, b int) bool {
	return a != b && !(w.processes[a].leaf && w.processes[b].leaf)
}

func (w *world) start(i int) {
	p := w.processes[i]
	if !p.down {
		return
	}
	config := entry.DefaultSpreadConfig()
	config.Leaf, config.Store = p.leaf, !p.leaf
	config.LoggedChanges, config.BatchChanges = 4, 2
	config.Peers = w.entries()
	if !p.leaf {
		config.Peers--
	}
	p.spread = entry.NewSpread(config, w.random, w.now)
	p.started++
	p.down, p.paused, p.installed, p.serves, p.waiting = false, false, 0, nil, nil
	w.connect()
}

func (w *world) crash(i int) {
	w.processes[i].down = true
	for j := range w.processes {
		w.cut(i, j)
	}
}

// cut ends the link between two processes. What is on the way is lost.
func (w *world) cut(a, b int) {
	link, ok := w.links[pair(a, b)]
	if !ok {
		return
	}
	delete(w.links, pair(a, b))
	for _, end := range [][2]int{{a, b}, {b, a}} {
		w.step(end[0], entry.LinkDownEvent{Peer: peerID(end[1], link)})
	}
}

// connect opens every link that can be open.
func (w *world) connect() {
	for a := range w.processes {
		for b := a + 1; b < len(w.processes); b++ {
			_, open := w.links[pair(a, b)]
			if open || !w.linked(a, b) || w.processes[a].down || w.processes[b].down || w.blocked[pair(a, b)] {
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

func (w *world) block(a, b int, blocked bool) {
	w.blocked[pair(a, b)] = blocked
	if blocked {
		w.cut(a, b)
		return
	}
	w.connect()
}

// deliver hands over the message at the index. A copy of it may stay.
func (w *world) deliver(index int, keep bool) {
	p := w.messages[index]
	if !keep {
		w.drop(index)
	}
	receiver := w.processes[p.to]
	if receiver.down || w.links[pair(p.to, p.from)] != p.link {
		return
	}
	w.step(p.to, p.event)
}

func (w *world) drop(index int) {
	w.messages = append(w.messages[:index:index], w.messages[index+1:]...)
}

// step gives an event to a process and carries out what it decides.
func (w *world) step(i int, event entry.SpreadEvent) {
	p := w.processes[i]
	if p.down {
		return
	}
	if p.paused {
		p.waiting = append(p.waiting, event)
		return
	}
	for _, action := range p.spread.Step(event, w.now) {
		w.carryOut(i, action)
	}
}

// resume lets a paused process take what came in the meantime.
func (w *world) resume(i int) {
	p := w.processes[i]
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	for _, event := range waiting {
		w.step(i, event)
	}
}

func (w *world) resumeAll() {
	for i := range w.processes {
		w.resume(i)
	}
}

func (w *world) carryOut(i int, action entry.SpreadAction) {
	switch a := action.(type) {
	case entry.HaveAction:
		for _, to := range a.To {
			w.send(i, to, func(from entry.PeerID) entry.SpreadEvent {
				return entry.HaveEvent{Peer: from, Stamp: a.Stamp}
			})
		}
	case entry.WantAction:
		w.send(i, a.To, func(from entry.PeerID) entry.SpreadEvent {
			return entry.WantEvent{Peer: from, Stamp: a.Stamp, Whole: a.Whole}
		})
	case entry.ChangesAction:
		w.send(i, a.To, func(from entry.PeerID) entry.SpreadEvent {
			return entry.ChangesEvent{Peer: from, Changes: a.Changes}
		})
	case entry.SnapshotAction:
		w.send(i, a.To, func(from entry.PeerID) entry.SpreadEvent {
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

func (w *world) send(from int, to entry.PeerID, event func(from entry.PeerID) entry.SpreadEvent) {
	var process, link int
	if _, err := fmt.Sscanf(string(to), "%d/%d", &process, &link); err != nil {
		panic(err)
	}
	w.messages = append(w.messages, parcel{to: process, link: link, from: from, event: event(peerID(from, link))})
}

func (w *world) observeInstall(i int, a entry.InstallAction) {
	p := w.processes[i]
	revision := a.Catalogue.Revision
	if revision < p.installed {
		w.violate("process %d fell from revision %d to %d", i, p.installed, revision)
	}
	if int(revision) >= len(w.history) || entry.StampOf(w.history[revision]) != a.Stamp || entry.StampOf(a.Catalogue) != a.Stamp {
		w.violate("process %d holds a state under revision %d that was never accepted", i, revision)
	}
	p.installed = revision
	if p.serves != nil {
		p.ever = max(p.ever, revision)
	}
}

func (w *world) observeServe(i int, a entry.ServeAction) {
	p := w.processes[i]
	p.serves = &a
	if a.Confirmed && p.installed < p.ever {
		w.violate("process %d serves revision %d as confirmed, after %d before its restart", i, p.installed, p.ever)
	}
	p.ever = max(p.ever, p.installed)
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// accept makes the table service accept an edit.
func (w *world) accept() {
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

// poll lets a process read the table service.
func (w *world) poll(i int) {
	p := w.processes[i]
	if w.storeDown || p.leaf || p.down {
		return
	}
	answer := entry.SpreadEvent(entry.StoreCatalogueEvent{Catalogue: w.history[w.head]})
	if p.spread.Stamp().Revision > w.head {
		answer = entry.StoreBehindEvent{Revision: w.head}
	}
	if !w.slow {
		w.step(i, answer)
		return
	}
	start := p.started
	w.late = append(w.late, func() {
		if p.started == start {
			w.step(i, answer)
		}
	})
}

func (w *world) pollAll() {
	for i := range w.processes {
		w.poll(i)
	}
}

// answerSlowReads lets the answers that were held up arrive.
func (w *world) answerSlowReads() {
	late := w.late
	w.late = nil
	for _, answer := range late {
		answer()
	}
}

// settle mends everything but the table service and runs until nothing moves.
func (w *world) settle() { w.settleFor(settleTicks) }

// settleTicks is long enough for several digests and repeated requests.
const settleTicks = 30

func (w *world) settleFor(ticks int) {
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

func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.processes {
		w.step(i, entry.TickEvent{})
	}
}

// newest returns the highest revision that a live process or the reachable
// table service holds.
func (w *world) newest() carobkeel.Revision {
	var newest carobkeel.Revision
	for _, p := range w.processes {
		if !p.down {
			newest = max(newest, p.spread.Stamp().Revision)
		}
	}
	return newest
}

// checkSettled observes that every process holds the given revision.
func (w *world) checkSettled(revision carobkeel.Revision) {
	for i, p := range w.processes {
		if got := p.spread.Stamp(); got != entry.StampOf(w.history[revision]) {
			w.violate("process %d holds revision %d after all faults, want %d", i, got.Revision, revision)
		}
	}
}
