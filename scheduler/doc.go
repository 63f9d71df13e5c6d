// Package scheduler implements the decisions of a shard's holder and of its
// workers. A shard is a group of workers of one data centre; the entry process
// that holds the shard's lease places jobs on those workers. The package decides
// which process holds a shard, what the holder may do, which commands are sent
// to a worker, and which commands a worker accepts.
//
// The package performs no I/O, reads no clock and does not depend on a message
// encoding. Package store encodes the rows and commits the transactions;
// package runner is the scheduling loop in the entry process.
//
// A grant is the permission of a worker to execute a run until a given time.
// Three rules keep a task from running twice:
//
//   - A placement is durable, in a transaction fenced by the shard's epoch row,
//     before its start command is sent. The next holder can therefore read on
//     which worker each run may be.
//   - A grant ends at an instant of the worker's own clock, computed from a
//     timestamp that the worker took, so a delayed command has already expired.
//   - A run is assumed to be active until the worker reports its end under the
//     holder's own epoch, or until the last possible grant has expired.
package scheduler
