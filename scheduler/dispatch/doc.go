// Package dispatch has the decisions of the scheduler that holds a shard: which
// task starts where and when, what becomes of a run that ended or was lost, and
// when a job is done. It is given events and the time, and returns orders for
// workers and records to store.
//
// The package is pure: it does no I/O and reads no clock. A Core is used by one
// goroutine.
package dispatch
