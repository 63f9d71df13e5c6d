package main

import (
	"github.com/carobkeel/carobkeel/entry/announcer"
	"github.com/carobkeel/carobkeel/entry/propagator"
	"github.com/carobkeel/carobkeel/internal/link"
	"github.com/carobkeel/carobkeel/sidecar/members"
)

// The size to design for, from DEVELOPERS.md.
var (
	workers       = amount(12_000, "workers")
	serviceTasks  = amount(35_000, "latency-critical tasks")
	batchTasks    = amount(190_000, "batch tasks")
	startsPerSec  = amount(2_200, "starts a second")
	owners        = amount(300, "owners")
	dataCentres   = amount(10, "data centres")
	changesPerDay = amount(34_000, "changes a day")
	jobsPerDay    = amount(120_000, "jobs a day")
	replacedHosts = amount(3_200, "hosts restarted or replaced a day")
	daySeconds    = amount(86_400, "s a day")
	cancellations = amount(10_000, "cancellations")
	urgentStart   = amount(2.9, "s until urgent work starts")
	changeInForce = amount(4, "s until a change is in force")
)

// assumption is a number that nobody gave. It is listed on the page.
type assumption struct {
	quantity quantity
	because  string
}

var (
	entriesPerCentre = assumption{amount(10, "entries a data centre"), "\"a few thin entry hosts\" for each of ten data centres"}
	entriesLinked    = assumption{amount(3, "entries a sidecar links to"), "its settings name a few entries of its own data centre, of which any one is enough"}
	catalogueEntries = assumption{amount(10_000, "catalogue entries"), "3,500 services of ten instances, and the batch tasks of 300 teams"}
	rackWorkers      = assumption{amount(20, "workers a rack"), "twelve thousand workers in some sixty racks a data centre"}
	apartSeconds     = assumption{amount(600, "s apart"), "regions lose each other for minutes"}
	reportInterval   = assumption{amount(10, "s between usage reports"), "reports lag by up to 30 s"}
	shards           = assumption{amount(10, "shards"), "one shard of scheduling for each data centre"}
)

func assumptions() []assumption {
	return []assumption{
		entriesPerCentre, entriesLinked, catalogueEntries, rackWorkers, apartSeconds, reportInterval, shards,
	}
}

// What follows from the sizes, the assumptions and the code's own constants.
var (
	one      = amount(1, "process")
	sidecars = serviceTasks.named("sidecars")
	entries  = entriesPerCentre.quantity.times(dataCentres)
	// linkedSidecars are those that hold an event link to one entry.
	linkedSidecars  = sidecars.times(entriesLinked.quantity).over(entries)
	changesPerSec   = changesPerDay.over(daySeconds)
	announceSeconds = amount(announcer.HeartbeatInterval.Seconds(), "s between announcements")
	pingSeconds     = amount(link.EventConfig().HeartbeatInterval.Seconds(), "s between pings")
	presenceSeconds = amount(members.PresenceInterval.Seconds(), "s between words of presence")
	pollSeconds     = amount(propagator.PollInterval.Seconds(), "s between reads")
	pingAndPong     = amount(2, "frames")
	bothWays        = amount(2, "directions")
	checksPerSec    = amount(2, "looks a second")
	joinsPerSec     = replacedHosts.times(serviceTasks).over(workers).over(daySeconds)
	allTasks        = serviceTasks.plus(batchTasks)
	tasksPerWorker  = allTasks.over(workers)
	shardWorkers    = workers.over(shards.quantity)
	shardTasks      = allTasks.over(shards.quantity)
	shardStarts     = startsPerSec.over(shards.quantity)
)
