package main

// lines returns every line of the ordinary day. A new line is one more element;
// its figure may come later and is "not measured" until it is in the results.
func lines() []line {
	var all []line
	all = append(all, entryLines()...)
	all = append(all, sidecarLines()...)
	all = append(all, schedulingLines()...)
	all = append(all, storeLines()...)
	return append(all, workerLines()...)
}

const (
	fewEntriesLinked = "a sidecar holds event links to the entries that its settings name, all of its own data centre"
	entriesLinkedAll = "entries hold event links to all other entries"
	wholeCatalogue   = "each process holds the whole catalogue"
)

func entryLines() []line {
	return []line{
		{
			roleEntry, memory, "view of all sidecars", at("sidecars/memory-N-sidecars", sidecars), one,
			"one sidecar for each latency-critical task", "an immutable view, swapped at each change",
		},
		{
			roleEntry, memory, "event links of the sidecars", at("links/memory-N-links", linkedSidecars), one,
			fewEntriesLinked, "framed TCP links with a reading buffer each",
		},
		{
			roleEntry, memory, "metrics by owner and class", at("telemetry/memory-N-owners", owners), one,
			"three histograms and a counter for each owner and class", "a bounded number of owners in telemetry.ByOwner",
		},
		{
			roleEntry, memory, "catalogue", at("catalogue/memory-N-entries", catalogueEntries.quantity), one,
			wholeCatalogue, "an immutable catalogue, swapped at each change",
		},
		{
			roleEntry, processor, "heartbeats of the sidecars", at("sidecars/heartbeat-N-sidecars", sidecars),
			linkedSidecars.over(announceSeconds), fewEntriesLinked, "the load is noted in place, without a new view",
		},
		{
			roleEntry, processor, "sidecars that join or leave", at("sidecars/join-N-sidecars", sidecars), joinsPerSec,
			"each replaced host brings its share of instances back", "a copy of the view for each change",
		},
		{
			roleEntry, processor, "looks for silent sidecars", at("sidecars/expiry-check-N-sidecars", sidecars), checksPerSec,
			"a look each half second, as the code does", "a pass over the view",
		},
		{
			roleEntry, processor, "catalogue changes", at("catalogue/apply-change-N-entries", catalogueEntries.quantity),
			changesPerSec, wholeCatalogue, "a copy of the catalogue for each change",
		},
		{
			roleEntry, traffic, "announcements", plain("sidecars/announcement-size"), linkedSidecars.over(announceSeconds),
			fewEntriesLinked, "one event for each sidecar and interval",
		},
		{
			roleEntry, traffic, "heartbeats of links", plain("links/ping-size"),
			linkedSidecars.times(pingAndPong).times(bothWays).over(pingSeconds), fewEntriesLinked, "pings in both directions of each link",
		},
		{
			roleEntry, traffic, "presence of all sidecars", plain("spread/membership-presence-slope"),
			sidecars.times(bothWays).over(presenceSeconds), entriesLinkedAll, "a word of presence from each entry for its own sidecars",
		},
		{
			roleEntry, traffic, "catalogue changes to its sidecars", plain("spread/message-change"),
			changesPerSec.times(linkedSidecars), fewEntriesLinked, "each change goes out on each event link",
		},
	}
}

func sidecarLines() []line {
	return []line{
		{
			roleSidecar, memory, "event links to the entries", at("links/memory-N-links", entriesLinked.quantity), one,
			fewEntriesLinked, "framed TCP links with a reading buffer each",
		},
		{
			roleSidecar, memory, "catalogue", at("catalogue/memory-N-entries", catalogueEntries.quantity), one,
			wholeCatalogue, "an immutable catalogue, swapped at each change",
		},
		{
			roleSidecar, processor, "catalogue changes", at("catalogue/apply-change-N-entries", catalogueEntries.quantity),
			changesPerSec, wholeCatalogue, "a copy of the catalogue for each change",
		},
		{
			roleSidecar, traffic, "catalogue changes", plain("spread/message-change"), changesPerSec.times(entriesLinked.quantity),
			"each change comes once over each link", "events over the links to the entries",
		},
		{
			roleSidecar, memory, "ledger of keyed requests", plain("path/ledger-memory"), one,
			"the keyed requests of the retention time", "the sidecar's ledger",
		},
		{
			roleSidecar, traffic, "announcements", plain("sidecars/announcement-size"), entriesLinked.quantity.over(announceSeconds),
			fewEntriesLinked, "one event for each entry and interval",
		},
		{
			roleSidecar, traffic, "heartbeats of links", plain("links/ping-size"),
			entriesLinked.quantity.times(pingAndPong).times(bothWays).over(pingSeconds), fewEntriesLinked, "pings in both directions of each link",
		},
	}
}

