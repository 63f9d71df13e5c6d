package main

import "github.com/carobkeel/carobkeel/sidecar"

// step is one amount of work in a scenario, with the time it may take.
type step struct {
	description string
	// cost is the cost of one unit.
	cost figureRef
	// count is the number of units.
	count quantity
	// timeLimit is the time by which the step must be over.
	timeLimit quantity
	mechanism string
}

// scenario is an exceptional situation, such as the loss of a rack, as a list
// of the work that it causes.
type scenario struct {
	name  string
	steps []step
}

// scenarios returns the scenarios of the page, in its order.
func scenarios() []scenario {
	sidecarExpiry := amount(sidecar.DirectExpiry.Seconds(), "s until a silent sidecar expires")
	return []scenario{
		{"A rack is lost", []step{
			{
				"place its latency-critical tasks again", inverseRateAtSize("placement/place-service-N-workers-rate", workersPerShard),
				workersPerRack.quantity.times(serviceTasks).over(workers), urgentStartLimit, "placement in the rack's shard",
			},
			{
				"place its batch tasks again", inverseRateAtSize("placement/place-N-workers-rate", workersPerShard),
				workersPerRack.quantity.times(batchTasks).over(workers), urgentStartLimit, "placement in the rack's shard",
			},
			{
				"drop its sidecars from each entry's view", costAtSize("sidecars/join-N-sidecars", sidecars),
				workersPerRack.quantity.times(serviceTasks).over(workers), sidecarExpiry, "one copy for all that expire together; counted as one each",
			},
		}},
		{"A data centre is lost", []step{
			{
				"place its latency-critical tasks again", inverseRateAtSize("placement/place-service-N-workers-rate", workersPerShard),
				serviceTasks.over(dataCentres).over(shards.quantity), urgentStartLimit, "placement, spread over the other shards",
			},
			{
				"write the new assignments", batchedWriteCost("table/claims-per-transaction-at-peak"), serviceTasks.over(dataCentres), urgentStartLimit,
				"assignments in batches",
			},
		}},
		{"All sidecars of a data centre come back at once", []step{
			{
				"take them into each entry's view", costAtSize("sidecars/join-N-sidecars", sidecars), sidecars.over(dataCentres), sidecarExpiry,
				"a copy of the view for each change",
			},
		}},
		{"Regions lose each other for ten minutes", []step{
			{
				"apply the changes that gathered", costAtSize("catalogue/apply-change-N-entries", catalogueEntries.quantity),
				changesPerSec.times(partitionSeconds.quantity), changeLimit, "a copy of the catalogue for each change",
			},
		}},
		{"10,000 cancellations at once", []step{
			{
				"write them", constantCost("store/writes-per-cancellation"), cancellations, urgentStartLimit, "cancellations in batches",
			},
			{
				"free the places of their tasks", costAtSize("placement/commit-N-workers", workersPerShard), cancellations.over(shards.quantity),
				urgentStartLimit, "the fleet snapshot",
			},
		}},
	}
}

// stepSeconds returns the duration of a step on one core, or at the store's
// maximum rate, with the unit cost used. It returns false if the cost is not
// measured or its unit does not convert to processor time.
func (r *results) stepSeconds(s step) (float64, unitCost, bool) {
	unit, ok := r.lookup(s.cost)
	if !ok {
		return 0, unitCost{}, false
	}
	switch unit.unit {
	case "writes":
		return unit.value * s.count.value / storeWritesPerSecond, unit, true
	case "reads":
		return unit.value * s.count.value / storeReadsPerSecond, unit, true
	}
	// The scale converts to percent of a core for one second; 1% is a hundredth
	// of a second.
	scale, ok := processor.info().scale[unit.unit]
	return unit.value * scale * s.count.value / 100, unit, ok
}
