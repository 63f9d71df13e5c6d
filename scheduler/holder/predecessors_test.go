package holder

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/carobkeel/carobkeel/internal/clock"
	"github.com/carobkeel/carobkeel/scheduler/wire"
	"github.com/carobkeel/carobkeel/table"
)

func TestInheritedLeaseAfterHolderChanges(t *testing.T) {
	const lease = 3 * time.Second
	replaced := time.Hour
	authority := leaseAuthority + leaseAuthoritySlack
	first := wire.HolderRow{Epoch: 4, Host: "a", Incarnation: 1}
	second := wire.HolderRow{Epoch: 5, Host: "b", Incarnation: 2}
	after := time.Second
	for _, c := range []struct {
		name    string
		observe func(p predecessors, now time.Duration)
		want    time.Duration
	}{
		{"nothing is known", func(predecessors, time.Duration) {}, authority + lease},
		{"both follow the new epoch", func(p predecessors, now time.Duration) {
			p.observe("a", 1, 6, now)
			p.observe("b", 2, 6, now)
		}, lease},
		{"both were restarted", func(p predecessors, now time.Duration) {
			p.observe("a", 7, 6, now)
			p.observe("b", 8, 6, now)
		}, lease},
		{"late messages of processes that ran there before", func(p predecessors, now time.Duration) {
			p.observe("a", 7, 3, now)
			p.observe("b", 8, 4, now)
		}, authority + lease},
		{"the last one was restarted, and the one before may live", func(p predecessors, now time.Duration) {
			p.observe("b", 8, 6, now)
		}, authority + lease - after},
		{"the last one answers without knowing its successor", func(p predecessors, now time.Duration) {
			p.observe("a", 1, 5, now)
			p.observe("b", 2, 5, now)
		}, authority + lease},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p predecessors
			p.add(first, replaced-after)
			p.add(second, replaced)
			c.observe(p, replaced)
			NewWithT(t).Expect(p.remainingLease(replaced, lease)).To(Equal(c.want))
		})
	}
}

func TestPredecessorsAreDroppedAfterTheirLeases(t *testing.T) {
	g := NewWithT(t)
	const lease = 3 * time.Second
	var p predecessors
	p.add(wire.HolderRow{Epoch: 1, Host: "a"}, 0)
	p.prune(leaseAuthority+leaseAuthoritySlack+lease, lease)
	g.Expect(p).To(HaveLen(1))
	p.prune(leaseAuthority+leaseAuthoritySlack+lease+1, lease)
	g.Expect(p).To(BeEmpty())
}

// Guards against TWICE: an entry that restarted as the holder did not count the leases that the
// holder before its own earlier process may extend.
func TestHoldersThatThisProcessHasNotSeenMayExtendLeases(t *testing.T) {
	const lease = 3 * time.Second
	for _, c := range []struct {
		name  string
		known *HolderState
		epoch uint64
		want  time.Duration
	}{
		{"the first holder ever", nil, 1, lease},
		{"a process that has just started", nil, 9, leaseAuthority + lease},
		{"epochs that it missed", &HolderState{Row: wire.HolderRow{Epoch: 6, Host: "entry", Incarnation: 4}}, 9, leaseAuthority + lease},
		{"no epoch missed", &HolderState{Row: wire.HolderRow{Epoch: 8, Host: "entry", Incarnation: 4}}, 9, lease},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestNode()
			n.holderState.Store(c.known)
			l := newLoop(n)
			row := wire.HolderRow{Epoch: c.epoch, Host: n.config.Host, Incarnation: 5}
			l.applyHolderRow(table.VersionedRow{RowID: n.holderRow(), Value: mustEncode(&row), Version: 3})
			now := clock.Boottime()
			l.recordPredecessor(&HolderState{Row: wire.HolderRow{Epoch: c.epoch + 1, Host: n.config.Host}, Version: 4, Since: now})
			g.Expect(l.predecessors.remainingLease(now, lease)).To(BeNumerically("~", c.want, time.Second))
		})
	}
}
