package entry

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/carobkeel/carobkeel"
)

// MaxShares is the number of owner and class pairs that one sidecar counts
// separately. Further owners are counted together for each class.
const MaxShares = 640

// Slots counts the requests that run at one upstream, in total and for each
// owner and class. Its methods are safe for concurrent use and take no lock.
type Slots struct {
	limit   atomic.Int64
	running atomic.Int64
	shares  atomic.Pointer[shareTable]
}

// shareTable is an immutable snapshot of the shares.
type shareTable struct {
	byKey map[carobkeel.OwnerClass]*Share
	// all holds the shares in the order in which they were added.
	all []*Share
	// guaranteedShares holds the shares with guaranteed slots.
	guaranteedShares []*Share
}

// Share counts the requests of one owner and class and holds its limits.
type Share struct {
	carobkeel.OwnerClass
	// guaranteed is the guaranteed share of the slots, in thousandths.
	guaranteed atomic.Int64
	// maxRunning is the maximum number of running requests, zero for no limit.
	maxRunning atomic.Int64
	// maxWaiting is the maximum number of waiting requests. As in ShareLimits,
	// zero stands for no limit, and a negative number for no waiting requests.
	maxWaiting atomic.Int64
	running    atomic.Int64
	// peak is the maximum number of concurrent requests since the last tick.
	peak atomic.Int64
	// demand is a moving average of the peaks, in thousandths of a slot.
	demand atomic.Int64
	// serviceTimes holds the service times since the last tick.
	serviceTimes samples
	// serviceMicros is the recent mean service time in microseconds.
	serviceMicros atomic.Int64
	// meanRunning is a moving average of the number of running requests. Only
	// the goroutine that calls Limiter.Tick uses it.
	meanRunning float64
	// baselineMicros is the mean service time without congestion, in
	// microseconds. Only the goroutine that calls Limiter.Tick uses it.
	baselineMicros float64
}

// samples is the sum and number of values that several goroutines add.
type samples struct {
	sum   atomic.Int64
	count atomic.Int64
}

// thousandths is the number that stands for one slot, or for all slots, in
// values that are counted in thousandths.
const thousandths = 1000

// NewSlots returns slots with the given limit and no shares.
func NewSlots(limit int) *Slots {
	s := &Slots{}
	s.limit.Store(int64(limit))
	s.shares.Store(&shareTable{byKey: map[carobkeel.OwnerClass]*Share{}})
	return s
}

// Limit returns the maximum number of running requests.
func (s *Slots) Limit() int { return int(s.limit.Load()) }

// Running returns the number of running requests.
func (s *Slots) Running() int { return int(s.running.Load()) }

// Running returns the number of running requests of the share.
func (h *Share) Running() int { return int(h.running.Load()) }

// usage is the share's use of the slots for the fair ordering of shares. It is
// mostly the recent mean, so that a burst of an owner with a low mean goes before
// the requests of an owner with a higher one.
func (h *Share) usage() float64 {
	return h.meanRunning + currentUsageWeight*float64(h.running.Load())
}

// currentUsageWeight is the weight of the running requests relative to the recent
// mean.
const currentUsageWeight = 0.25

// ServiceTime returns the recent mean time that the upstream takes for a request
// of the share, zero before the first measurement.
func (h *Share) ServiceTime() time.Duration {
	return time.Duration(h.serviceMicros.Load()) * time.Microsecond
}

// neededTime is the time that a waiting request must have left to be started.
// Requests with the least time left go first, so without a margin over the mean
// half of them would end after their deadline.
func (h *Share) neededTime() time.Duration {
	return time.Duration(neededTimeFactor * float64(h.ServiceTime()))
}

// neededTimeFactor is the margin over the mean service time.
const neededTimeFactor = 1.5

// Share returns the share of an owner and class and sets its limits. The limits
// of the latest call apply.
func (s *Slots) Share(key carobkeel.OwnerClass, limits carobkeel.ShareLimits) *Share {
	share := s.shareWithGuarantee(key, limits.GuaranteedShare)
	if share.Owner == key.Owner {
		storeIfChanged(&share.maxRunning, int64(limits.Concurrency))
		storeIfChanged(&share.maxWaiting, int64(limits.Queue))
	}
	return share
}

// storeIfChanged writes only a value that differs, so that the cache line stays
// shared between processors.
func storeIfChanged(stored *atomic.Int64, value int64) {
	if stored.Load() != value {
		stored.Store(value)
	}
}

