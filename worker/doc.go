// Package worker contains the decisions about the platform's workers: which
// worker a task is placed on, which tasks are evicted for it, how owners share
// the fleet, how much a task really uses, which batch tasks slow which services,
// and which workers are quarantined.
//
// The package does no I/O and reads no clock. A decision takes an immutable
// snapshot (Fleet), a request and a time, and returns a typed result. Each stage
// of a placement has its own file: feasible.go, rank.go, select.go, plan.go and
// commit.go.
//
// A plan is made from a snapshot that may be stale. Registry checks it again,
// host by host, against the current snapshot and may accept it in part, so any
// number of planners can work at once without a host being committed beyond
// its capacity.
package worker
