package entry

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// MaxShares is the number of owners and classes that one sidecar tells apart.
// Further ones share one count for each class.
const MaxShares = 640

// Slots counts the requests that run at one upstream, in all and for each owner
// and class. Its methods are safe for use by several goroutines and take no
// lock.
type Slots struct {
	limit   atomic.Int64
	running atomic.Int64
	shares  atomic.Pointer[shareTable]
}

// shareTable is an immutable state of the shares.
type shareTable struct {
	byKey map[carobkeel.OwnerClass]*Share
	// all holds the shares in the order that they came in.
	all []*Share
	// floored holds the shares that have a floor.
	floored []*Share
}

// Share is the part of the slots that one owner and class has.
type Share struct {
	carobkeel.OwnerClass
	// floor is the share of the slots that it keeps, in thousandths.
	floor atomic.Int64
	// most is the number of requests that run at once at most, zero for no
	// limit, and room that of those that wait, as ShareLimits has it.
	most    atomic.Int64
	room    atomic.Int64
	running atomic.Int64
	// peak is the most requests that ran at once since the last tick.
	peak atomic.Int64
	// demand is a moving average of the peaks, in thousandths of a slot.
	demand atomic.Int64
	// work collects the service times since the last tick.
	work samples
	// serviceMicros is the recent mean service time in microseconds.
	serviceMicros atomic.Int64
	// mean is a moving average of the requests that run. The goroutine that
	// ticks alone uses it.
	mean float64
	// baseMicros is the mean service time of an upstream that is not crowded.
	// The goroutine that ticks alone uses it.
	baseMicros float64
}

// samples is a sum that several goroutines add to.
type samples struct {
	sum   atomic.Int64
	count atomic.Int64
}

// thousandths is the unit of shares.
const thousandths = 1000

// NewSlots returns slots with the limit.
func NewSlots(limit int) *Slots {
	s := &Slots{}
	s.limit.Store(int64(limit))
	s.shares.Store(&shareTable{byKey: map[carobkeel.OwnerClass]*Share{}})
	return s
}

// Limit returns the number of requests that run at once at most.
func (s *Slots) Limit() int { return int(s.limit.Load()) }

// Running returns the number of requests that run.
func (s *Slots) Running() int { return int(s.running.Load()) }

// Running returns the number of requests of the share that run.
func (h *Share) Running() int { return int(h.running.Load()) }

// usage is what the share has of the slots by the measure of fairness: mostly its
// recent mean, so that an owner that uses less than its part may have a burst
// before one that uses more.
func (h *Share) usage() float64 {
	return h.mean + usageOfNow*float64(h.running.Load())
}

// usageOfNow is the weight of the requests that run now beside the recent mean.
const usageOfNow = 0.25

// ServiceTime returns the recent mean time that the upstream takes for a request
// of the share, zero where nothing is known.
func (h *Share) ServiceTime() time.Duration {
	return time.Duration(h.serviceMicros.Load()) * time.Microsecond
}

// neededTime is the time that a request which has waited must have left to be
// started. Of the requests that wait those with the least time left go first, so
// that without a margin over the mean half of them would end too late.
func (h *Share) neededTime() time.Duration {
	return time.Duration(neededFactor * float64(h.ServiceTime()))
}

// neededFactor is the margin over the mean service time.
const neededFactor = 1.5

// Share returns the share of an owner and class and notes its limits. The limits
// that came last count.
func (s *Slots) Share(key carobkeel.OwnerClass, limits carobkeel.ShareLimits) *Share {
	share := s.floored(key, limits.Floor)
	if share.Owner == key.Owner {
		storeChanged(&share.most, int64(limits.Concurrency))
		storeChanged(&share.room, int64(limits.Queue))
	}
	return share
}

// storeChanged writes only what differs, so that the line of memory stays shared.
func storeChanged(held *atomic.Int64, value int64) {
	if held.Load() != value {
		held.Store(value)
	}
}

// floored returns the share of an owner and class with the floor.
func (s *Slots) floored(key carobkeel.OwnerClass, floor float64) *Share {
	wanted := int64(math.Round(min(max(floor, 0), 1) * thousandths))
	for {
		table := s.shares.Load()
		if share, ok := table.byKey[key]; ok && (share.floor.Load() > 0) == (wanted > 0) {
			storeChanged(&share.floor, wanted)
			return share
		}
		if _, ok := table.byKey[key]; !ok && len(table.byKey) >= MaxShares {
			key, wanted = carobkeel.OwnerClass{Class: key.Class}, 0
		}
		next, share := table.with(key, wanted)
		if s.shares.CompareAndSwap(table, next) {
			return share
		}
	}
}

