package dispatch

import (
	"cmp"
	"slices"

	"github.com/carobkeel/carobkeel"
)

// placeGang starts all tasks of a gang, or none. They share one run number and
// one checkpoint, and start only when none of them has a run left.
func (c *Core) placeGang(p *pass, s *stepState) {
	if len(s.tasks.running) > 0 {
		return
	}
	chosen := c.chooseGang(p, s)
	if chosen == nil {
		c.holdForGang(p, s)
		return
	}
	s.plan = nil
	if c.gangWaitsForRack(p, s, chosen) {
		return
	}
	run, newest := 0, s.tasks.get(0)
	for _, t := range s.tasks.known {
		run = max(run, t.lastRun)
		if t.checkpoint != "" && (newest.checkpoint == "" || t.checkpointRun > newest.checkpointRun) {
			newest = t
		}
	}
	checkpoint, checkpointRun := newest.checkpoint, newest.checkpointRun
	for i := range s.tasks.count {
		t := s.tasks.get(i)
		t.lastRun = run
		t.checkpoint, t.checkpointRun = checkpoint, checkpointRun
	}
	for i := range s.tasks.count {
		c.startPlanned(p, s.tasks.get(i), chosen[i])
	}
}

// chooseGang returns a worker for each task of a gang, nil if they do not all
// fit.
func (c *Core) chooseGang(p *pass, s *stepState) []*workerState {
	chosen := c.chooseGangAmong(p, p.workers, s)
	if chosen == nil && c.mayUseQuarantined(p, s.tasks.peek(0)) {
		chosen = c.chooseGangAmong(p, slices.Concat(p.workers, p.quarantined), s)
	}
	return chosen
}

// chooseGangAmong returns one of the workers for each task of a gang, nil if they
// do not all fit. Tasks that prefer one rack get one if a rack has room for all.
func (c *Core) chooseGangAmong(p *pass, workers []*workerState, s *stepState) []*workerState {
	if s.spec.SameRack {
		byRack := make(map[string][]*workerState)
		for _, w := range workers {
			byRack[w.description.Rack] = append(byRack[w.description.Rack], w)
		}
		for _, rack := range racksByFreeCPU(workers) {
			if chosen := c.fitGang(p, byRack[rack], s); chosen != nil {
				return chosen
			}
		}
	}
	return c.fitGang(p, workers, s)
}

// racksByFreeCPU returns the racks, the one with the most free processors
// first.
func racksByFreeCPU(workers []*workerState) []string {
	freeCPU := make(map[string]int64)
	var racks []string
	for _, w := range workers {
		if _, known := freeCPU[w.description.Rack]; !known {
			racks = append(racks, w.description.Rack)
		}
		freeCPU[w.description.Rack] += w.free().MilliCPU
	}
	slices.SortStableFunc(racks, func(a, b string) int { return cmp.Compare(freeCPU[b], freeCPU[a]) })
	return racks
}

// mayFit reports whether the workers together have as many free processors as a gang demands.
func mayFit(workers []*workerState, s *stepState) bool {
	demanded, free := float64(s.tasks.count)*float64(s.spec.Reserved().MilliCPU), 0.0
	for _, w := range workers {
		free += float64(max(0, w.free().MilliCPU))
	}
	return demanded <= free
}

// fitGang finds places for a gang among the workers.
func (c *Core) fitGang(p *pass, workers []*workerState, s *stepState) []*workerState {
	if !mayFit(workers, s) {
		return nil
	}
	assigned := make(map[*workerState]carobkeel.Resources)
	count := make(map[*workerState]int)
	var chosen []*workerState
	demand := s.spec.Reserved()
	for i := range s.tasks.count {
		t := s.tasks.peek(i)
		var best *workerState
		var bestScore float64
		for _, w := range workers {
			if !c.isAllowed(t, w) || (s.spec.MaxPerWorker > 0 && count[w] >= s.spec.MaxPerWorker) {
				continue
			}
			if len(w.runs)+count[w] >= MaxRunsPerWorker || !demand.FitsIn(c.room(p, t, w).Sub(assigned[w])) {
				continue
			}
			if score := c.score(t, w) - assigned[w].DominantShare(w.description.Capacity); best == nil || score > bestScore {
				best, bestScore = w, score
			}
		}
		if best == nil {
			return nil
		}
		assigned[best] = assigned[best].Add(demand)
		count[best]++
		chosen = append(chosen, best)
	}
	return chosen
}
