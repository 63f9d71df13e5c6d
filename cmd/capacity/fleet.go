package main

import (
	"github.com/carobkeel/carobkeel/entry/announcer"
	"github.com/carobkeel/carobkeel/entry/propagator"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/sidecar/members"
)

// Target size of the fleet, from DEVELOPERS.md.
var (
	workers             = amount(12_000, "workers")
	serviceTasks        = amount(35_000, "latency-critical tasks")
	batchTasks          = amount(190_000, "batch tasks")
	startsPerSec        = amount(2_200, "starts a second")
	owners              = amount(300, "owners")
	dataCentres         = amount(10, "data centres")
	changesPerDay       = amount(34_000, "changes a day")
	jobsPerDay          = amount(120_000, "jobs a day")
	replacedHostsPerDay = amount(3_200, "hosts restarted or replaced a day")
	secondsPerDay       = amount(86_400, "s a day")
	cancellations       = amount(10_000, "cancellations")
	urgentStartLimit    = amount(2.9, "s until urgent work starts")
	changeLimit         = amount(4, "s until a change is in force")
)

// assumption is a size that no requirement gives. The page lists it with the
// reason for its value.
type assumption struct {
	quantity quantity
	reason   string
}

var (
	entriesPerDataCentre = assumption{amount(10, "entries a data centre"), "\"a few thin entry hosts\" for each of ten data centres"}
	entriesPerSidecar    = assumption{amount(3, "entries a sidecar links to"), "its settings name a few entries of its own data centre, of which any one is enough"}
	catalogueEntries     = assumption{amount(10_000, "catalogue entries"), "3,500 services of ten instances, and the batch tasks of 300 teams"}
	workersPerRack       = assumption{amount(20, "workers a rack"), "twelve thousand workers in some sixty racks a data centre"}
	partitionSeconds     = assumption{amount(600, "s apart"), "regions lose each other for minutes"}
	reportInterval       = assumption{amount(10, "s between usage reports"), "reports lag by up to 30 s"}
	shards               = assumption{amount(10, "shards"), "one shard of scheduling for each data centre"}
)

func assumptions() []assumption {
	return []assumption{
		entriesPerDataCentre, entriesPerSidecar, catalogueEntries, workersPerRack, partitionSeconds, reportInterval, shards,
	}
}

// Values derived from the sizes, the assumptions and the constants of the
// code.
var (
	oneProcess = amount(1, "process")
	sidecars   = serviceTasks.named("sidecars")
	entries    = entriesPerDataCentre.quantity.times(dataCentres)
	// sidecarsPerEntry is the number of sidecars with an event link to one entry.
	sidecarsPerEntry     = sidecars.times(entriesPerSidecar.quantity).over(entries)
	changesPerSec        = changesPerDay.over(secondsPerDay)
	announcementInterval = amount(announcer.HeartbeatInterval.Seconds(), "s between announcements")
	pingInterval         = amount(link.EventConfig().HeartbeatInterval.Seconds(), "s between pings")
	presenceInterval     = amount(members.PresenceInterval.Seconds(), "s between words of presence")
	pollInterval         = amount(propagator.PollInterval.Seconds(), "s between reads")
	framesPerPing        = amount(2, "frames")
	directionsPerLink    = amount(2, "directions")
	expiryChecksPerSec   = amount(2, "looks a second")
	joinsPerSec          = replacedHostsPerDay.times(serviceTasks).over(workers).over(secondsPerDay)
	allTasks             = serviceTasks.plus(batchTasks)
	tasksPerWorker       = allTasks.over(workers)
	workersPerShard      = workers.over(shards.quantity)
	tasksPerShard        = allTasks.over(shards.quantity)
	startsPerShard       = startsPerSec.over(shards.quantity)
)