// with returns the table in which the key has a share with the floor.
func (t *shareTable) with(key carobkeel.OwnerClass, floor int64) (*shareTable, *Share) {
	next := &shareTable{byKey: maps.Clone(t.byKey), all: slices.Clip(t.all)}
	share, ok := next.byKey[key]
	if !ok {
		share = &Share{OwnerClass: key}
		next.byKey[key] = share
		next.all = append(next.all, share)
	}
	share.floor.Store(floor)
	for _, each := range next.all {
		if each.floor.Load() > 0 {
			next.floored = append(next.floored, each)
		}
	}
	return next, share
}

// floorSlots is the number of slots that the share keeps.
func (h *Share) floorSlots(limit int64) float64 {
	return float64(h.floor.Load()*limit) / thousandths
}

// isBelowFloor reports whether the share runs less than it keeps.
func (h *Share) isBelowFloor(limit int64) bool {
	return float64(h.running.Load()) < h.floorSlots(limit)
}

// reserve is the number of slots that others leave free for the share: what it
// lately used of its floor and does not use now.
func (h *Share) reserve(limit int64) int64 {
	kept := min(h.floorSlots(limit), float64(h.demand.Load())/thousandths)
	return max(int64(math.Round(kept))-h.running.Load(), 0)
}

// TryTake takes a slot for the share unless none is free, the free ones are kept
// for others, or the share has as many as it may.
func (s *Slots) TryTake(h *Share) bool {
	if !h.start() {
		return false
	}
	if !s.take(h) {
		h.running.Add(-1)
		return false
	}
	return true
}

// take takes a slot for a request that its share counts already.
func (s *Slots) take(h *Share) bool {
	for {
		running, limit := s.running.Load(), s.limit.Load()
		if running >= limit {
			return false
		}
		within := float64(h.running.Load()-1) < h.floorSlots(limit)
		if !within && limit-running <= s.reservedFor(h, limit) {
			return false
		}
		if s.running.CompareAndSwap(running, running+1) {
			h.notePeak()
			return true
		}
	}
}

// reservedFor returns the number of slots that h leaves free for more urgent
// shares.
func (s *Slots) reservedFor(h *Share, limit int64) int64 {
	var reserved int64
	for _, other := range s.shares.Load().floored {
		if other.Class < h.Class && other.waitsLongFor(h, limit) {
			reserved += other.reserve(limit)
		}
	}
	return reserved
}

// waitsLongFor reports whether a request of h would wait long, by the measure of
// its own service time, for one of other to leave a slot. Where slots are left
// often, none needs to be kept free.
func (h *Share) waitsLongFor(other *Share, limit int64) bool {
	between := other.serviceMicros.Load() / max(limit, 1)
	return between > h.serviceMicros.Load()/reserveWait
}

// reserveWait is the inverse share of its service time that a request waits for
// a slot without one being kept free.
const reserveWait = 2

// start counts a request unless the share runs as many as it may.
func (h *Share) start() bool {
	for {
		running := h.running.Load()
		if most := h.most.Load(); most > 0 && running >= most {
			return false
		}
		if h.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// isFull reports whether the share runs as many requests as it may.
func (h *Share) isFull() bool {
	most := h.most.Load()
	return most > 0 && h.running.Load() >= most
}

// mayQueue reports whether one more request of the share may wait beside those
// that do.
func (h *Share) mayQueue(waiting int) bool {
	room := h.room.Load()
	return room == 0 || int64(waiting) < room
}

func (h *Share) notePeak() {
	running := h.running.Load()
	for {
		peak := h.peak.Load()
		if running <= peak || h.peak.CompareAndSwap(peak, running) {
			return
		}
	}
}

// Release gives back a slot of the share. service is how long the upstream took,
// zero where it did not get the request.
func (s *Slots) Release(h *Share, service time.Duration) {
	h.running.Add(-1)
	s.running.Add(-1)
	if service > 0 {
		h.work.sum.Add(service.Microseconds())
		h.work.count.Add(1)
	}
}
