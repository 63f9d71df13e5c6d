package holder

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/wire"
)

func TestWhoTakesOver(t *testing.T) {
	now := time.Hour
	healthy := observation{
		now: now, silenceTimeout: holderSilenceTimeout, rowKnown: true, rowSince: now - time.Minute, lastPong: now - 100*time.Millisecond, holderLeads: true,
		storeAnswered: now - 100*time.Millisecond, storeFailed: now - time.Minute, sidecars: 11, reachingHolder: 11,
	}
	change := func(edit func(*observation)) observation {
		o := healthy
		edit(&o)
		return o
	}
	for _, c := range []struct {
		name     string
		o        observation
		takeOver bool
	}{
		{"the holder answers", healthy, false},
		{"no holder was ever named", change(func(o *observation) { o.vacant = true }), true},
		{"the row was not read yet", change(func(o *observation) { o.vacant, o.rowKnown = true, false }), false},
		{"the holder is silent to all", change(func(o *observation) {
			o.lastPong, o.reachingHolder = now-holderSilenceTimeout, 2
		}), true},
		{"the holder is silent to this process only", change(func(o *observation) { o.lastPong = now - 10*time.Second }), false},
		{"the holder was silent for a short time", change(func(o *observation) {
			o.lastPong, o.reachingHolder = now-holderSilenceTimeout+time.Millisecond, 0
		}), false},
		{"one of several holders in succession was silent for longer than the first may be", change(func(o *observation) {
			o.lastPong, o.reachingHolder, o.silenceTimeout = now-holderSilenceTimeout, 0, 2*holderSilenceTimeout
		}), false},
		{"a new holder has not answered yet", change(func(o *observation) {
			o.lastPong, o.reachingHolder, o.rowSince = 0, 0, now-100*time.Millisecond
		}), false},
		{"the holder's process is gone", change(func(o *observation) {
			o.lastPong, o.holderRefuses = now-holderRefusedTimeout, true
		}), true},
		{"the holder resigned", change(func(o *observation) { o.holderLeads = false }), true},
		{"a new holder has not said yet that it reads the shard", change(func(o *observation) {
			o.holderLeads, o.rowSince = false, now-newHolderTimeout/2
		}), false},
		{"a new holder still reads the shard", change(func(o *observation) {
			o.holderLeads, o.holderTakesOver = false, true
		}), false},
		{"a new holder that reads the shard is cut from the table service", change(func(o *observation) {
			o.holderLeads, o.holderTakesOver, o.holderStoreAge = false, true, holderStoreTimeout+time.Millisecond
		}), true},
		{"the holder answers and makes no decisions", change(func(o *observation) {
			o.holderDecisionAge = stalledFactor*holderSilenceTimeout + time.Millisecond
		}), true},
		{"the holder makes a step that takes long", change(func(o *observation) {
			o.holderDecisionAge = stalledFactor * holderSilenceTimeout
		}), false},
		{"one of several holders in succession makes a step that takes long", change(func(o *observation) {
			o.holderDecisionAge, o.silenceTimeout = stalledFactor*holderSilenceTimeout+time.Millisecond, 2*holderSilenceTimeout
		}), false},
		{"a new holder reads the shard and has made no decisions", change(func(o *observation) {
			o.holderDecisionAge, o.holderLeads, o.holderTakesOver = time.Minute, false, true
		}), false},
		{"the holder is cut from the table service", change(func(o *observation) {
			o.holderStoreAge = holderStoreTimeout + time.Millisecond
		}), true},
		{"the table service has just come back", change(func(o *observation) {
			o.holderStoreAge, o.storeFailed = holderStoreTimeout+time.Millisecond, now-minOwnStoreStable/2
		}), false},
		{"this process is cut from the table service too", change(func(o *observation) {
			o.lastPong, o.reachingHolder, o.storeAnswered = now-time.Minute, 0, now-2*maxOwnStoreAge
		}), false},
		{"no sidecar is linked to this process", change(func(o *observation) {
			o.lastPong, o.reachingHolder, o.sidecars = now-holderSilenceTimeout, 0, 0
		}), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, takeOver := c.o.shouldTakeOver()
			NewWithT(t).Expect(takeOver).To(Equal(c.takeOver))
		})
	}
}

