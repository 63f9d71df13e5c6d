package main

import "github.com/carobkeel/carobkeel/sidecar"

// step is one part of an event: how much has to be done, what one of it takes,
// and how soon it has to be over.
type step struct {
	what  string
	cost  cost
	count quantity
	// within is the time that the step may take.
	within    quantity
	mechanism string
}

// event is a day that is not ordinary.
type event struct {
	name  string
	steps []step
}

func events() []event {
	joined := amount(sidecar.DirectExpiry.Seconds(), "s until a silent sidecar expires")
	return []event{
		{"A rack is lost", []step{
			{
				"place its latency-critical tasks again", rateAt("placement/place-service-N-workers-rate", shardWorkers),
				rackWorkers.quantity.times(serviceTasks).over(workers), urgentStart, "placement in the rack's shard",
			},
			{
				"place its batch tasks again", rateAt("placement/place-N-workers-rate", shardWorkers),
				rackWorkers.quantity.times(batchTasks).over(workers), urgentStart, "placement in the rack's shard",
			},
			{
				"drop its sidecars from each entry's view", at("sidecars/join-N-sidecars", sidecars),
				rackWorkers.quantity.times(serviceTasks).over(workers), joined, "one copy for all that expire together; counted as one each",
			},
		}},
		{"A data centre is lost", []step{
			{
				"place its latency-critical tasks again", rateAt("placement/place-service-N-workers-rate", shardWorkers),
				serviceTasks.over(dataCentres).over(shards.quantity), urgentStart, "placement, spread over the other shards",
			},
			{
				"write the new assignments", batched("table/claims-per-transaction-at-peak"), serviceTasks.over(dataCentres), urgentStart,
				"assignments in batches",
			},
		}},
		{"All sidecars of a data centre come back at once", []step{
			{
				"take them into each entry's view", at("sidecars/join-N-sidecars", sidecars), sidecars.over(dataCentres), joined,
				"a copy of the view for each change",
			},
		}},
		{"Regions lose each other for ten minutes", []step{
			{
				"apply the changes that gathered", at("catalogue/apply-change-N-entries", catalogueEntries.quantity),
				changesPerSec.times(apartSeconds.quantity), changeInForce, "a copy of the catalogue for each change",
			},
		}},
		{"10,000 cancellations at once", []step{
			{
				"write them", plain("store/writes-per-cancellation"), cancellations, urgentStart, "cancellations in batches",
			},
			{
				"free the places of their tasks", at("placement/commit-N-workers", shardWorkers), cancellations.over(shards.quantity),
				urgentStart, "the fleet snapshot",
			},
		}},
	}
}

// seconds returns how long a step takes: on one core, or at the store's rate.
func (r *results) seconds(s step) (float64, unitCost, bool) {
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
	// A share of a core for a second, in percent, is a hundredth of a second.
	scale, ok := processor.info().scale[unit.unit]
	return unit.value * scale * s.count.value / 100, unit, ok
}
