package worker

import "github.com/carobkeel/carobkeel"

const (
	// interferenceWeight is the score of a predicted slowdown of a service by
	// its whole latency, beside 1 for an empty worker.
	interferenceWeight = 4.0
	// stranding is the score of a task without accelerators on a worker whose
	// accelerators are free.
	stranding = 0.5
	// densityScore outweighs how full a worker is.
	densityScore = 2.0
)

// Interference predicts how work slows other work on the same worker.
type Interference interface {
	// Penalty returns the predicted slowdown of services, as a fraction of
	// their latency when they run alone, if the request's task joined the
	// worker. It is zero where nothing is known.
	Penalty(r *Request, w *Worker) float64
}

// score returns how good the worker is for the request: the lower, the better.
// Batch tasks are packed, so that whole workers stay free for large ones;
// services are spread, so that one lost worker takes few of them, up to the
// density that the policy sets.
func score(r *Request, w *Worker, policy *Policy, penalty float64) float64 {
	left := leftover(w.Claimable().Sub(r.Demand), w.Capacity)
	if r.Class == carobkeel.ClassLatencyCritical {
		left = 1 - left + density(w, policy.ServicesPerWorker)
	}
	total := left + interferenceWeight*penalty
	if r.Demand.Accelerators == 0 && w.Free().Accelerators > 0 {
		total += stranding
	}
	return total
}

// density returns a score below zero for a worker that has services and room
// for more of them, above zero for one that has them all, and zero for a worker
// without services or where no density is set.
func density(w *Worker, perWorker int) float64 {
	if perWorker <= 0 {
		return 0
	}
	services := 0
	for _, task := range w.Tasks {
		if task.Class == carobkeel.ClassLatencyCritical {
			services++
		}
	}
	switch {
	case services == 0:
		return 0
	case services < perWorker:
		return -densityScore
	}
	return densityScore
}

// leftover returns the mean share of processors and memory that is free.
func leftover(free, capacity carobkeel.Resources) float64 {
	return (ratio(free.MilliCPU, capacity.MilliCPU) + ratio(free.MemoryBytes, capacity.MemoryBytes)) / 2
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
