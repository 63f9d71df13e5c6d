package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/sidecar"
)

// In the fleet of the fault matrix, entries 0 and 1 share a data centre with the
// sidecars and receive their announcements directly. Entry 2 is in another data
// centre and gets relayed announcements only.
const (
	matrixEntries     = 3
	matrixHosts       = 3
	heartbeatInterval = 2 * time.Second
	presenceInterval  = 5 * time.Second
	matrixTick        = time.Second
	faultTicks        = 10
	convergenceTicks  = 40
	operationTicks    = 6
)

// matrixFleet simulates entries and sidecars on a simulated clock.
type matrixFleet struct {
	now           time.Time
	tick          int
	entries       [matrixEntries]*sidecar.Membership
	inboxes       [matrixEntries][]func(m *sidecar.Membership)
	paused        [matrixEntries]bool
	killed        [matrixEntries]bool
	blocked       map[[2]int]bool // from entry, to entry: messages are lost
	notReceived   map[[2]int]bool // entry, host: the host's announcements are lost
	running       map[int]*sidecar.Announcement
	starts        int
	knownDraining map[carobkeel.Incarnation]map[int]bool // entries that received it directly
	problems      []string
}

func newMatrixFleet() *matrixFleet {
	f := &matrixFleet{
		now: baseTime, blocked: make(map[[2]int]bool), notReceived: make(map[[2]int]bool),
		running: make(map[int]*sidecar.Announcement), knownDraining: make(map[carobkeel.Incarnation]map[int]bool),
	}
	for i := range f.entries {
		f.entries[i] = sidecar.NewMembership()
	}
	for host := range matrixHosts {
		f.startSidecar(host)
	}
	return f
}

func (f *matrixFleet) startSidecar(host int) {
	f.starts++
	a := announcement(host, f.starts, 0, sidecar.StateServing)
	f.running[host] = &a
	f.announce(host)
}

func (f *matrixFleet) setState(host int, state sidecar.State) {
	if f.running[host] != nil {
		f.running[host].State = state
		f.announce(host)
	}
}

// send appends a message to an entry's inbox. A paused entry applies it later, a
// killed one never.
func (f *matrixFleet) send(to int, message func(m *sidecar.Membership)) {
	if !f.killed[to] {
		f.inboxes[to] = append(f.inboxes[to], message)
	}
}

// announce sends a host's announcement to the entries of its data centre.
func (f *matrixFleet) announce(host int) {
	f.running[host].Sequence++
	a := *f.running[host]
	for to := range 2 {
		if !f.notReceived[[2]int{to, host}] {
			f.send(to, func(m *sidecar.Membership) { f.receiveDirect(to, m, a) })
		}
	}
}

// receiveDirect applies a direct announcement at an entry and relays it to the
// other entries if ApplyAnnouncement asks for that.
func (f *matrixFleet) receiveDirect(entry int, m *sidecar.Membership, a sidecar.Announcement) {
	if a.State != sidecar.StateServing {
		entries := f.knownDraining[a.Incarnation]
		if entries == nil {
			entries = make(map[int]bool)
			f.knownDraining[a.Incarnation] = entries
		}
		entries[entry] = true
	}
	if _, relay := m.ApplyAnnouncement(a, sidecar.HopDirect, f.now); !relay {
		return
	}
	f.forEachReachable(entry, func(other int) {
		f.send(other, func(m *sidecar.Membership) { m.ApplyAnnouncement(a, sidecar.HopRelayed, f.now) })
	})
}

func (f *matrixFleet) forEachReachable(entry int, visit func(other int)) {
	for other := range f.entries {
		if other != entry && !f.blocked[[2]int{entry, other}] {
			visit(other)
		}
	}
}

// sendPresences sends an entry's presences to the others, and then the
// announcements that they lack.
func (f *matrixFleet) sendPresences(entry int) {
	presences := f.entries[entry].Presences(f.now)
	f.forEachReachable(entry, func(other int) {
		f.send(other, func(m *sidecar.Membership) {
			missing := m.MergePresences(presences, f.now)
			if f.blocked[[2]int{other, entry}] || f.killed[entry] || f.paused[entry] {
				return
			}
			for _, a := range f.entries[entry].Lookup(missing, f.now) {
				m.ApplyAnnouncement(a, sidecar.HopRelayed, f.now)
			}
		})
	})
}

func (f *matrixFleet) kill(entry int, killed bool) {
	f.killed[entry] = killed
	f.inboxes[entry] = nil
	f.entries[entry] = sidecar.NewMembership()
	for _, entries := range f.knownDraining {
		delete(entries, entry)
	}
}

// run advances the clock by the given number of ticks.
func (f *matrixFleet) run(ticks int) {
	for range ticks {
		f.tick++
		f.now = f.now.Add(matrixTick)
		elapsed := time.Duration(f.tick) * matrixTick
		for host := range matrixHosts {
			if f.running[host] != nil && elapsed%heartbeatInterval == 0 {
				f.announce(host)
			}
		}
		for i, m := range f.entries {
			if f.paused[i] || f.killed[i] {
				continue
			}
			if elapsed%presenceInterval == 0 {
				f.sendPresences(i)
			}
			messages := f.inboxes[i]
			f.inboxes[i] = nil
			for _, message := range messages {
				message(m)
			}
			m.Expire(f.now)
			f.checkDraining(i, m)
		}
	}
}

