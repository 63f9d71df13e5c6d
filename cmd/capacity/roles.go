package main

// lines returns every line for an ordinary day. A line may be added before its
// figure exists; the page shows it as "not measured" until then.
func lines() []line {
	var all []line
	all = append(all, entryLines()...)
	all = append(all, sidecarLines()...)
	all = append(all, schedulingLines()...)
	all = append(all, storeLines()...)
	return append(all, workerLines()...)
}

// Assumptions that several lines share.
const (
	assumeLocalEntryLinks   = "a sidecar holds event links to the entries that its settings name, all of its own data centre"
	assumeFullMeshOfEntries = "entries hold event links to all other entries"
	assumeFullCatalogue     = "each process holds the whole catalogue"
)

func entryLines() []line {
	return []line{
		{
			roleEntry, memory, "view of all sidecars", costAtSize("sidecars/memory-N-sidecars", sidecars), oneProcess,
			"one sidecar for each latency-critical task", "an immutable view, swapped at each change",
		},
		{
			roleEntry, memory, "event links of the sidecars", costAtSize("links/memory-N-links", sidecarsPerEntry), oneProcess,
			assumeLocalEntryLinks, "framed TCP links with a reading buffer each",
		},
		{
			roleEntry, memory, "metrics by owner and class", costAtSize("telemetry/memory-N-owners", owners), oneProcess,
			"three histograms and a counter for each owner and class", "a bounded number of owners in telemetry.ByOwner",
		},
		{
			roleEntry, memory, "catalogue", costAtSize("catalogue/memory-N-entries", catalogueEntries.quantity), oneProcess,
			assumeFullCatalogue, "an immutable catalogue, swapped at each change",
		},
		{
			roleEntry, processor, "heartbeats of the sidecars", costAtSize("sidecars/heartbeat-N-sidecars", sidecars),
			sidecarsPerEntry.over(announcementInterval), assumeLocalEntryLinks, "the load is noted in place, without a new view",
		},
		{
			roleEntry, processor, "sidecars that join or leave", costAtSize("sidecars/join-N-sidecars", sidecars), joinsPerSec,
			"each replaced host brings its share of instances back", "a copy of the view for each change",
		},
		{
			roleEntry, processor, "looks for silent sidecars", costAtSize("sidecars/expiry-check-N-sidecars", sidecars), expiryChecksPerSec,
			"a look each half second, as the code does", "a pass over the view",
		},
		{
			roleEntry, processor, "catalogue changes", costAtSize("catalogue/apply-change-N-entries", catalogueEntries.quantity),
			changesPerSec, assumeFullCatalogue, "a copy of the catalogue for each change",
		},
		{
			roleEntry, traffic, "announcements", constantCost("sidecars/announcement-size"), sidecarsPerEntry.over(announcementInterval),
			assumeLocalEntryLinks, "one event for each sidecar and interval",
		},
		{
			roleEntry, traffic, "heartbeats of links", constantCost("links/ping-size"),
			sidecarsPerEntry.times(framesPerPing).times(directionsPerLink).over(pingInterval), assumeLocalEntryLinks, "pings in both directions of each link",
		},
		{
			roleEntry, traffic, "presence of all sidecars", constantCost("spread/membership-presence-slope"),
			sidecars.times(directionsPerLink).over(presenceInterval), assumeFullMeshOfEntries, "a word of presence from each entry for its own sidecars",
		},
		{
			roleEntry, traffic, "catalogue changes to its sidecars", constantCost("spread/message-change"),
			changesPerSec.times(sidecarsPerEntry), assumeLocalEntryLinks, "each change goes out on each event link",
		},
	}
}

func sidecarLines() []line {
	return []line{
		{
			roleSidecar, memory, "event links to the entries", costAtSize("links/memory-N-links", entriesPerSidecar.quantity), oneProcess,
			assumeLocalEntryLinks, "framed TCP links with a reading buffer each",
		},
		{
			roleSidecar, memory, "catalogue", costAtSize("catalogue/memory-N-entries", catalogueEntries.quantity), oneProcess,
			assumeFullCatalogue, "an immutable catalogue, swapped at each change",
		},
		{
			roleSidecar, processor, "catalogue changes", costAtSize("catalogue/apply-change-N-entries", catalogueEntries.quantity),
			changesPerSec, assumeFullCatalogue, "a copy of the catalogue for each change",
		},
		{
			roleSidecar, traffic, "catalogue changes", constantCost("spread/message-change"), changesPerSec.times(entriesPerSidecar.quantity),
			"each change comes once over each link", "events over the links to the entries",
		},
		{
			roleSidecar, memory, "ledger of keyed requests", constantCost("path/ledger-memory"), oneProcess,
			"the keyed requests of the retention time", "the sidecar's ledger",
		},
		{
			roleSidecar, traffic, "announcements", constantCost("sidecars/announcement-size"), entriesPerSidecar.quantity.over(announcementInterval),
			assumeLocalEntryLinks, "one event for each entry and interval",
		},
		{
			roleSidecar, traffic, "heartbeats of links", constantCost("links/ping-size"),
			entriesPerSidecar.quantity.times(framesPerPing).times(directionsPerLink).over(pingInterval), assumeLocalEntryLinks, "pings in both directions of each link",
		},
	}
}

