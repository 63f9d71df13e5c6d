package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/operator"
	"github.com/carobkeel/carobkeel/sidecar"
)

var epoch = time.Unix(1000, 0)

func announcement(host, start int, sequence uint64, state sidecar.State) sidecar.Announcement {
	return sidecar.Announcement{
		Incarnation: carobkeel.Incarnation(host*1000 + start),
		Sequence:    sequence,
		Started:     epoch.Add(time.Duration(start) * time.Second),
		Address:     fmt.Sprintf("10.0.0.%d:1", host),
		Service:     "desk",
		State:       state,
	}
}

// relay carries one round of digests from one membership to another.
func relay(from, to *sidecar.Membership, now time.Time) {
	missing := to.Hear(from.Presences(now), now)
	for _, a := range from.Lookup(missing, now) {
		to.Announce(a, sidecar.HopRelayed, now)
	}
}

func TestRelayedAnnouncementsGoOneHop(t *testing.T) {
	g := NewWithT(t)
	near, far, further := sidecar.NewMembership(), sidecar.NewMembership(), sidecar.NewMembership()
	a := announcement(1, 1, 1, sidecar.StateServing)
	_, relayed := near.Announce(a, sidecar.HopDirect, epoch)
	g.Expect(relayed).To(BeTrue())
	_, relayed = far.Announce(a, sidecar.HopRelayed, epoch)
	g.Expect(relayed).To(BeFalse())
	relay(far, further, epoch)
	g.Expect(further.Len()).To(BeZero(), "an entry tells only of what it hears itself")
	relay(near, further, epoch)
	g.Expect(further.View().Serving("desk")).To(HaveLen(1))
}

func TestHeartbeatMakesNoViewAndIsNotRelayed(t *testing.T) {
	g := NewWithT(t)
	m := sidecar.NewMembership()
	m.Announce(announcement(1, 1, 1, sidecar.StateServing), sidecar.HopDirect, epoch)
	view := m.View()
	beat := announcement(1, 1, 2, sidecar.StateServing)
	beat.Running = 5
	fresh, relayed := m.Announce(beat, sidecar.HopDirect, epoch.Add(time.Second))
	g.Expect(fresh).To(BeTrue())
	g.Expect(relayed).To(BeFalse())
	g.Expect(m.View()).To(BeIdenticalTo(view))
	other := sidecar.NewMembership()
	relay(m, other, epoch.Add(time.Second))
	view = other.View()
	beat.Sequence = 3
	m.Announce(beat, sidecar.HopDirect, epoch.Add(2*time.Second))
	g.Expect(other.Hear(m.Presences(epoch.Add(2*time.Second)), epoch.Add(2*time.Second))).To(BeEmpty())
	g.Expect(other.View()).To(BeIdenticalTo(view))
}

func TestExpiryOfEachHop(t *testing.T) {
	g := NewWithT(t)
	near, far := sidecar.NewMembership(), sidecar.NewMembership()
	near.Announce(announcement(1, 1, 1, sidecar.StateServing), sidecar.HopDirect, epoch)
	relay(near, far, epoch)
	g.Expect(near.Expire(epoch.Add(sidecar.DirectExpiry))).To(Equal(1))
	relay(near, far, epoch.Add(sidecar.DirectExpiry))
	g.Expect(far.Expire(epoch.Add(sidecar.RelayedExpiry - 1))).To(BeZero())
	g.Expect(far.Expire(epoch.Add(sidecar.RelayedExpiry))).To(Equal(1))
	g.Expect(far.View().Members()).To(BeEmpty())
}

// A sidecar that one entry does not hear stays there as long as another does.
func TestSidecarHeardOneWayOnly(t *testing.T) {
	g := NewWithT(t)
	hears, deaf := sidecar.NewMembership(), sidecar.NewMembership()
	for second := range 60 {
		now := epoch.Add(time.Duration(second) * time.Second)
		hears.Announce(announcement(1, 1, uint64(second+1), sidecar.StateServing), sidecar.HopDirect, now)
		relay(hears, deaf, now)
		relay(deaf, hears, now)
		g.Expect(deaf.Expire(now)).To(BeZero())
	}
	g.Expect(deaf.View().Serving("desk")).To(HaveLen(1))
}

func TestHostReplacedUnderTheSameAddress(t *testing.T) {
	g := NewWithT(t)
	m := sidecar.NewMembership()
	m.Announce(announcement(1, 1, 50, sidecar.StateServing), sidecar.HopDirect, epoch)
	m.Announce(announcement(1, 2, 1, sidecar.StateServing), sidecar.HopDirect, epoch)
	fresh, _ := m.Announce(announcement(1, 1, 51, sidecar.StateServing), sidecar.HopRelayed, epoch)
	g.Expect(fresh).To(BeFalse(), "the host before comes late")
	g.Expect(m.Len()).To(Equal(1))
	g.Expect(m.Presences(epoch)[0].Incarnation).To(Equal(carobkeel.Incarnation(1002)))
	old := []sidecar.Presence{{Incarnation: 1001, Sequence: 60, Changed: 50}}
	g.Expect(m.Hear(old, epoch)).To(Equal([]carobkeel.Incarnation{1001}))
	m.Announce(announcement(1, 1, 60, sidecar.StateServing), sidecar.HopRelayed, epoch)
	g.Expect(m.View().Members()[0].Incarnation).To(Equal(carobkeel.Incarnation(1002)))
}

