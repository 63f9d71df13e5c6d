package worker

import "github.com/carobkeel/carobkeel"

// State is the view of the fleet that decisions read. Fleet and Edit implement
// it.
type State interface {
	// Version grows with each published change.
	Version() uint64
	// Len returns the number of workers.
	Len() int
	// Total returns the capacity of all workers that are not lost.
	Total() carobkeel.Resources
	// Worker returns the worker with the given id.
	Worker(id ID) (*Worker, bool)
	// Each calls visit with every worker until visit returns false.
	Each(visit func(*Worker) bool)
	// Rack calls visit with every worker of a rack until visit returns false.
	Rack(dc carobkeel.DataCentre, rack string, visit func(*Worker) bool)

	// search calls visit with the ready workers that match the filter until
	// visit returns false, and counts the others in rejected. The number from
	// determines the page and slot at which it starts.
	search(by filter, from uint64, rejected *Rejections, visit func(*Worker) bool)
	// largest returns the largest capacity, by resource, among the workers in
	// the data centres that the request allows, lost ones included.
	largest(r *Request) carobkeel.Resources
}

// Planner commits plans.
type Planner interface {
	// Commit checks the plan against the current snapshot, host by host, and
	// applies the parts that are still valid.
	Commit(plan Plan) Result
}

var (
	_ State   = (*Fleet)(nil)
	_ State   = (*Edit)(nil)
	_ Planner = (*Registry)(nil)
)
