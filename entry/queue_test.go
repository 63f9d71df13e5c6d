package entry_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/carobkeel/carobkeel"
	"github.com/carobkeel/carobkeel/entry"
)

var (
	start    = time.Unix(1_000, 0)
	critical = carobkeel.OwnerClass{Owner: "critical"}
	other    = carobkeel.OwnerClass{Owner: "other"}
	batch    = carobkeel.OwnerClass{Owner: "batch", Class: carobkeel.ClassBatch}
)

// queueFixture is a queue with a record of the requests that it refused.
type queueFixture struct {
	now     time.Time
	slots   *entry.Slots
	queue   *entry.Queue[int]
	limiter *entry.Limiter
	refused []int
	codes   []carobkeel.Code
	next    int
	shares  map[int]*entry.Share
}

// guaranteed returns the limits of a share that has only guaranteed slots.
func guaranteed(share float64) carobkeel.ShareLimits {
	return carobkeel.ShareLimits{GuaranteedShare: share}
}

func newQueueFixture(slots, capacity int) *queueFixture {
	b := &queueFixture{
		now: start, slots: entry.NewSlots(slots), limiter: entry.NewLimiter(slots), shares: make(map[int]*entry.Share),
	}
	b.queue = entry.NewQueue(b.slots, capacity, func(id int, refusal *carobkeel.Error) {
		b.refused = append(b.refused, id)
		b.codes = append(b.codes, refusal.Code)
	})
	return b
}

func (b *queueFixture) push(share *entry.Share, timeout time.Duration) (int, *entry.Item[int]) {
	b.next++
	b.shares[b.next] = share
	return b.next, b.queue.Push(entry.QueuedRequest{Share: share, Deadline: b.now.Add(timeout)}, b.next, b.now)
}

// grant grants at most count slots and returns the shares that got them.
func (b *queueFixture) grant(count int) []*entry.Share {
	var granted []*entry.Share
	for len(granted) < count {
		id, ok := b.queue.Next(b.now)
		if !ok {
			return granted
		}
		granted = append(granted, b.shares[id])
	}
	return granted
}

// recordServiceTime records a service time of the share.
func (b *queueFixture) recordServiceTime(share *entry.Share, service time.Duration) {
	b.slots.TryAcquire(share)
	b.slots.Release(share, service)
	b.limiter.Tick(b.slots)
}

func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "room")
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		b := newQueueFixture(limit, capacity)
		var shares []*entry.Share
		var limits []carobkeel.ShareLimits
		for i := range 4 {
			key := carobkeel.OwnerClass{Owner: carobkeel.Owner(fmt.Sprint(i)), Class: carobkeel.Class(i % 2)}
			limits = append(limits, carobkeel.ShareLimits{
				GuaranteedShare: float64(rapid.IntRange(0, 2).Draw(t, "floor")) / 10,
				Concurrency:     rapid.IntRange(0, 3).Draw(t, "concurrency"),
				Queue:           rapid.IntRange(carobkeel.NoQueue, 5).Draw(t, "share of the queue"),
			})
			shares = append(shares, b.slots.Share(key, limits[i]))
		}
		deadlines := make(map[int]time.Time)
		items := make(map[int]*entry.Item[int])
		ended := make(map[int]int)
		var running []*entry.Share
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 300).Draw(t, "steps")
		for _, step := range steps {
			refusedBefore := len(b.refused)
			switch step {
			case 0, 1:
				timeout := time.Duration(rapid.IntRange(1, 100).Draw(t, "timeout")) * time.Millisecond
				share := shares[rapid.IntRange(0, 3).Draw(t, "share")]
				deadline := b.now.Add(timeout)
				id, item := b.push(share, timeout)
				deadlines[id] = deadline
				if item != nil {
					items[id] = item
				}
			case 2:
				if id, ok := b.queue.Next(b.now); ok {
					if !b.now.Before(deadlines[id]) {
						t.Fatalf("request %d was granted after its deadline", id)
					}
					ended[id]++
					delete(items, id)
					running = append(running, b.shares[id])
				}
			case 3:
				if len(running) > 0 {
					b.slots.Release(running[0], time.Duration(rapid.IntRange(0, 30).Draw(t, "service"))*time.Millisecond)
					running = running[1:]
				}
			case 4:
				b.now = b.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pass")) * time.Millisecond)
				b.limiter.Tick(b.slots)
				b.queue.Expire(b.now)
			case 5:
				for id := 1; id <= b.next; id++ {
					if item := items[id]; item != nil {
						b.queue.Remove(item)
						b.queue.Remove(item)
						ended[id]++
						delete(items, id)
						break
					}
				}
			}
			for _, id := range b.refused[refusedBefore:] {
				ended[id]++
				delete(items, id)
			}
			checkShares(t, b, shares, limits, items)
			checkQueue(t, b, capacity, limit, len(running), items, ended)
		}
	})
}

