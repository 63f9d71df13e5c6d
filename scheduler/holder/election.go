package holder

import "time"

const (
	// holderSilenceTimeout is how long the holder may be unresponsive before
	// another entry takes over: three pings and a redial. It doubles each time
	// that a young holder is replaced for its silence, as what silences one holder after
	// the other is their load, which each takeover adds to.
	holderSilenceTimeout = 900 * time.Millisecond
	// maxSilenceDoublings bounds the timeout to the duration of a lease.
	maxSilenceDoublings = 2
	// youngHolder is the age up to which a holder counts as young.
	youngHolder = 20 * time.Second
	// holderRefusedTimeout is used instead of holderSilenceTimeout if the
	// holder's address refuses connections, which shows that its process has
	// ended.
	holderRefusedTimeout = 100 * time.Millisecond
	// holderStoreTimeout is how long the holder may be unable to reach the
	// table service while others can.
	holderStoreTimeout = 1800 * time.Millisecond
	// maxOwnStoreAge is how long ago a candidate may have last reached the
	// table service, which it queries every second.
	maxOwnStoreAge = 1300 * time.Millisecond
	// minOwnStoreStable is how long a candidate must have reached the table
	// service without a failure before it takes over from a holder that can't
	// reach it.
	minOwnStoreStable = 1200 * time.Millisecond
	// newHolderTimeout is how long a new holder may take until it answers that it
	// takes over or leads.
	newHolderTimeout = time.Second
	// noSidecarDelay delays the takeover by a candidate without any linked
	// sidecar.
	noSidecarDelay = 1500 * time.Millisecond
	// stalledFactor is how many times as long as it may be silent a holder that answers may make no
	// decisions: about leaseAuthority. Its leases have nearly ended by then.
	stalledFactor = 3
	// authorityTimeout is how long a holder keeps scheduling without
	// confirmation that it still holds the shard, so that a short outage of the
	// table service does not interrupt scheduling.
	authorityTimeout = 6 * time.Second
	// leaseAuthority is how long a holder lets sidecars extend leases after it has read
	// that it still holds the shard. A later holder waits for it, and for a lease, before
	// it starts what may run on workers that it can't reach.
	leaseAuthority = 3 * time.Second
	// leaseAuthoritySlack covers the drift of the clocks of two holders.
	leaseAuthoritySlack = 100 * time.Millisecond
	// holdReadInterval is the time between two reads of the holder row by the holder. A
	// feed of its changes may be deaf for a while.
	holdReadInterval = 500 * time.Millisecond
)

// reasonSilent is the reason to take over from a holder that does not respond.
const reasonSilent = "holder does not respond"

// reasonStalled is the reason to take over from a holder that responds, and makes no decisions.
const reasonStalled = "holder makes no decisions"

// observation is the input of a candidate's decision whether to take over.
type observation struct {
	now time.Duration
	// rowKnown reports that the holder row was read, and vacant that there is
	// none.
	rowKnown, vacant bool
	// silenceTimeout is how long the holder may be unresponsive.
	silenceTimeout time.Duration
	// rowSince is when the current version of the row was first seen.
	rowSince time.Duration
	// lastPong is when the holder last answered, zero for never.
	lastPong time.Duration
	// holderLeads is whether the holder stated in its last answer that it holds
	// the shard.
	holderLeads bool
	// holderTakesOver is whether the holder stated in its last answer that it is
	// taking over.
	holderTakesOver bool
	// restarted reports that another incarnation answers at the holder's
	// address, so that the holder's process has ended.
	restarted bool
	// holderStoreAge is how long ago the holder had last reached the table
	// service when it last answered.
	holderStoreAge time.Duration
	// holderDecisionAge is how long ago the holder had last made decisions when it last answered.
	holderDecisionAge time.Duration
	// holderRefuses reports that the holder's address refuses connections.
	holderRefuses bool
	// storeAnswered is when this process last reached the table service, and
	// storeFailed when it last failed to.
	storeAnswered, storeFailed time.Duration
	// sidecars counts the sidecars linked to this process, and reachingHolder
	// those of them that reach the holder.
	sidecars, reachingHolder int
}

// shouldTakeOver decides whether this process should become the holder, and
// returns the reason.
func (o observation) shouldTakeOver() (string, bool) {
	if !o.rowKnown || o.now-o.storeAnswered > maxOwnStoreAge {
		return "", false
	}
	if o.vacant {
		return "no holder", true
	}
	silence := o.now - max(o.lastPong, o.rowSince)
	if o.sidecars == 0 && silence < noSidecarDelay {
		return "", false
	}
	if o.holderRefuses && silence >= holderRefusedTimeout {
		return "holder refuses connections", true
	}
	if silence < o.silenceTimeout {
		return o.takeOverFromResponsive()
	}
	if 2*o.reachingHolder > o.sidecars {
		return "", false // only this process can't reach it
	}
	return reasonSilent, true
}

func (o observation) takeOverFromResponsive() (string, bool) {
	if o.lastPong == 0 {
		return "", false
	}
	if o.restarted {
		return "holder's process has ended", true
	}
	if !o.holderLeads && !o.holderTakesOver {
		return "holder stepped down", o.now-o.rowSince > newHolderTimeout
	}
	if o.holderStoreAge > holderStoreTimeout && o.now-o.storeFailed > minOwnStoreStable {
		return "holder can't reach the table service", true
	}
	if o.holderLeads && o.holderDecisionAge > stalledFactor*o.silenceTimeout {
		return reasonStalled, true
	}
	return "", false
}

// silenceTimeout returns how long this holder may be unresponsive.
func (s *HolderState) silenceTimeout(now time.Duration) time.Duration {
	if now-s.Since >= youngHolder {
		return holderSilenceTimeout
	}
	return holderSilenceTimeout << min(s.Row.Successions, maxSilenceDoublings)
}

// nextSuccessions returns the number for the row that replaces this one for a reason.
func (s *HolderState) nextSuccessions(now time.Duration, reason string) uint8 {
	if s.Row.Epoch == 0 || now-s.Since >= youngHolder {
		return 0
	}
	if reason != reasonSilent && reason != reasonStalled {
		return s.Row.Successions
	}
	return min(s.Row.Successions, maxSilenceDoublings-1) + 1
}
