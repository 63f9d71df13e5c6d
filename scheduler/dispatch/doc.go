// Package dispatch makes the decisions of the scheduler that holds a shard:
// which task starts where and when, how a run that ended or was lost affects
// its task, and when a job is done. It receives events and the time, and
// returns orders for workers and records to store.
//
// The package is pure: it does no I/O and reads no clock. A Core is used by one
// goroutine.
package dispatch
