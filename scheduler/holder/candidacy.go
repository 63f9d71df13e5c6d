package holder

import (
	"hash/fnv"
	"strconv"
	"time"
)

// Capacity is what this host can spend on scheduling.
type Capacity struct {
	// Processors is the share of the host's processors, in cores, and
	// LinkBytesPerSecond the bandwidth of its network link. Zero means unknown, and
	// counts as enough.
	Processors, LinkBytesPerSecond float64
}

const (
	// sidecarProcessors and sidecarBytesPerSecond are what a holder spends on one
	// sidecar.
	sidecarProcessors     = 0.003
	sidecarBytesPerSecond = 12 << 10
	// minRankedSidecars is the least number of sidecars for which hosts are ranked, as a
	// process that has just started is linked to few.
	minRankedSidecars = 50
	// fullLoadDelay is the delay of a candidate that the shard would use up, and
	// maxRankDelay bounds the delay of those that it would overload.
	fullLoadDelay = 300 * time.Millisecond
	maxRankDelay  = 400 * time.Millisecond
	// drawnDelay bounds the part of the delay that differs between equal hosts. A new
	// holder row reaches the other candidates within a quarter of it.
	drawnDelay = 80 * time.Millisecond
)

// load returns the part of the capacity that a shard with so many sidecars would use.
func (c Capacity) load(sidecars int) float64 {
	n := float64(max(sidecars, minRankedSidecars))
	load := 0.0
	if c.Processors > 0 {
		load = n * sidecarProcessors / c.Processors
	}
	if c.LinkBytesPerSecond > 0 {
		load = max(load, n*sidecarBytesPerSecond/c.LinkBytesPerSecond)
	}
	return load
}

// candidateDelay returns how long a candidate waits from the time at which a takeover is
// due. Hosts with more capacity go first, and equal ones in an order drawn for each
// epoch, so that few of them write at the same time.
func candidateDelay(c Capacity, sidecars int, host string, epoch uint64) time.Duration {
	rank := min(maxRankDelay, time.Duration(c.load(sidecars)*float64(fullLoadDelay)))
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(host + "/" + strconv.FormatUint(epoch, 10)))
	return rank + time.Duration(hash.Sum64()%uint64(drawnDelay))
}

// candidacy is the wait of a candidate for its turn.
type candidacy struct {
	// dueSince is when a takeover became due, and epoch that of the holder to replace.
	// It is zero while none is due.
	dueSince time.Duration
	epoch    uint64
}

// wait returns how long the candidate still has to wait at a time at which a takeover
// from the holder of an epoch is due.
func (c *candidacy) wait(now, delay time.Duration, epoch uint64) time.Duration {
	if c.dueSince == 0 || c.epoch != epoch {
		c.dueSince, c.epoch = now, epoch
	}
	return max(0, c.dueSince+delay-now)
}

// reset ends the wait, as no takeover is due.
func (c *candidacy) reset() { *c = candidacy{} }
