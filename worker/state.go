package worker

import "github.com/carobkeel/carobkeel"

// State is the snapshot that decisions read. Fleet and Edit implement it.
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

	// search calls visit with the ready workers of the pages that may have
	// what the filter asks for, from the given page on.
	search(f filter, from uint64, rejected *Rejections, visit func(*Worker) bool)
	// largest returns the largest capacity, part by part, among the workers
	// of the data centres that the request allows, lost ones included.
	largest(r *Request) carobkeel.Resources
}

// Planner takes plans and commits what still holds.
type Planner interface {
	// Commit checks the plan against the current snapshot, host by host, and
	// applies what still holds.
	Commit(plan Plan) Result
}

var (
	_ State   = (*Fleet)(nil)
	_ State   = (*Edit)(nil)
	_ Planner = (*Registry)(nil)
)
