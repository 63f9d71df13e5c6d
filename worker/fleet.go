package worker

import "github.com/carobkeel/carobkeel"

// Fleet is an immutable snapshot of the workers. It shares all unchanged pages
// with the snapshot that it was made from. A change of one worker copies one page
// and the slice of page pointers, so apart from that slice its cost does not
// depend on the size of the fleet. The zero Fleet is empty.
type Fleet struct {
	version   uint64
	pages     []*page
	directory *directory
	total     carobkeel.Resources
}

// position is the page and slot of a worker in a Fleet.
type position struct{ page, slot int }

// directory indexes workers by id and by rack. It is copied when workers join or
// leave, and shared between snapshots otherwise.
type directory struct {
	positions map[ID]position
	racks     map[rackKey][]position
}

type rackKey struct {
	dataCentre carobkeel.DataCentre
	rack       string
}

func (f *Fleet) find(id ID) (position, bool) {
	if f.directory == nil {
		return position{}, false
	}
	at, ok := f.directory.positions[id]
	return at, ok
}

func (f *Fleet) at(p position) *Worker { return f.pages[p.page].workers[p.slot] }

// Version grows with each published change.
func (f *Fleet) Version() uint64 { return f.version }

// Len returns the number of workers.
func (f *Fleet) Len() int {
	if f.directory == nil {
		return 0
	}
	return len(f.directory.positions)
}

// Worker returns the worker with the given id.
func (f *Fleet) Worker(id ID) (*Worker, bool) {
	at, ok := f.find(id)
	if !ok {
		return nil, false
	}
	return f.at(at), true
}

// Total returns the capacity of all workers that are not lost.
func (f *Fleet) Total() carobkeel.Resources { return f.total }

// Each calls visit with every worker until visit returns false.
func (f *Fleet) Each(visit func(*Worker) bool) {
	for _, p := range f.pages {
		for _, w := range p.workers {
			if !visit(w) {
				return
			}
		}
	}
}

// Rack calls visit with every worker of a rack until visit returns false.
func (f *Fleet) Rack(dc carobkeel.DataCentre, rack string, visit func(*Worker) bool) {
	if f.directory == nil {
		return
	}
	for _, at := range f.directory.racks[rackKey{dc, rack}] {
		if !visit(f.at(at)) {
			return
		}
	}
}

// Edit returns an Edit that starts from the snapshot.
func (f *Fleet) Edit() *Edit {
	return &Edit{Fleet: Fleet{
		version: f.version, pages: append([]*page(nil), f.pages...),
		directory: f.directory, total: f.total,
	}, pageCopied: make([]bool, len(f.pages))}
}

func (d *directory) clone() *directory {
	next := &directory{positions: map[ID]position{}, racks: map[rackKey][]position{}}
	if d == nil {
		return next
	}
	for id, at := range d.positions {
		next.positions[id] = at
	}
	for key, positions := range d.racks {
		next.racks[key] = append([]position(nil), positions...)
	}
	return next
}

func (d *directory) add(w *Worker, at position) {
	d.positions[w.ID] = at
	key := rackKey{w.Location.DataCentre, w.Location.Rack}
	d.racks[key] = append(d.racks[key], at)
}

func (d *directory) remove(w *Worker, at position) {
	delete(d.positions, w.ID)
	key := rackKey{w.Location.DataCentre, w.Location.Rack}
	positions := d.racks[key]
	for i := range positions {
		if positions[i] == at {
			d.racks[key] = append(positions[:i], positions[i+1:]...)
			return
		}
	}
}
