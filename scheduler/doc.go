// Package scheduler is about the holder of a shard. A shard is a group of
// workers of one data centre; the entry process that holds its lease places
// jobs on those workers. The package decides who holds a shard, what the
// holder may do, which commands go to a worker, and what a worker accepts.
//
// The package is pure: it performs no I/O, reads no clock and knows no message
// encoding. Sub-package store encodes the rows and carries out transactions,
// runner is the loop in the entry process.
//
// Three rules keep a task from running twice:
//
//   - A placement is durable, in a transaction fenced by the shard's epoch row,
//     before its start command is sent, so whoever holds the shard next reads
//     where each copy may be.
//   - A grant ends at an instant of the worker's own clock, reckoned from a
//     stamp that the worker took, so a command that arrives late has lapsed.
//   - A copy counts as alive until the worker says that it ended, under the
//     holder's own epoch, or until the last possible grant has run out.
package scheduler
