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

var baseTime = time.Unix(1000, 0)

func announcement(host, start int, sequence uint64, state sidecar.State) sidecar.Announcement {
	return sidecar.Announcement{
		Incarnation: carobkeel.Incarnation(host*1000 + start),
		Sequence:    sequence,
		Started:     baseTime.Add(time.Duration(start) * time.Second),
		Address:     fmt.Sprintf("10.0.0.%d:1", host),
		Service:     "desk",
		State:       state,
	}
}

// exchangePresences sends one round of presences from one membership to another,
// and the announcements that the receiver lacks.
func exchangePresences(from, to *sidecar.Membership, now time.Time) {
	missing := to.MergePresences(from.Presences(now), now)
	for _, a := range from.Lookup(missing, now) {
		to.ApplyAnnouncement(a, sidecar.HopRelayed, now)
	}
}

func TestRelayedAnnouncementsAreNotRelayedAgain(t *testing.T) {
	g := NewWithT(t)
	near, far, further := sidecar.NewMembership(), sidecar.NewMembership(), sidecar.NewMembership()
	a := announcement(1, 1, 1, sidecar.StateServing)
	_, relayed := near.ApplyAnnouncement(a, sidecar.HopDirect, baseTime)
	g.Expect(relayed).To(BeTrue())
	_, relayed = far.ApplyAnnouncement(a, sidecar.HopRelayed, baseTime)
	g.Expect(relayed).To(BeFalse())
	exchangePresences(far, further, baseTime)
	g.Expect(further.Len()).To(BeZero(), "an entry sends presences only of sidecars that it receives directly")
	exchangePresences(near, further, baseTime)
	g.Expect(further.View().Serving("desk")).To(HaveLen(1))
}

func TestHeartbeatMakesNoViewAndIsNotRelayed(t *testing.T) {
	g := NewWithT(t)
	m := sidecar.NewMembership()
	m.ApplyAnnouncement(announcement(1, 1, 1, sidecar.StateServing), sidecar.HopDirect, baseTime)
	view := m.View()
	heartbeat := announcement(1, 1, 2, sidecar.StateServing)
	heartbeat.Running = 5
	newer, relayed := m.ApplyAnnouncement(heartbeat, sidecar.HopDirect, baseTime.Add(time.Second))
	g.Expect(newer).To(BeTrue())
	g.Expect(relayed).To(BeFalse())
	g.Expect(m.View()).To(BeIdenticalTo(view))
	other := sidecar.NewMembership()
	exchangePresences(m, other, baseTime.Add(time.Second))
	view = other.View()
	heartbeat.Sequence = 3
	m.ApplyAnnouncement(heartbeat, sidecar.HopDirect, baseTime.Add(2*time.Second))
	g.Expect(other.MergePresences(m.Presences(baseTime.Add(2*time.Second)), baseTime.Add(2*time.Second))).To(BeEmpty())
	g.Expect(other.View()).To(BeIdenticalTo(view))
}

func TestExpiryOfEachHop(t *testing.T) {
	g := NewWithT(t)
	near, far := sidecar.NewMembership(), sidecar.NewMembership()
	near.ApplyAnnouncement(announcement(1, 1, 1, sidecar.StateServing), sidecar.HopDirect, baseTime)
	exchangePresences(near, far, baseTime)
	g.Expect(near.Expire(baseTime.Add(sidecar.DirectExpiry))).To(Equal(1))
	exchangePresences(near, far, baseTime.Add(sidecar.DirectExpiry))
	g.Expect(far.Expire(baseTime.Add(sidecar.RelayedExpiry - 1))).To(BeZero())
	g.Expect(far.Expire(baseTime.Add(sidecar.RelayedExpiry))).To(Equal(1))
	g.Expect(far.View().Members()).To(BeEmpty())
}

// A sidecar whose announcements reach only one of two entries must stay a member at
// the other for as long as they do.
func TestSidecarReceivedByOneEntryOnly(t *testing.T) {
	g := NewWithT(t)
	receives, receivesNone := sidecar.NewMembership(), sidecar.NewMembership()
	for second := range 60 {
		now := baseTime.Add(time.Duration(second) * time.Second)
		receives.ApplyAnnouncement(announcement(1, 1, uint64(second+1), sidecar.StateServing), sidecar.HopDirect, now)
		exchangePresences(receives, receivesNone, now)
		exchangePresences(receivesNone, receives, now)
		g.Expect(receivesNone.Expire(now)).To(BeZero())
	}
	g.Expect(receivesNone.View().Serving("desk")).To(HaveLen(1))
}

