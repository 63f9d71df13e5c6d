package worker

import "github.com/carobkeel/carobkeel"

const (
	// interferenceWeight is added to the score of a worker, where a lower score
	// is better, if the services' latency is predicted to double; other
	// slowdowns add in proportion. For comparison, an empty worker scores
	// about 1 for a small batch task.
	interferenceWeight = 4.0
	// strandedAcceleratorScore is added for placing a task without accelerators
	// on a worker with free accelerators, which the task could make unusable.
	strandedAcceleratorScore = 0.5
	// densityScore is subtracted for a worker with services and room for more,
	// and added for one with all its services. It outweighs any difference in
	// free capacity.
	densityScore = 2.0
)

// Interference predicts how much tasks slow the services on the same worker.
type Interference interface {
	// Penalty returns the predicted increase of the services' latency if the
	// request's task ran on the worker, as a fraction of their latency without
	// interference. It is zero if nothing is known.
	Penalty(r *Request, w *Worker) float64
}

// score returns how well the worker suits the request; lower is better. Batch
// tasks are packed, so that entire workers stay free for large tasks. Services
// are spread, so that few are affected when a worker is lost, but up to the
// policy's ServicesPerWorker they share a worker.
func score(r *Request, w *Worker, policy *Policy, penalty float64) float64 {
	base := meanFreeShare(w.Claimable().Sub(r.Demand), w.Capacity)
	if r.Class == carobkeel.ClassLatencyCritical {
		base = 1 - base + density(w, policy.ServicesPerWorker)
	}
	total := base + interferenceWeight*penalty
	if r.Demand.Accelerators == 0 && w.Free().Accelerators > 0 {
		total += strandedAcceleratorScore
	}
	return total
}

// density returns a negative score for a worker that runs services, but fewer
// than perWorker, a positive one for a worker that runs perWorker or more, and
// zero for a worker without services or if perWorker is not set.
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

// meanFreeShare returns the mean of the free shares of processors and memory.
func meanFreeShare(free, capacity carobkeel.Resources) float64 {
	return (ratio(free.MilliCPU, capacity.MilliCPU) + ratio(free.MemoryBytes, capacity.MemoryBytes)) / 2
}

func ratio(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