func schedulingLines() []line {
	return []line{
		{
			roleScheduling, processor, "placement of task starts", rateAt("placement/place-N-workers-rate", shardWorkers), shardStarts,
			"starts spread evenly over the shards", "a search over an immutable snapshot of the fleet",
		},
		{
			roleScheduling, processor, "commit of placements", at("placement/commit-N-workers", shardWorkers), shardStarts,
			"as above", "plans are checked again, host by host",
		},
		{
			roleScheduling, processor, "choice of the next owner", at("placement/next-owner-N-owners", owners), shardStarts,
			"one choice for each start", "fair shares by quota",
		},
		{
			roleScheduling, memory, "workers of a shard", at("placement/memory-worker-N-workers", shardWorkers), shardWorkers,
			"workers spread evenly over the shards", "the fleet snapshot",
		},
		{
			roleScheduling, memory, "tasks of a shard", at("placement/memory-task-N-workers", shardWorkers), shardTasks,
			"tasks spread evenly over the shards", "the fleet snapshot",
		},
		{
			roleScheduling, traffic, "usage reports of the workers", plain("workers/report-size"),
			shardWorkers.over(reportInterval.quantity), "one report for each worker and interval", "events on framed TCP links",
		},
	}
}

func storeLines() []line {
	return []line{
		{
			roleTable, storeWrites, "task starts at the peak", batched("table/claims-per-transaction-at-peak"), startsPerSec,
			"every start is written before it is sent; one process fills the batches", "claims that share a transaction",
		},
		{
			roleTable, storeWrites, "jobs accepted", plain("store/writes-per-job"), jobsPerDay.over(daySeconds),
			"a job is durable before it is accepted", "a row for each job",
		},
		{
			roleTable, storeWrites, "catalogue changes", plain("store/writes-per-change"), changesPerSec,
			"no two edits race", "one conditional transaction for each change",
		},
		{
			roleTable, storeReads, "catalogue changes", plain("store/reads-per-change"), changesPerSec,
			"no two edits race", "the head revision, read before the edit",
		},
		{
			roleTable, storeWrites, "shard leases", plain("store/writes-per-renewal-second"), shards.quantity,
			"one holder for each shard", "leases with an epoch",
		},
		{
			roleTable, storeReads, "entries that look for news", plain("store/reads-per-poll"), entries.over(pollSeconds),
			"every entry reads the head by itself", "the head revision; news go on over event links",
		},
		{
			roleObjectStore, storeWrites, "checkpoints of evicted tasks", plain("objectstore/writes-per-checkpoint"),
			replacedHosts.times(tasksPerWorker).over(daySeconds), "each task of a replaced host leaves one checkpoint", "objects with a checksum",
		},
	}
}

func workerLines() []line {
	return []line{
		{
			roleWorker, processor, "renewal of task leases", plain("workers/lease-renewal"), tasksPerWorker,
			"one renewal a second for each task", "leases that are renewed together",
		},
		{
			roleWorker, traffic, "usage reports", plain("workers/report-size"), one.over(reportInterval.quantity),
			"one report for each interval", "events on framed TCP links",
		},
		{
			roleWorker, memory, "tasks of a worker", plain("workers/memory-task"), tasksPerWorker,
			"tasks spread evenly over the workers", "the worker's table of leases",
		},
	}
}

// carried is work whose rate nobody gave. The page says what rate the store's
// limit carries.
type carried struct {
	what     string
	resource resource
	cost     cost
}

func carriedWork() []carried {
	return []carried{
		{"requests with an idempotency key", storeWrites, plain("store/writes-per-keyed-request")},
		{"requests with an idempotency key", storeReads, plain("store/reads-per-keyed-request")},
		{"changes of the catalogue", storeWrites, plain("store/writes-per-change")},
		{"changes of the catalogue", storeReads, plain("store/reads-per-change")},
		{"task starts", storeWrites, batched("table/claims-per-transaction-at-peak")},
	}
}
