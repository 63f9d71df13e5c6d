package sidecar_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/sidecar"
)

var start = time.Unix(1_000, 0)

// afterSlowStart is a time at which no member of announceFleet is in its slow start.
var afterSlowStart = start.Add(time.Hour)

// announceFleet returns a view with one member for each given data centre, and the
// members.
func announceFleet(dataCentres ...carobkeel.DataCentre) (*sidecar.View, []*sidecar.Member) {
	view := sidecar.NewView()
	for i, dataCentre := range dataCentres {
		view, _ = view.ApplyAnnouncement(sidecar.Announcement{
			Incarnation: carobkeel.Incarnation(i + 1),
			Sequence:    1,
			Started:     start,
			Address:     fmt.Sprintf("%03d", i),
			Service:     "echo",
			Location:    carobkeel.Location{DataCentre: dataCentre},
			Slots:       4,
		}, start)
	}
	return view, view.Serving("echo")
}

func nearMembers(count int) []carobkeel.DataCentre {
	return slices.Repeat([]carobkeel.DataCentre{"near"}, count)
}

// shares returns the share of picks that goes to each member, in the order of
// members.
func shares(pool *sidecar.Pool, members []*sidecar.Member, now time.Time) []float64 {
	const picks = 20_000
	random := rand.New(rand.NewPCG(1, 0))
	counts := make([]float64, len(members))
	for range picks {
		member := pool.Pick(sidecar.PickOptions{From: "near", Random: random.Uint64(), Now: now})
		counts[slices.Index(members, member)] += 1.0 / picks
	}
	return counts
}

func TestPickSkipsUnavailableMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 12).Draw(t, "members")
		centres := make([]carobkeel.DataCentre, count)
		for i := range centres {
			centres[i] = rapid.SampledFrom([]carobkeel.DataCentre{"near", "far"}).Draw(t, "centre")
		}
		view, members := announceFleet(centres...)
		pool := view.Pool("echo")
		var tried []*sidecar.Member
		usable := 0
		draining := make(map[*sidecar.Member]bool)
		for _, member := range members {
			switch rapid.SampledFrom([]string{"free", "busy", "tried", "draining", "failing"}).Draw(t, "state") {
			case "busy":
				member.Stats.RecordLoad(sidecar.Load{Running: 4, Queued: 9, UrgentQueued: 9})
			case "tried":
				tried = append(tried, member)
				continue
			case "draining":
				member.Stats.MarkDraining()
				draining[member] = true
				continue
			case "failing":
				for range 20 {
					pool.RecordFailure(member, afterSlowStart)
				}
			}
			usable++
		}
		picked := pool.Pick(sidecar.PickOptions{From: "near", Random: rapid.Uint64().Draw(t, "random"), Now: afterSlowStart, Tried: tried})
		if (picked != nil) != (usable > 0) {
			t.Fatalf("picked %v of %d usable members", picked, usable)
		}
		if picked != nil && (slices.Contains(tried, picked) || draining[picked]) {
			t.Fatalf("picked member %s, which takes no work", picked.Address)
		}
	})
}

func TestNeverEjectsMoreThanHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "members")
		view, members := announceFleet(nearMembers(count)...)
		pool := view.Pool("echo")
		now := afterSlowStart
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 99), 1, 400).Draw(t, "steps") {
			member := members[n%count]
			if n >= 90 {
				member.Stats.RecordLatency(time.Millisecond)
			} else {
				pool.RecordFailure(member, now)
			}
			now = now.Add(time.Duration(n) * time.Millisecond)
			ejected := 0
			for _, each := range members {
				if each.Stats.IsEjected(now) {
					ejected++
				}
			}
			if 2*ejected > count {
				t.Fatalf("%d of %d members are ejected", ejected, count)
			}
		}
	})
}

func TestImmediatelyFailingUpstreamAttractsFewRequests(t *testing.T) {
	g := NewWithT(t)
	view, members := announceFleet(nearMembers(10)...)
	pool := view.Pool("echo")
	random := rand.New(rand.NewPCG(2, 0))
	failed := 0
	const picks = 10_000
	for i := range picks {
		now := afterSlowStart.Add(time.Duration(i) * time.Millisecond)
		member := pool.Pick(sidecar.PickOptions{From: "near", Random: random.Uint64(), Now: now})
		if member == members[3] {
			failed++
			pool.RecordFailure(member, now)
			continue
		}
		member.Stats.Begin(carobkeel.ClassLatencyCritical)
		member.Stats.RecordLatency(20 * time.Millisecond)
		member.Stats.End(carobkeel.ClassLatencyCritical)
	}
	g.Expect(failed).To(BeNumerically("<", picks/100))
	g.Expect(members[3].Stats.IsEjected(afterSlowStart.Add(picks * time.Millisecond))).To(BeTrue())
}

