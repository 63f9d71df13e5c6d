// Package worker holds the decisions about the platform's workers: which worker
// a task is placed on, what is evicted for it, how owners share the fleet, how
// large a task really is, which pairings of work slow each other and which
// workers are quarantined.
//
// The package is pure. A decision takes an immutable snapshot (Fleet), a
// request and a time, and returns a typed result. The stages of a placement
// have a file each: feasible.go, rank.go, select.go, plan.go and commit.go.
//
// A plan is made from a snapshot that may be stale. Registry checks it again,
// host by host, against the current snapshot and may accept it in part, so any
// number of planners can work at once without a host being committed beyond
// its capacity.
package worker