// checkDraining checks that an entry gives no work to a sidecar that has announced
// to this entry directly that it accepts none.
func (f *matrixFleet) checkDraining(entry int, m *sidecar.Membership) {
	for _, member := range m.View().Serving("desk") {
		if f.knownDraining[member.Incarnation][entry] {
			f.problems = append(f.problems, fmt.Sprintf("entry %d uses %v after it drained", entry, member.Incarnation))
		}
	}
}

// checkConverged checks that every entry knows exactly the running sidecars.
func (f *matrixFleet) checkConverged() {
	for i, m := range f.entries {
		if m.Len() != len(f.running) {
			f.problems = append(f.problems, fmt.Sprintf("entry %d knows %d sidecars, %d run", i, m.Len(), len(f.running)))
		}
		for _, member := range m.View().Members() {
			a := f.running[int(member.Incarnation)/1000]
			if a == nil || a.Incarnation != member.Incarnation || a.State != member.State {
				f.problems = append(f.problems, fmt.Sprintf("entry %d has %v as %v", i, member.Incarnation, member.State))
			}
		}
	}
}

var membershipOperations = map[string]func(f *matrixFleet, step int){
	"join": func(f *matrixFleet, step int) {
		if step == 0 {
			delete(f.running, 0)
		}
		if step == 2 {
			f.startSidecar(0)
		}
	},
	"leave": func(f *matrixFleet, step int) {
		switch step {
		case 0:
			f.setState(0, sidecar.StateDraining)
		case 2:
			f.setState(0, sidecar.StateStopped)
		case 3:
			delete(f.running, 0)
		}
	},
	"crash": func(f *matrixFleet, step int) {
		if step == 1 {
			delete(f.running, 0)
		}
	},
	"replaced under the same address": func(f *matrixFleet, step int) {
		if step == 1 {
			f.startSidecar(0)
		}
	},
	"data centre comes back": func(f *matrixFleet, step int) {
		for host := range matrixHosts {
			if step == 0 {
				delete(f.running, host)
			}
			if step == 3 {
				f.startSidecar(host)
			}
		}
	},
}

type membershipFault struct{ begin, heal func(f *matrixFleet) }

func blockLinks(links ...[2]int) membershipFault {
	set := func(blocked bool) func(f *matrixFleet) {
		return func(f *matrixFleet) {
			for _, link := range links {
				f.blocked[link] = blocked
			}
		}
	}
	return membershipFault{begin: set(true), heal: set(false)}
}

func pauseEntry(entry int) membershipFault {
	return membershipFault{
		begin: func(f *matrixFleet) { f.paused[entry] = true },
		heal:  func(f *matrixFleet) { f.paused[entry] = false },
	}
}

func killEntry(entry int) membershipFault {
	return membershipFault{
		begin: func(f *matrixFleet) { f.kill(entry, true) },
		heal:  func(f *matrixFleet) { f.kill(entry, false) },
	}
}

var membershipFaults = map[string]membershipFault{
	"partition of the data centres": blockLinks([2]int{0, 2}, [2]int{2, 0}, [2]int{1, 2}, [2]int{2, 1}),
	"one way only":                  blockLinks([2]int{0, 2}, [2]int{1, 2}),
	"one entry receives nothing from sidecars": {
		begin: func(f *matrixFleet) { f.notReceived[[2]int{0, 0}] = true },
		heal:  func(f *matrixFleet) { delete(f.notReceived, [2]int{0, 0}) },
	},
	"first entry killed":      killEntry(0),
	"far entry killed":        killEntry(2),
	"first entry paused":      pauseEntry(0),
	"far entry paused":        pauseEntry(2),
	"messages in flight lost": {begin: func(f *matrixFleet) { f.inboxes = [matrixEntries][]func(*sidecar.Membership){} }, heal: func(*matrixFleet) {}},
}

// TestMembershipFaultMatrix injects every pair of faults at every step of every
// operation, and checks that the entries agree with the running sidecars after the
// faults are healed.
func TestMembershipFaultMatrix(t *testing.T) {
	for operation, perform := range membershipOperations {
		for firstName, firstFault := range membershipFaults {
			for secondName, secondFault := range membershipFaults {
				for step := range operationTicks {
					f := newMatrixFleet()
					f.run(convergenceTicks)
					for tick := range operationTicks {
						if tick == step {
							firstFault.begin(f)
							secondFault.begin(f)
						}
						perform(f, tick)
						f.run(1)
					}
					f.run(faultTicks)
					firstFault.heal(f)
					secondFault.heal(f)
					f.run(convergenceTicks)
					f.checkConverged()
					if len(f.problems) > 0 {
						t.Errorf("%s/%s and %s/step %d: %v", operation, firstName, secondName, step, f.problems)
					}
				}
			}
		}
	}
}