func TestEjectionEndsAndLengthens(t *testing.T) {
	g := NewWithT(t)
	view, members := announceFleet(nearMembers(4)...)
	pool := view.Pool("echo")
	fail := func(now time.Time) {
		for range 5 {
			pool.RecordFailure(members[0], now)
		}
	}
	fail(afterSlowStart)
	g.Expect(members[0].Stats.IsEjected(afterSlowStart.Add(4 * time.Second))).To(BeTrue())
	again := afterSlowStart.Add(6 * time.Second)
	g.Expect(members[0].Stats.IsEjected(again)).To(BeFalse())
	pool.RecordFailure(members[0], again)
	g.Expect(members[0].Stats.IsEjected(again.Add(9*time.Second))).To(BeTrue(), "one failure after an ejection ejects again")
	for range 20 {
		again = again.Add(2 * time.Minute)
		fail(again)
	}
	g.Expect(members[0].Stats.IsEjected(again.Add(61 * time.Second))).To(BeFalse())
}

func TestRequestsSpreadIfAllMembersFail(t *testing.T) {
	g := NewWithT(t)
	view, members := announceFleet(nearMembers(4)...)
	pool := view.Pool("echo")
	for range 100 {
		for _, member := range members {
			pool.RecordFailure(member, afterSlowStart)
		}
	}
	used := 0
	for _, share := range shares(pool, members, afterSlowStart) {
		if share > 0.2 {
			used++
		}
	}
	g.Expect(used).To(BeNumerically(">=", 2))
}

func TestShareOfRequestsByState(t *testing.T) {
	between := func(low, high float64) [2]float64 { return [2]float64{low, high} }
	cases := map[string]struct {
		prepare func(first, second *sidecar.Stats, pool *sidecar.Pool, members []*sidecar.Member)
		// first is the range that the first member's share must be in.
		first [2]float64
	}{
		"equal members": {func(_, _ *sidecar.Stats, _ *sidecar.Pool, _ []*sidecar.Member) {}, between(0.45, 0.55)},
		"busier": {func(first, _ *sidecar.Stats, _ *sidecar.Pool, _ []*sidecar.Member) {
			first.Begin(carobkeel.ClassLatencyCritical)
		}, between(0.2, 0.3)},
		"higher reported load": {func(first, _ *sidecar.Stats, _ *sidecar.Pool, _ []*sidecar.Member) {
			first.RecordLoad(sidecar.Load{Running: 2})
		}, between(0.2, 0.3)},
		"with less urgent requests waiting": {func(first, _ *sidecar.Stats, _ *sidecar.Pool, _ []*sidecar.Member) {
			first.RecordLoad(sidecar.Load{Queued: 50})
		}, between(0.45, 0.55)},
		"slower": {func(first, second *sidecar.Stats, _ *sidecar.Pool, _ []*sidecar.Member) {
			first.RecordLatency(20 * time.Millisecond)
			second.RecordLatency(10 * time.Millisecond)
		}, between(0.2, 0.3)},
		"of unknown latency": {func(_, second *sidecar.Stats, _ *sidecar.Pool, _ []*sidecar.Member) {
			second.RecordLatency(10 * time.Millisecond)
		}, between(0.45, 0.55)},
		"failing now and then": {func(_, _ *sidecar.Stats, pool *sidecar.Pool, members []*sidecar.Member) {
			pool.RecordFailure(members[0], afterSlowStart)
		}, between(0.2, 0.3)},
		"with a lower limit": {func(first, _ *sidecar.Stats, _ *sidecar.Pool, _ []*sidecar.Member) {
			first.RecordLoad(sidecar.Load{Limit: 2})
		}, between(0.2, 0.3)},
		"draining": {func(first, _ *sidecar.Stats, _ *sidecar.Pool, _ []*sidecar.Member) {
			first.MarkDraining()
		}, between(0, 0)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			view, members := announceFleet(nearMembers(2)...)
			pool := view.Pool("echo")
			c.prepare(members[0].Stats, members[1].Stats, pool, members)
			g.Expect(shares(pool, members, afterSlowStart)[0]).To(And(BeNumerically(">=", c.first[0]), BeNumerically("<=", c.first[1])))
		})
	}
}