func checkShares(t *rapid.T, b *queueFixture, shares []*entry.Share, limits []carobkeel.ShareLimits, items map[int]*entry.Item[int]) {
	waiting := make(map[*entry.Share]int)
	for id := range items {
		waiting[b.shares[id]]++
	}
	for i, share := range shares {
		if limit := limits[i].Concurrency; limit > 0 && share.Running() > limit {
			t.Fatalf("share %d runs %d requests, its limit is %d", i, share.Running(), limit)
		}
		if room := limits[i].Queue; room != 0 && waiting[share] > max(room, 0) {
			t.Fatalf("%d requests of share %d wait, its limit is %d", waiting[share], i, room)
		}
	}
}

func checkQueue(t *rapid.T, b *queueFixture, capacity, limit, running int, items map[int]*entry.Item[int], ended map[int]int) {
	if b.queue.Len() > capacity {
		t.Fatalf("%d requests wait in a queue for %d", b.queue.Len(), capacity)
	}
	if b.slots.Running() != running || running > limit {
		t.Fatalf("%d slots taken, %d requests run, the limit is %d", b.slots.Running(), running, limit)
	}
	if b.queue.Len() != len(items) {
		t.Fatalf("%d requests wait, want %d", b.queue.Len(), len(items))
	}
	for id := 1; id <= b.next; id++ {
		if _, waits := items[id]; waits != (ended[id] == 0) || ended[id] > 1 {
			t.Fatalf("request %d ended %d times, waits %t", id, ended[id], waits)
		}
	}
}

func TestUrgentClassGoesFirst(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(4, 10)
	low, high := b.slots.Share(batch, guaranteed(0)), b.slots.Share(critical, guaranteed(0))
	b.push(low, time.Second)
	b.push(high, time.Minute)
	b.push(low, time.Second)
	g.Expect(b.grant(10)).To(Equal([]*entry.Share{high, low, low}))
}

func TestGuaranteedShareGoesBeforeClass(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(8, 100)
	low, high := b.slots.Share(batch, guaranteed(0.25)), b.slots.Share(critical, guaranteed(0))
	for range 20 {
		b.push(high, time.Second)
		b.push(low, time.Second)
	}
	b.grant(8)
	g.Expect(low.Running()).To(Equal(2))
	g.Expect(high.Running()).To(Equal(6))
}

func TestOwnersOfAClassGetEqualShares(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(8, 100)
	light, heavy := b.slots.Share(critical, guaranteed(0)), b.slots.Share(other, guaranteed(0))
	for range 40 {
		b.push(heavy, time.Second)
	}
	for range 10 {
		b.push(light, time.Second)
	}
	b.grant(8)
	g.Expect(light.Running()).To(Equal(4))
	g.Expect(heavy.Running()).To(Equal(4))
}