// shareWithGuarantee returns the share of an owner and class with the guaranteed
// share of the slots.
func (s *Slots) shareWithGuarantee(key carobkeel.OwnerClass, guaranteed float64) *Share {
	wanted := int64(math.Round(min(max(guaranteed, 0), 1) * thousandths))
	for {
		table := s.shares.Load()
		if share, ok := table.byKey[key]; ok && (share.guaranteed.Load() > 0) == (wanted > 0) {
			storeIfChanged(&share.guaranteed, wanted)
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

// with returns a copy of the table in which the key has a share with the
// guaranteed share of the slots, in thousandths.
func (t *shareTable) with(key carobkeel.OwnerClass, guaranteed int64) (*shareTable, *Share) {
	next := &shareTable{byKey: maps.Clone(t.byKey), all: slices.Clip(t.all)}
	share, ok := next.byKey[key]
	if !ok {
		share = &Share{OwnerClass: key}
		next.byKey[key] = share
		next.all = append(next.all, share)
	}
	share.guaranteed.Store(guaranteed)
	for _, each := range next.all {
		if each.guaranteed.Load() > 0 {
			next.guaranteedShares = append(next.guaranteedShares, each)
		}
	}
	return next, share
}

// guaranteedSlots is the number of slots that are guaranteed to the share.
func (h *Share) guaranteedSlots(limit int64) float64 {
	return float64(h.guaranteed.Load()*limit) / thousandths
}

// isBelowGuaranteed reports whether the share runs fewer requests than its
// guaranteed slots.
func (h *Share) isBelowGuaranteed(limit int64) bool {
	return float64(h.running.Load()) < h.guaranteedSlots(limit)
}

// reservedSlots is the number of slots that others leave free for the share: the
// part of its guaranteed slots that it used recently and does not use now.
func (h *Share) reservedSlots(limit int64) int64 {
	reserved := min(h.guaranteedSlots(limit), float64(h.demand.Load())/thousandths)
	return max(int64(math.Round(reserved))-h.running.Load(), 0)
}

// TryAcquire takes a slot for the share. It returns false if no slot is free, the
// free ones are reserved for other shares, or the share is at its limit.
func (s *Slots) TryAcquire(h *Share) bool {
	if !h.addRunning() {
		return false
	}
	if !s.takeCounted(h) {
		h.running.Add(-1)
		return false
	}
	return true
}

// takeCounted takes a slot for a request that its share has already counted.
func (s *Slots) takeCounted(h *Share) bool {
	for {
		running, limit := s.running.Load(), s.limit.Load()
		if running >= limit {
			return false
		}
		belowGuaranteed := float64(h.running.Load()-1) < h.guaranteedSlots(limit)
		if !belowGuaranteed && limit-running <= s.reservedFor(h, limit) {
			return false
		}
		if s.running.CompareAndSwap(running, running+1) {
			h.updatePeak()
			return true
		}
	}
}

// reservedFor returns the number of slots that h must leave free for shares of
// more urgent classes.
func (s *Slots) reservedFor(h *Share, limit int64) int64 {
	var reserved int64
	for _, other := range s.shares.Load().guaranteedShares {
		if other.Class < h.Class && other.wouldWaitLongFor(h, limit) {
			reserved += other.reservedSlots(limit)
		}
	}
	return reserved
}

// wouldWaitLongFor reports whether a request of h would wait long, relative to
// its own service time, for a request of other to release a slot. If slots are
// released often enough, none needs to be reserved.
func (h *Share) wouldWaitLongFor(other *Share, limit int64) bool {
	releaseInterval := other.serviceMicros.Load() / max(limit, 1)
	return releaseInterval > h.serviceMicros.Load()/reserveWaitDivisor
}

// reserveWaitDivisor is the divisor of a request's service time that gives the
// longest wait for which no slot is reserved.
const reserveWaitDivisor = 2

// addRunning counts a request as running. It returns false if the share is at its
// limit.
func (h *Share) addRunning() bool {
	for {
		running := h.running.Load()
		if limit := h.maxRunning.Load(); limit > 0 && running >= limit {
			return false
		}
		if h.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// isFull reports whether the share is at its limit of running requests.
func (h *Share) isFull() bool {
	limit := h.maxRunning.Load()
	return limit > 0 && h.running.Load() >= limit
}

// mayQueue reports whether one more request of the share may wait, given the
// number that already do.
func (h *Share) mayQueue(waiting int) bool {
	limit := h.maxWaiting.Load()
	return limit == 0 || int64(waiting) < limit
}

func (h *Share) updatePeak() {
	running := h.running.Load()
	for {
		peak := h.peak.Load()
		if running <= peak || h.peak.CompareAndSwap(peak, running) {
			return
		}
	}
}

// Release releases a slot of the share. service is how long the upstream took;
// with zero the release is not counted in the service time.
func (s *Slots) Release(h *Share, service time.Duration) {
	h.running.Add(-1)
	s.running.Add(-1)
	if service > 0 {
		h.serviceTimes.sum.Add(service.Microseconds())
		h.serviceTimes.count.Add(1)
	}
}
