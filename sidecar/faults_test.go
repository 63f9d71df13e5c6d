package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/sidecar"
)

// The fleet of the fault matrix has entries 0 and 1 in one data centre, which
// hear its sidecars, and entry 2 in another, which is told of them.
const (
	matrixEntries  = 3
	matrixHosts    = 3
	beatInterval   = 2 * time.Second
	tellInterval   = 5 * time.Second
	matrixTick     = time.Second
	faultTicks     = 10
	settleTicks    = 40
	operationTicks = 6
)

// bench runs memberships against each other on a clock of its own.
type bench struct {
	now      time.Time
	tick     int
	entries  [matrixEntries]*sidecar.Membership
	inboxes  [matrixEntries][]func(m *sidecar.Membership)
	paused   [matrixEntries]bool
	killed   [matrixEntries]bool
	blocked  map[[2]int]bool // entries that do not hear each other, one way
	deaf     map[[2]int]bool // entry, host: the host's word does not arrive
	running  map[int]*sidecar.Announcement
	starts   int
	draining map[carobkeel.Incarnation]map[int]bool // entries that were told so
	problems []string
}

func newBench() *bench {
	b := &bench{
		now: epoch, blocked: make(map[[2]int]bool), deaf: make(map[[2]int]bool),
		running: make(map[int]*sidecar.Announcement), draining: make(map[carobkeel.Incarnation]map[int]bool),
	}
	for i := range b.entries {
		b.entries[i] = sidecar.NewMembership()
	}
	for host := range matrixHosts {
		b.start(host)
	}
	return b
}

func (b *bench) start(host int) {
	b.starts++
	a := announcement(host, b.starts, 0, sidecar.StateServing)
	b.running[host] = &a
	b.announce(host)
}

func (b *bench) set(host int, state sidecar.State) {
	if b.running[host] != nil {
		b.running[host].State = state
		b.announce(host)
	}
}

// send puts a word into an entry's inbox. A paused entry takes it later.
func (b *bench) send(to int, word func(m *sidecar.Membership)) {
	if !b.killed[to] {
		b.inboxes[to] = append(b.inboxes[to], word)
	}
}

// announce sends a host's word to the entries of its data centre.
func (b *bench) announce(host int) {
	b.running[host].Sequence++
	a := *b.running[host]
	for to := range 2 {
		if !b.deaf[[2]int{to, host}] {
			b.send(to, func(m *sidecar.Membership) { b.take(to, m, a) })
		}
	}
}

// take gives an entry a direct word and relays it where that is decided.
func (b *bench) take(entry int, m *sidecar.Membership, a sidecar.Announcement) {
	if a.State != sidecar.StateServing {
		told := b.draining[a.Incarnation]
		if told == nil {
			told = make(map[int]bool)
			b.draining[a.Incarnation] = told
		}
		told[entry] = true
	}
	if _, relay := m.Announce(a, sidecar.HopDirect, b.now); !relay {
		return
	}
	b.others(entry, func(other int) {
		b.send(other, func(m *sidecar.Membership) { m.Announce(a, sidecar.HopRelayed, b.now) })
	})
}

func (b *bench) others(entry int, visit func(other int)) {
	for other := range b.entries {
		if other != entry && !b.blocked[[2]int{entry, other}] {
			visit(other)
		}
	}
}

// tell sends an entry's presences, and the announcements that others lack.
func (b *bench) tell(entry int) {
	present := b.entries[entry].Presences(b.now)
	b.others(entry, func(other int) {
		b.send(other, func(m *sidecar.Membership) {
			missing := m.Hear(present, b.now)
			if b.blocked[[2]int{other, entry}] || b.killed[entry] || b.paused[entry] {
				return
			}
			for _, a := range b.entries[entry].Lookup(missing, b.now) {
				m.Announce(a, sidecar.HopRelayed, b.now)
			}
		})
	})
}

func (b *bench) kill(entry int, killed bool) {
	b.killed[entry] = killed
	b.inboxes[entry] = nil
	b.entries[entry] = sidecar.NewMembership()
	for _, told := range b.draining {
		delete(told, entry)
	}
}

// run lets time pass.
func (b *bench) run(ticks int) {
	for range ticks {
		b.tick++
		b.now = b.now.Add(matrixTick)
		elapsed := time.Duration(b.tick) * matrixTick
		for host := range matrixHosts {
			if b.running[host] != nil && elapsed%beatInterval == 0 {
				b.announce(host)
			}
		}
		for i, m := range b.entries {
			if b.paused[i] || b.killed[i] {
				continue
			}
			if elapsed%tellInterval == 0 {
				b.tell(i)
			}
			words := b.inboxes[i]
			b.inboxes[i] = nil
			for _, word := range words {
				word(m)
			}
			m.Expire(b.now)
			b.observe(i, m)
		}
	}
}

