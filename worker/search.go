package worker

import "github.com/carobkeel/carobkeel"

// filter selects the pages and workers that a search visits.
type filter struct {
	request *Request
	// reclaim reports whether resources that evicting batch tasks would free
	// count as free.
	reclaim bool
	// homeOnly restricts the search to the request's home data centre,
	// excludeHome to all others.
	homeOnly, excludeHome bool
}

func (f *filter) allowsDataCentre(dc carobkeel.DataCentre) bool {
	if f.homeOnly {
		return dc == f.request.Home && f.request.allows(dc)
	}
	if f.excludeHome && dc == f.request.Home {
		return false
	}
	return f.request.allows(dc)
}

// search implements State. The page and slot at which it starts are derived from
// the number from, so that concurrent planners visit different workers first.
func (f *Fleet) search(by filter, from uint64, rejected *Rejections, visit func(*Worker) bool) {
	count := uint64(len(f.pages))
	if count == 0 {
		return
	}
	first := from % count
	slot := int(from / count % pageSize)
	for i := range count {
		p := f.pages[(first+i)%count]
		if !by.allowsDataCentre(p.dataCentre) {
			if !by.homeOnly && !by.excludeHome {
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
	if reason := missingResource(by.request.Demand, bounds); reason != ReasonNone {
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
		return missingResource(by.request.Demand, c.reclaimable)
	}
	return missingResource(by.request.Demand, c.free)
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