func TestLateWordDoesNotBringBackWhatStopped(t *testing.T) {
	g := NewWithT(t)
	m := sidecar.NewMembership()
	m.Announce(announcement(1, 1, 7, sidecar.StateStopped), sidecar.HopDirect, epoch)
	latest := epoch.Add(sidecar.DirectExpiry)
	m.Expire(latest)
	m.Announce(announcement(1, 1, 6, sidecar.StateServing), sidecar.HopRelayed, latest)
	g.Expect(m.View().Serving("desk")).To(BeEmpty())
	m.Expire(epoch.Add(2 * sidecar.RelayedExpiry))
	g.Expect(m.Len()).To(BeZero(), "what is long gone is forgotten")
}

// TestMembershipUnderFaults lets sidecars start, stop, crash and be replaced,
// with links between entries that fail, and checks that entries that can hear
// of everything agree in the end and keep nothing of what is gone.
func TestMembershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, hosts = 3, 4
		now := epoch
		var members [entries]*sidecar.Membership
		for i := range members {
			members[i] = sidecar.NewMembership()
		}
		running := make(map[int]*sidecar.Announcement)
		starts := 0
		beat := func(host int, heard func(int) bool) {
			a := running[host]
			a.Sequence++
			for i, m := range members {
				if heard(i) {
					m.Announce(*a, sidecar.HopDirect, now)
				}
			}
		}
		host, one := rapid.IntRange(0, hosts-1), rapid.IntRange(0, entries-1)
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				starts++
				a := announcement(host.Draw(t, "host"), starts, 0, sidecar.StateServing)
				running[int(a.Incarnation)/1000] = &a
			},
			"crash": func(t *rapid.T) { delete(running, host.Draw(t, "host")) },
			"change": func(t *rapid.T) {
				if a := running[host.Draw(t, "host")]; a != nil {
					a.State = sidecar.State(rapid.IntRange(0, 2).Draw(t, "state"))
				}
			},
			"beat": func(t *rapid.T) {
				deaf := one.Draw(t, "deaf")
				if h := host.Draw(t, "host"); running[h] != nil {
					beat(h, func(i int) bool { return i != deaf })
				}
			},
			"relay":   func(t *rapid.T) { relay(members[one.Draw(t, "from")], members[one.Draw(t, "to")], now) },
			"restart": func(t *rapid.T) { members[one.Draw(t, "entry")] = sidecar.NewMembership() },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(t *rapid.T) { members[one.Draw(t, "entry")].Expire(now) },
		})
		for range 20 {
			now = now.Add(2 * time.Second)
			for h := range running {
				beat(h, func(i int) bool { return i == h%entries })
			}
			for i := range members {
				for j := range members {
					relay(members[i], members[j], now)
				}
				members[i].Expire(now)
			}
		}
		for i, m := range members {
			if m.Len() != len(running) || len(m.View().Members()) != len(running) {
				t.Fatalf("entry %d knows %d sidecars, %d run", i, m.Len(), len(running))
			}
			for _, member := range m.View().Members() {
				a := running[int(member.Incarnation)/1000]
				if a == nil || a.Incarnation != member.Incarnation || a.State != member.State {
					t.Fatalf("entry %d has %+v, running is %+v", i, member.Announcement, a)
				}
			}
		}
	})
}

func TestPlannedStopTakesItsSidecarsOutOfUse(t *testing.T) {
	g := NewWithT(t)
	m := sidecar.NewMembership()
	for host := range 2 {
		a := announcement(host, 1, 1, sidecar.StateServing)
		a.Location.Host = fmt.Sprint("host-", host)
		m.Announce(a, sidecar.HopDirect, epoch)
	}
	m.Stop([]operator.StopTarget{{Host: "host-0"}})
	view := m.View()
	g.Expect(view.Serving("desk")).To(HaveLen(1))
	g.Expect(view.IsServing(view.Members()[0])).To(BeFalse())
	late := announcement(2, 1, 1, sidecar.StateServing)
	late.Location.Host = "host-0"
	m.Announce(late, sidecar.HopDirect, epoch)
	g.Expect(m.View().Serving("desk")).To(HaveLen(1), "one that joins there gets none either")
	m.Stop(nil)
	g.Expect(m.View().Serving("desk")).To(HaveLen(3))
}