func TestSlowStartOfANewMember(t *testing.T) {
	g := NewWithT(t)
	view, _ := announceFleet(nearMembers(2)...)
	view, _ = view.ApplyAnnouncement(sidecar.Announcement{
		Incarnation: 99, Sequence: 1, Started: afterSlowStart, Address: "new", Service: "echo",
		Location: carobkeel.Location{DataCentre: "near"}, Slots: 4,
	}, afterSlowStart)
	members, pool := view.Serving("echo"), view.Pool("echo")
	for _, old := range members[:2] {
		for range 3 {
			old.Stats.Begin(carobkeel.ClassLatencyCritical)
		}
	}
	// The two older members have three requests each, four with the next one, so
	// the new member is as cheap as they are at a weight of a quarter.
	g.Expect(shares(pool, members, afterSlowStart.Add(time.Second))[2]).To(BeNumerically("<", 0.2))
	g.Expect(shares(pool, members, afterSlowStart.Add(9*time.Second))[2]).To(BeNumerically(">", 0.5))
}

func TestSpillsToAnotherDataCentreOnlyIfFaster(t *testing.T) {
	cases := map[string]struct {
		running, queued int
		roundTrip       time.Duration
		spills          bool
	}{
		"a slot is free here":      {3, 0, time.Millisecond, false},
		"a long queue here":        {4, 20, 10 * time.Millisecond, true},
		"the way is longer":        {4, 1, 100 * time.Millisecond, false},
		"a short queue and way":    {4, 4, time.Millisecond, true},
		"the gain is small":        {4, 0, 2 * time.Millisecond, false},
		"the far one is not known": {4, 20, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			view, members := announceFleet("near", "near", "far", "far")
			for i, member := range members {
				if i < 2 {
					member.Stats.RecordLoad(sidecar.Load{Running: c.running, Queued: c.queued, UrgentQueued: c.queued})
				}
				if i >= 2 && name != "the far one is not known" {
					member.Stats.RoundTripMicros.Store(c.roundTrip.Microseconds())
					member.Stats.RecordLatency(20*time.Millisecond + c.roundTrip)
				}
				if i < 2 {
					member.Stats.RecordLatency(20 * time.Millisecond)
				}
			}
			far := shares(view.Pool("echo"), members, afterSlowStart)
			g.Expect(far[2]+far[3] > 0.2).To(Equal(c.spills))
			g.Expect(far[2]+far[3] < 0.01).To(Equal(!c.spills))
		})
	}
}

func TestPicksRemoteMemberIfNoneIsLocal(t *testing.T) {
	g := NewWithT(t)
	view, members := announceFleet("far")
	picked := view.Pool("echo").Pick(sidecar.PickOptions{From: "near", Now: afterSlowStart})
	g.Expect(picked).To(BeIdenticalTo(members[0]))
}

func TestPickAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	view, _ := announceFleet(nearMembers(100)...)
	pool := view.Pool("echo")
	g.Expect(testing.AllocsPerRun(1_000, func() {
		pool.Pick(sidecar.PickOptions{From: "near", Random: rand.Uint64(), Now: afterSlowStart})
	})).To(BeZero())
}

// Guards against the end of the whole process: the only member became unavailable between the two
// draws of a choice.
func TestPickWhileTheOnlyMemberBecomesUnavailable(t *testing.T) {
	const picks = 50_000
	g := NewWithT(t)
	view, members := announceFleet("near")
	pool := view.Pool("echo")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sequence := uint64(2); sequence < picks; sequence++ {
			members[0].Stats.MarkDraining()
			a := members[0].Announcement
			a.Sequence = sequence
			view, _ = view.ApplyAnnouncement(a, start)
		}
	}()
	g.Expect(func() {
		for range picks {
			pool.Pick(sidecar.PickOptions{From: "near", Now: afterSlowStart})
		}
	}).NotTo(Panic())
	<-done
}