func TestEarliestDeadlineGoesFirstWithinAShare(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(1, 10)
	share := b.slots.Share(critical, guaranteed(0))
	late, _ := b.push(share, 2*time.Second)
	early, _ := b.push(share, time.Second)
	first, _ := b.queue.Next(b.now)
	b.slots.Release(share, 0)
	second, _ := b.queue.Next(b.now)
	g.Expect([]int{first, second}).To(Equal([]int{early, late}))
}

func TestFullQueue(t *testing.T) {
	cases := map[string]struct {
		waiting, arriving carobkeel.OwnerClass
		guaranteed        float64
		code              carobkeel.Code
		newRefused        bool
	}{
		"more urgent takes a place":      {batch, critical, 0, carobkeel.CodeQueueFull, false},
		"less urgent gets its one":       {critical, batch, 0, carobkeel.CodeQueueFull, false},
		"another owner takes a place":    {critical, other, 0, carobkeel.CodeQueueFull, false},
		"the same owner is refused":      {critical, critical, 0, carobkeel.CodeQueueFull, true},
		"a floor keeps part of the room": {critical, batch, 0.5, carobkeel.CodeQueueFull, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newQueueFixture(1, 4)
			for range 4 {
				b.push(b.slots.Share(c.waiting, guaranteed(0)), time.Second)
			}
			id, item := b.push(b.slots.Share(c.arriving, guaranteed(c.guaranteed)), time.Second)
			g.Expect(b.codes).To(Equal([]carobkeel.Code{c.code}))
			g.Expect(b.refused[0] == id).To(Equal(c.newRefused))
			g.Expect(item == nil).To(Equal(c.newRefused))
			g.Expect(b.queue.Len()).To(Equal(4))
		})
	}
}

func TestLessUrgentShareReplacesOnlyUpToItsGuaranteedLength(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(1, 4)
	for range 4 {
		b.push(b.slots.Share(critical, guaranteed(0)), time.Second)
	}
	low := b.slots.Share(batch, guaranteed(0))
	b.push(low, time.Second)
	id, item := b.push(low, time.Second)
	g.Expect(item).To(BeNil())
	g.Expect(b.refused[len(b.refused)-1]).To(Equal(id))
}

func TestRefusesOnArrivalWhatWouldMissItsDeadline(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(1, 100)
	share := b.slots.Share(critical, guaranteed(0))
	b.recordServiceTime(share, 20*time.Millisecond)
	for range 10 {
		b.push(share, time.Second)
	}
	_, item := b.push(share, 100*time.Millisecond)
	g.Expect(item).To(BeNil())
	g.Expect(b.codes).To(Equal([]carobkeel.Code{carobkeel.CodeOverloaded}))
	_, item = b.push(share, 300*time.Millisecond)
	g.Expect(item).NotTo(BeNil())
}

func TestGrantsNoSlotWithTooLittleTimeLeft(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(1, 10)
	share := b.slots.Share(critical, guaranteed(0))
	b.push(share, 30*time.Millisecond)
	b.recordServiceTime(share, 20*time.Millisecond)
	b.now = b.now.Add(15 * time.Millisecond)
	_, ok := b.queue.Next(b.now)
	g.Expect(ok).To(BeFalse())
	g.Expect(b.codes).To(Equal([]carobkeel.Code{carobkeel.CodeTimeoutNotRun}))
	g.Expect(b.slots.Running()).To(BeZero())
}

func TestLimitOfAnOwnerDelaysNoOtherOwner(t *testing.T) {
	g := NewWithT(t)
	b := newQueueFixture(8, 100)
	limited := b.slots.Share(critical, carobkeel.ShareLimits{Concurrency: 2, Queue: 3})
	low := b.slots.Share(batch, guaranteed(0))
	for range 5 {
		b.push(limited, time.Second)
		b.push(low, time.Second)
	}
	g.Expect(b.codes).To(Equal([]carobkeel.Code{carobkeel.CodeQueueFull, carobkeel.CodeQueueFull}))
	b.grant(8)
	g.Expect(limited.Running()).To(Equal(2))
	g.Expect(low.Running()).To(Equal(5))
}
