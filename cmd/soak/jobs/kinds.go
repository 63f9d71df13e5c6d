package jobs

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is a kind of trouble.
type Kind string

// Kinds of troubles.
const (
	// FreezeHolder and FreezeSidecars suspend processes.
	FreezeHolder   Kind = "freeze-holder"
	FreezeSidecars Kind = "freeze-sidecars"
	// KillEntry kills an entry, TerminateEntry asks it to end. Both start it again.
	KillEntry      Kind = "kill-entry"
	TerminateEntry Kind = "terminate-entry"
	// RestartWorkers crashes workers, which start again under their ids.
	RestartWorkers Kind = "restart-workers"
	// DrainWorkers lets workers drain and leave. Others come in their place.
	DrainWorkers Kind = "drain-workers"
	// DarkHosts takes away hosts with their sidecars and workers.
	DarkHosts Kind = "dark-hosts"
	// LateCalls leaves calls to workers unanswered and carries them out at once or later.
	LateCalls Kind = "late-calls"
	// LateWrites does so with transactions of the store.
	LateWrites  Kind = "late-writes"
	SilentStore Kind = "silent-store"
	// BusyStore refuses a share of the calls, DropHistory makes the store forget changes.
	BusyStore     Kind = "busy-store"
	DropHistory   Kind = "drop-history"
	SilentWorkers Kind = "silent-workers"
	// SlowWorkers work and answer slowly.
	SlowWorkers Kind = "slow-workers"
	// GreyWorkers fail a share of the calls.
	GreyWorkers Kind = "grey-workers"
	// RepeatRequests repeats submissions seconds after they were answered.
	RepeatRequests Kind = "repeat-requests"
	// ResetLinks resets the open connections of links, SilentLinks makes them silent for
	// good. DeafLinks loses one direction, SlowLinks delays, CutLinks carries nothing.
	ResetLinks  Kind = "reset-links"
	SilentLinks Kind = "silent-links"
	DeafLinks   Kind = "deaf-links"
	SlowLinks   Kind = "slow-links"
	CutLinks    Kind = "cut-links"
	// KillSidecars, TerminateSidecars and RestartSidecars end sidecars alone, the last over
	// and over. ThrottleSidecars suspends them for a part of the time.
	KillSidecars      Kind = "kill-sidecars"
	TerminateSidecars Kind = "terminate-sidecars"
	RestartSidecars   Kind = "restart-sidecars"
	ThrottleSidecars  Kind = "throttle-sidecars"
	// ForeignHeartbeatsID sends sidecars heartbeats of another worker, at another address,
	// that began later, ForeignHeartbeatsBorn those of the worker's id with a later start,
	// ForeignHeartbeatsEarlier those of either id with an earlier start, and
	// ForeignHeartbeatsAddress those of another worker at the worker's own address.
	ForeignHeartbeatsID      Kind = "foreign-heartbeats-id"
	ForeignHeartbeatsBorn    Kind = "foreign-heartbeats-born"
	ForeignHeartbeatsEarlier Kind = "foreign-heartbeats-earlier"
	ForeignHeartbeatsAddress Kind = "foreign-heartbeats-address"
	// ForeignDepartures sends departures of workers that live.
	ForeignDepartures Kind = "foreign-departures"
	// ReleaseWorkers begins new workers beside others that drain.
	ReleaseWorkers Kind = "release-workers"
)

// span is how long a trouble lasts.
type span struct{ shortest, longest time.Duration }

// spans are the lengths of troubles, of those that end a process or a worker the time until
// it starts again.
var spans = map[Kind]span{
	FreezeHolder:   {500 * time.Millisecond, 6 * time.Second},
	FreezeSidecars: {500 * time.Millisecond, 6 * time.Second},
	KillEntry:      {100 * time.Millisecond, 2 * time.Second},
	TerminateEntry: {100 * time.Millisecond, 2 * time.Second},
	RestartWorkers: {200 * time.Millisecond, 2 * time.Second},
	DrainWorkers:   {3 * time.Second, 8 * time.Second},
	DarkHosts:      {time.Second, 6 * time.Second},
	LateCalls:      {2 * time.Second, 6 * time.Second},
	LateWrites:     {2 * time.Second, 6 * time.Second},
	SilentStore:    {500 * time.Millisecond, 5 * time.Second},
	BusyStore:      {time.Second, 5 * time.Second},
	DropHistory:    {0, time.Second},
	SilentWorkers:  {time.Second, 6 * time.Second},
	SlowWorkers:    {3 * time.Second, 8 * time.Second},
	GreyWorkers:    {2 * time.Second, 6 * time.Second},
	RepeatRequests: {2 * time.Second, 6 * time.Second},
	ResetLinks:     {0, time.Second},
	SilentLinks:    {0, time.Second},
	DeafLinks:      {500 * time.Millisecond, 5 * time.Second},
	SlowLinks:      {2 * time.Second, 8 * time.Second},
	CutLinks:       {500 * time.Millisecond, 5 * time.Second},

	KillSidecars:      {100 * time.Millisecond, 2 * time.Second},
	TerminateSidecars: {100 * time.Millisecond, 2 * time.Second},
	RestartSidecars:   {2 * time.Second, 6 * time.Second},
	ThrottleSidecars:  {2 * time.Second, 8 * time.Second},

	ForeignHeartbeatsID:      {2 * time.Second, 5 * time.Second},
	ForeignHeartbeatsBorn:    {2 * time.Second, 5 * time.Second},
	ForeignHeartbeatsEarlier: {2 * time.Second, 5 * time.Second},
	ForeignHeartbeatsAddress: {2 * time.Second, 5 * time.Second},
	ForeignDepartures:        {2 * time.Second, 5 * time.Second},
	ReleaseWorkers:           {3 * time.Second, 8 * time.Second},
}

// Kinds returns all kinds of troubles in a fixed order.
func Kinds() []Kind {
	var kinds []Kind
	for k := range spans {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// ParseKinds returns the kinds in a list with commas, all of them for "all".
func ParseKinds(list string) ([]Kind, error) {
	if list == "all" {
		return Kinds(), nil
	}
	var kinds []Kind
	for name := range strings.SplitSeq(list, ",") {
		kind := Kind(strings.TrimSpace(name))
		if _, known := spans[kind]; !known {
			return nil, errors.Errorf("no kind of trouble is called %q", kind)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}
