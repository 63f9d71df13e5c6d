package worker

import "github.com/carobkeel/carobkeel"

// filter is what a search passes over pages and workers by.
type filter struct {
	request *Request
	// reclaim counts what evicting batch tasks would free as free.
	reclaim bool
	// home restricts the search to the request's home data centre, away to the
	// others.
	home, away bool
}

func (f *filter) dataCentre(dc carobkeel.DataCentre) bool {
	if f.home {
		return dc == f.request.Home && f.request.allows(dc)
	}
	if f.away && dc == f.request.Home {
		return false
	}
	return f.request.allows(dc)
}

// search implements State. It starts at a page and slot drawn from the seed, so
// that planners that work at once look at different workers first.
func (f *Fleet) search(by filter, from uint64, rejected *Rejections, visit func(*Worker) bool) {
	count := uint64(len(f.pages))
	if count == 0 {
		return
	}
	first := from % count
	slot := int(from / count % pageSize)
	for i := range count {
		p := f.pages[(first+i)%count]
		if !by.dataCentre(p.dataCentre) {
			if !by.home && !by.away {
				rejected.Add(ReasonDataCentre, len(p.workers))
			}
			continue
		}
		if !p.search(by, slot, rejected, visit) {
			return
		}
	}
}

func (p *page) search(by filter, slot int, rejected *Rejections, visit func(*Worker) bool) bool {
	bounds := p.free
	if by.reclaim {
		bounds = p.reclaimable
	}
	if reason := lacks(by.request.Demand, bounds); reason != ReasonNone {
		rejected.Add(reason, len(p.workers))
		return true
	}
	for i := range p.workers {
		at := (i + slot) % len(p.workers)
		if reason := p.cells[at].rejects(by); reason != ReasonNone {
			rejected.Add(reason, 1)
			continue
		}
		if !visit(p.workers[at]) {
			return false
		}
	}
	return true
}

func (c *cell) rejects(by filter) Reason {
	switch {
	case c.status == StatusQuarantined:
		return ReasonQuarantined
	case c.status != StatusReady:
		return ReasonStatus
	case by.reclaim:
		return lacks(by.request.Demand, c.reclaimable)
	}
	return lacks(by.request.Demand, c.free)
}

// largest implements State.
func (f *Fleet) largest(r *Request) carobkeel.Resources {
	var largest carobkeel.Resources
	for _, p := range f.pages {
		if r.allows(p.dataCentre) {
			largest = maxParts(largest, p.capacity)
		}
	}
	return largest
}