func TestHostReplacedUnderTheSameAddress(t *testing.T) {
	g := NewWithT(t)
	m := sidecar.NewMembership()
	m.ApplyAnnouncement(announcement(1, 1, 50, sidecar.StateServing), sidecar.HopDirect, baseTime)
	m.ApplyAnnouncement(announcement(1, 2, 1, sidecar.StateServing), sidecar.HopDirect, baseTime)
	newer, _ := m.ApplyAnnouncement(announcement(1, 1, 51, sidecar.StateServing), sidecar.HopRelayed, baseTime)
	g.Expect(newer).To(BeFalse(), "a late announcement of the replaced host is ignored")
	g.Expect(m.Len()).To(Equal(1))
	g.Expect(m.Presences(baseTime)[0].Incarnation).To(Equal(carobkeel.Incarnation(1002)))
	old := []sidecar.Presence{{Incarnation: 1001, Sequence: 60, ChangeSequence: 50}}
	g.Expect(m.MergePresences(old, baseTime)).To(Equal([]carobkeel.Incarnation{1001}))
	m.ApplyAnnouncement(announcement(1, 1, 60, sidecar.StateServing), sidecar.HopRelayed, baseTime)
	g.Expect(m.View().Members()[0].Incarnation).To(Equal(carobkeel.Incarnation(1002)))
}

func TestLateUpdateDoesNotRestoreStoppedSidecar(t *testing.T) {
	g := NewWithT(t)
	m := sidecar.NewMembership()
	m.ApplyAnnouncement(announcement(1, 1, 7, sidecar.StateStopped), sidecar.HopDirect, baseTime)
	latest := baseTime.Add(sidecar.DirectExpiry)
	m.Expire(latest)
	m.ApplyAnnouncement(announcement(1, 1, 6, sidecar.StateServing), sidecar.HopRelayed, latest)
	g.Expect(m.View().Serving("desk")).To(BeEmpty())
	m.Expire(baseTime.Add(2 * sidecar.RelayedExpiry))
	g.Expect(m.Len()).To(BeZero(), "a stopped sidecar is removed after its expiry")
}

// TestMembershipUnderFaults starts, stops, crashes and replaces sidecars at random
// while announcements get lost and entries restart. Once each sidecar reaches an
// entry and the entries reach each other again, all must agree and keep nothing of
// removed sidecars.
func TestMembershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries, hosts = 3, 4
		now := baseTime
		var members [entries]*sidecar.Membership
		for i := range members {
			members[i] = sidecar.NewMembership()
		}
		running := make(map[int]*sidecar.Announcement)
		starts := 0
		sendHeartbeat := func(host int, receives func(int) bool) {
			a := running[host]
			a.Sequence++
			for i, m := range members {
				if receives(i) {
					m.ApplyAnnouncement(*a, sidecar.HopDirect, now)
				}
			}
		}
		host, entry := rapid.IntRange(0, hosts-1), rapid.IntRange(0, entries-1)
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
				unreached := entry.Draw(t, "unreached")
				if h := host.Draw(t, "host"); running[h] != nil {
					sendHeartbeat(h, func(i int) bool { return i != unreached })
				}
			},
			"relay":   func(t *rapid.T) { exchangePresences(members[entry.Draw(t, "from")], members[entry.Draw(t, "to")], now) },
			"restart": func(t *rapid.T) { members[entry.Draw(t, "entry")] = sidecar.NewMembership() },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(t *rapid.T) { members[entry.Draw(t, "entry")].Expire(now) },
		})
		for range 20 {
			now = now.Add(2 * time.Second)
			for h := range running {
				sendHeartbeat(h, func(i int) bool { return i == h%entries })
			}
			for i := range members {
				for j := range members {
					exchangePresences(members[i], members[j], now)
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
		m.ApplyAnnouncement(a, sidecar.HopDirect, baseTime)
	}
	m.SetStops([]operator.StopTarget{{Host: "host-0"}})
	view := m.View()
	g.Expect(view.Serving("desk")).To(HaveLen(1))
	g.Expect(view.IsServing(view.Members()[0])).To(BeFalse())
	late := announcement(2, 1, 1, sidecar.StateServing)
	late.Location.Host = "host-0"
	m.ApplyAnnouncement(late, sidecar.HopDirect, baseTime)
	g.Expect(m.View().Serving("desk")).To(HaveLen(1), "a sidecar that joins under the planned stop gets no work either")
	m.SetStops(nil)
	g.Expect(m.View().Serving("desk")).To(HaveLen(3))
}
