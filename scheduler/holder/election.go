package holder

import "time"

const (
	// silenceLimit is how long the holder may be silent before another entry
	// takes over: three pings and a redial.
	silenceLimit = 900 * time.Millisecond
	// refusedLimit is that time where the holder's address refuses connections,
	// so that its process is gone.
	refusedLimit = 100 * time.Millisecond
	// storeSilenceLimit is how long the holder may be without the table service
	// while others reach it.
	storeSilenceLimit = 1800 * time.Millisecond
	// ownStoreLimit is how recently a candidate has to have reached the table
	// service, which it asks every second.
	ownStoreLimit = 1300 * time.Millisecond
	// ownStoreSteady is how long it has to have reached it without a failure
	// before it takes over from a holder that does not.
	ownStoreSteady = 1200 * time.Millisecond
	// settleTime is how long a new holder may take to read the shard.
	settleTime = time.Second
	// aloneDelay holds a candidate back that no sidecar is linked to.
	aloneDelay = 1500 * time.Millisecond
	// authority is how long a holder goes on without proof that it still holds
	// the shard, so that a short outage of the table service stops nothing.
	authority = 6 * time.Second
	// authoritySlack covers a feed that hears nothing for a second while changes
	// are made.
	authoritySlack = 2 * time.Second
)

// observation is what a candidate knows when it decides whether to take over.
type observation struct {
	now time.Duration
	// rowKnown says that the holder's row was read, vacant that there is none.
	rowKnown, vacant bool
	// rowSince is when the row was first seen as it is.
	rowSince time.Duration
	// heard is when the holder last answered, zero for never.
	heard time.Duration
	// leads is what the holder last said of itself.
	leads bool
	// restarted says that another process answers at the holder's address, so that
	// the holder's process is gone.
	restarted bool
	// holderStoreAge is how long ago the holder reached the table service, when
	// it last answered.
	holderStoreAge time.Duration
	// refused says that the holder's address refuses connections.
	refused bool
	// storeHeard is when this process last reached the table service, and
	// storeSince since when it has without a failure.
	storeHeard, storeSince time.Duration
	// sidecars are linked to this process; hearing of them hear the holder.
	sidecars, hearing int
}

// shouldTakeOver decides whether this process should become the holder, and
// says why.
func (o observation) shouldTakeOver() (string, bool) {
	if !o.rowKnown || o.now-o.storeHeard > ownStoreLimit {
		return "", false
	}
	if o.vacant {
		return "no holder", true
	}
	silent := o.now - max(o.heard, o.rowSince)
	if o.sidecars == 0 && silent < aloneDelay {
		return "", false
	}
	if o.refused && silent >= refusedLimit {
		return "holder is gone", true
	}
	if silent < silenceLimit {
		return o.takeOverFromLiving()
	}
	if 2*o.hearing > o.sidecars {
		return "", false // only this process does not hear it
	}
	return "holder is silent", true
}

func (o observation) takeOverFromLiving() (string, bool) {
	if o.heard == 0 {
		return "", false
	}
	if o.restarted {
		return "holder's process has ended", true
	}
	if !o.leads {
		return "holder resigned", o.now-o.rowSince > settleTime
	}
	if o.holderStoreAge > storeSilenceLimit && o.now-o.storeSince > ownStoreSteady {
		return "holder is cut from the table service", true
	}
	return "", false
}
