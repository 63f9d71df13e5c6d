package sidecar_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/sidecar"
)

func TestAnnouncementOfLoadKeepsTheView(t *testing.T) {
	g := NewWithT(t)
	view, members := announceFleet("near")
	a := members[0].Announcement
	a.Sequence, a.Running, a.Queued, a.UrgentQueued = 2, 4, 7, 3
	next, newer := view.ApplyAnnouncement(a, start.Add(time.Second))
	g.Expect(newer).To(BeTrue())
	g.Expect(next).To(BeIdenticalTo(view))
	_, newer = view.ApplyAnnouncement(a, start.Add(time.Second))
	g.Expect(newer).To(BeFalse())
}

func TestDrainingMemberLeavesThePoolAtOnce(t *testing.T) {
	g := NewWithT(t)
	view, members := announceFleet("near", "near")
	a := members[0].Announcement
	a.Sequence, a.State = 2, sidecar.StateDraining
	next, _ := view.ApplyAnnouncement(a, start)
	g.Expect(next.Serving("echo")).To(Equal(members[1:]))
	g.Expect(view.Serving("echo")).To(HaveLen(2), "the earlier view is not changed")
	_, known := next.Member(a.Address)
	g.Expect(known).To(BeTrue())
}

func TestRefusalOfADrainingMemberCountsUntilItsNextAnnouncement(t *testing.T) {
	g := NewWithT(t)
	view, members := announceFleet("near")
	pool := view.Pool("echo")
	choice := sidecar.PickOptions{From: "near", Now: afterSlowStart}
	members[0].Stats.MarkDraining()
	g.Expect(pool.Pick(choice)).To(BeNil())
	a := members[0].Announcement
	a.Sequence = 2
	view.ApplyAnnouncement(a, afterSlowStart)
	g.Expect(pool.Pick(choice)).To(BeIdenticalTo(members[0]))
}

func TestRestartedMemberStartsWithEmptyStats(t *testing.T) {
	g := NewWithT(t)
	view, members := announceFleet("near")
	members[0].Stats.RecordLatency(time.Second)
	a := members[0].Announcement
	a.Incarnation, a.Sequence, a.Started = 77, 1, start.Add(time.Minute)
	next, _ := view.ApplyAnnouncement(a, start.Add(time.Minute))
	g.Expect(next.Serving("echo")[0].Stats.LatencyMicros.Load()).To(BeZero())
	old := members[0].Announcement
	old.Sequence = 9
	_, newer := next.ApplyAnnouncement(old, start.Add(time.Minute))
	g.Expect(newer).To(BeFalse(), "a late announcement of the earlier incarnation is ignored")
}

func TestSilentMemberExpires(t *testing.T) {
	g := NewWithT(t)
	view, _ := announceFleet("near", "far")
	g.Expect(view.Expire(start)).To(BeIdenticalTo(view))
	g.Expect(view.Expire(start.Add(time.Nanosecond)).Members()).To(BeEmpty())
}