func schedulingLines() []line {
	return []line{
		{
			roleScheduling, processor, "placement of task starts", inverseRateAtSize("placement/place-N-workers-rate", workersPerShard), startsPerShard,
			"starts spread evenly over the shards", "a search over an immutable snapshot of the fleet",
		},
		{
			roleScheduling, processor, "commit of placements", costAtSize("placement/commit-N-workers", workersPerShard), startsPerShard,
			"as above", "plans are checked again, host by host",
		},
		{
			roleScheduling, processor, "choice of the next owner", costAtSize("placement/next-owner-N-owners", owners), startsPerShard,
			"one choice for each start", "fair shares by quota",
		},
		{
			roleScheduling, memory, "workers of a shard", costAtSize("placement/memory-worker-N-workers", workersPerShard), workersPerShard,
			"workers spread evenly over the shards", "the fleet snapshot",
		},
		{
			roleScheduling, memory, "tasks of a shard", costAtSize("placement/memory-task-N-workers", workersPerShard), tasksPerShard,
			"tasks spread evenly over the shards", "the fleet snapshot",
		},
		{
			roleScheduling, traffic, "usage reports of the workers", constantCost("workers/report-size"),
			workersPerShard.over(reportInterval.quantity), "one report for each worker and interval", "events on framed TCP links",
		},
	}
}

func storeLines() []line {
	return []line{
		{
			roleTable, storeWrites, "task starts at the peak", batchedWriteCost("table/claims-per-transaction-at-peak"), startsPerSec,
			"every start is written before it is sent; one process fills the batches", "claims that share a transaction",
		},
		{
			roleTable, storeWrites, "jobs accepted", constantCost("store/writes-per-job"), jobsPerDay.over(secondsPerDay),
			"a job is durable before it is accepted", "a row for each job",
		},
		{
			roleTable, storeWrites, "catalogue changes", constantCost("store/writes-per-change"), changesPerSec,
			"no two edits race", "one conditional transaction for each change",
		},
		{
			roleTable, storeReads, "catalogue changes", constantCost("store/reads-per-change"), changesPerSec,
			"no two edits race", "the head revision, read before the edit",
		},
		{
			roleTable, storeWrites, "shard leases", constantCost("store/writes-per-renewal-second"), shards.quantity,
			"one holder for each shard", "leases with an epoch",
		},
		{
			roleTable, storeReads, "entries that look for news", constantCost("store/reads-per-poll"), entries.over(pollInterval),
			"every entry reads the head by itself", "the head revision; news go on over event links",
		},
		{
			roleObjectStore, storeWrites, "checkpoints of evicted tasks", constantCost("objectstore/writes-per-checkpoint"),
			replacedHostsPerDay.times(tasksPerWorker).over(secondsPerDay), "each task of a replaced host leaves one checkpoint", "objects with a checksum",
		},
	}
}

func workerLines() []line {
	return []line{
		{
			roleWorker, processor, "renewal of task leases", constantCost("workers/lease-renewal"), tasksPerWorker,
			"one renewal a second for each task", "leases that are renewed together",
		},
		{
			roleWorker, traffic, "usage reports", constantCost("workers/report-size"), oneProcess.over(reportInterval.quantity),
			"one report for each interval", "events on framed TCP links",
		},
		{
			roleWorker, memory, "tasks of a worker", constantCost("workers/memory-task"), tasksPerWorker,
			"tasks spread evenly over the workers", "the worker's table of leases",
		},
	}
}

// storeOperation is an operation on a store whose rate no requirement gives.
// The page shows the rate that the store's limit allows.
type storeOperation struct {
	description string
	resource    resource
	cost        figureRef
}

func storeOperations() []storeOperation {
	return []storeOperation{
		{"requests with an idempotency key", storeWrites, constantCost("store/writes-per-keyed-request")},
		{"requests with an idempotency key", storeReads, constantCost("store/reads-per-keyed-request")},
		{"changes of the catalogue", storeWrites, constantCost("store/writes-per-change")},
		{"changes of the catalogue", storeReads, constantCost("store/reads-per-change")},
		{"task starts", storeWrites, batchedWriteCost("table/claims-per-transaction-at-peak")},
	}
}