// TestOverloadedHoldersDoNotReplaceEachOtherWithoutEnd plays holders that are silent for a
// time after each takeover, as their links are busy with what a takeover causes.
func TestOverloadedHoldersDoNotReplaceEachOtherWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	const busy = 2500 * time.Millisecond
	s := HolderState{Row: wire.HolderRow{Epoch: 1}, Since: time.Second}
	for range 10 {
		timeout := s.silenceTimeout(s.Since)
		if timeout > busy {
			g.Expect(s.Row.Epoch).To(BeNumerically("<", 5))
			return
		}
		now := s.Since + timeout
		s = HolderState{Row: wire.HolderRow{Epoch: s.Row.Epoch + 1, Successions: s.nextSuccessions(now, reasonSilent)}, Since: now}
	}
	t.Fatal("holders replace each other")
}

func TestHolderThatIsNotYoungIsReplacedAfterTheShortTimeout(t *testing.T) {
	g := NewWithT(t)
	s := HolderState{Row: wire.HolderRow{Epoch: 7, Successions: 2}, Since: time.Second}
	g.Expect(s.silenceTimeout(s.Since)).To(Equal(holderSilenceTimeout << maxSilenceDoublings))
	g.Expect(s.silenceTimeout(s.Since + youngHolder)).To(Equal(holderSilenceTimeout))
	g.Expect(s.nextSuccessions(s.Since+youngHolder, reasonSilent)).To(BeZero())
	g.Expect(s.nextSuccessions(s.Since, "holder stepped down")).To(Equal(s.Row.Successions))
}

// Guards against a takeover from a live holder: the address of the one before it refused a
// connection that was dialled before the row changed.
func TestRefusalOfAnEarlierHolderSaysNothingOfThePresentOne(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	n := newTestNode()
	earlier := &HolderState{Row: wire.HolderRow{Epoch: 1, Address: listener.Addr().String()}}
	n.holderState.Store(earlier)
	n.dialHolder(t.Context(), &net.Dialer{}, earlier)
	g.Expect(n.holderRefuses.Load()).To(BeTrue())
	n.holderRefuses.Store(false)
	n.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 2}})
	n.dialHolder(t.Context(), &net.Dialer{}, earlier)
	g.Expect(n.holderRefuses.Load()).To(BeFalse())
}

// Guards against holders that replace each other: that the earlier holder's process had restarted
// was taken for a reason to replace the present one, which had just replaced it.
func TestLinkToAnEarlierHolderSaysNothingOfThePresentOne(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode()
	n.storeAnswered.Store(int64(clock.Boottime()))
	n.sidecars.Store("host", newSidecarPeer(n, "host"))
	toEarlier := &holderLink{node: n, holder: 1}
	toEarlier.lastPong.Store(int64(clock.Boottime()))
	toEarlier.restarted.Store(true)
	n.linkToHolder.Store(toEarlier)
	takesOver := func(incarnation uint64) bool {
		n.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 2, Incarnation: incarnation}, Since: clock.Boottime()})
		o := n.observe()
		_, due := o.shouldTakeOver()
		return due
	}
	g.Expect(takesOver(1)).To(BeTrue())
	g.Expect(takesOver(2)).To(BeFalse())
}

// Guards against LOST: the links of a holder answered for an event loop that stood still, so that no other
// entry took over.
func TestPongStatesWhenTheHolderLastMadeDecisions(t *testing.T) {
	g := NewWithT(t)
	n := &Node{}
	n.decidedAt.Store(int64(clock.Boottime() - 5*time.Second))
	n.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 1}})
	g.Expect(n.pongTo(1).DecisionAge).To(BeZero(), "not the holder")
	n.holderState.Store(&HolderState{Row: wire.HolderRow{Epoch: 1}, Leading: true})
	g.Expect(n.pongTo(2).DecisionAge).To(BeNumerically("~", 5000, 1000))
}