// observe checks that no entry gives work to a sidecar after it told the entry
// itself that it takes none.
func (b *bench) observe(entry int, m *sidecar.Membership) {
	for _, member := range m.View().Serving("desk") {
		if b.draining[member.Incarnation][entry] {
			b.problems = append(b.problems, fmt.Sprintf("entry %d uses %v after it drained", entry, member.Incarnation))
		}
	}
}

// settled checks that every entry knows exactly what runs.
func (b *bench) settled() {
	for i, m := range b.entries {
		if m.Len() != len(b.running) {
			b.problems = append(b.problems, fmt.Sprintf("entry %d knows %d sidecars, %d run", i, m.Len(), len(b.running)))
		}
		for _, member := range m.View().Members() {
			a := b.running[int(member.Incarnation)/1000]
			if a == nil || a.Incarnation != member.Incarnation || a.State != member.State {
				b.problems = append(b.problems, fmt.Sprintf("entry %d has %v as %v", i, member.Incarnation, member.State))
			}
		}
	}
}

var membershipOperations = map[string]func(b *bench, step int){
	"join": func(b *bench, step int) {
		if step == 0 {
			delete(b.running, 0)
		}
		if step == 2 {
			b.start(0)
		}
	},
	"leave": func(b *bench, step int) {
		switch step {
		case 0:
			b.set(0, sidecar.StateDraining)
		case 2:
			b.set(0, sidecar.StateStopped)
		case 3:
			delete(b.running, 0)
		}
	},
	"crash": func(b *bench, step int) {
		if step == 1 {
			delete(b.running, 0)
		}
	},
	"replaced under the same address": func(b *bench, step int) {
		if step == 1 {
			b.start(0)
		}
	},
	"data centre comes back": func(b *bench, step int) {
		for host := range matrixHosts {
			if step == 0 {
				delete(b.running, host)
			}
			if step == 3 {
				b.start(host)
			}
		}
	},
}

type membershipFault struct{ begin, mend func(b *bench) }

func blocking(ways ...[2]int) membershipFault {
	set := func(blocked bool) func(b *bench) {
		return func(b *bench) {
			for _, way := range ways {
				b.blocked[way] = blocked
			}
		}
	}
	return membershipFault{begin: set(true), mend: set(false)}
}

func pausing(entry int) membershipFault {
	return membershipFault{
		begin: func(b *bench) { b.paused[entry] = true },
		mend:  func(b *bench) { b.paused[entry] = false },
	}
}

func killing(entry int) membershipFault {
	return membershipFault{
		begin: func(b *bench) { b.kill(entry, true) },
		mend:  func(b *bench) { b.kill(entry, false) },
	}
}

var membershipFaults = map[string]membershipFault{
	"partition of the data centres": blocking([2]int{0, 2}, [2]int{2, 0}, [2]int{1, 2}, [2]int{2, 1}),
	"one way only":                  blocking([2]int{0, 2}, [2]int{1, 2}),
	"one entry hears no sidecar": {
		begin: func(b *bench) { b.deaf[[2]int{0, 0}] = true },
		mend:  func(b *bench) { delete(b.deaf, [2]int{0, 0}) },
	},
	"first entry killed":    killing(0),
	"far entry killed":      killing(2),
	"first entry paused":    pausing(0),
	"far entry paused":      pausing(2),
	"words on the way lost": {begin: func(b *bench) { b.inboxes = [matrixEntries][]func(*sidecar.Membership){} }, mend: func(*bench) {}},
}

// TestMembershipFaultMatrix brings every pair of faults at every step of every
// operation.
func TestMembershipFaultMatrix(t *testing.T) {
	for operation, act := range membershipOperations {
		for first, one := range membershipFaults {
			for second, two := range membershipFaults {
				for step := range operationTicks {
					b := newBench()
					b.run(settleTicks)
					for tick := range operationTicks {
						if tick == step {
							one.begin(b)
							two.begin(b)
						}
						act(b, tick)
						b.run(1)
					}
					b.run(faultTicks)
					one.mend(b)
					two.mend(b)
					b.run(settleTicks)
					b.settled()
					if len(b.problems) > 0 {
						t.Errorf("%s/%s and %s/step %d: %v", operation, first, second, step, b.problems)
					}
				}
			}
		}
	}
}
