package worker

import "github.com/carobkeel/carobkeel"

// pageSize is the number of workers on a page.
const pageSize = 64

// page holds up to pageSize workers of one data centre and upper bounds of their
// resources, so that a search can skip a page without reading its workers. A
// page that is part of a Fleet is never changed.
type page struct {
	dataCentre carobkeel.DataCentre
	workers    []*Worker
	// free, reclaimable and capacity are the largest amounts, by resource, of
	// any worker of the page. The first two count ready workers only; capacity
	// counts workers of every status, lost ones included, as they may come back.
	free        carobkeel.Resources
	reclaimable carobkeel.Resources
	capacity    carobkeel.Resources
	// cells summarize the workers, by slot on the page. They are stored apart
	// from the workers so that a search reads few cache lines.
	cells [pageSize]cell
}

// cell is the part of a worker's state that a search reads.
type cell struct {
	free        carobkeel.Resources
	reclaimable carobkeel.Resources
	status      Status
}

func (p *page) clone() *page {
	next := *p
	next.workers = append(make([]*Worker, 0, pageSize), p.workers...)
	return &next
}

func (p *page) set(slot int, w *Worker) {
	p.workers[slot] = w
	p.cells[slot] = cell{free: w.Free(), reclaimable: w.reclaimable(), status: w.Status}
	p.summarize()
}

// summarize computes the upper bounds of the page from its cells.
func (p *page) summarize() {
	var free, reclaimable, capacity carobkeel.Resources
	for i, w := range p.workers {
		c := &p.cells[i]
		if c.status == StatusReady {
			free = maxParts(free, c.free)
			reclaimable = maxParts(reclaimable, c.reclaimable)
		}
		capacity = maxParts(capacity, w.Capacity)
	}
	p.free, p.reclaimable, p.capacity = free, reclaimable, capacity
}

func maxParts(a, b carobkeel.Resources) carobkeel.Resources {
	return carobkeel.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
