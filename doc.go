// Package carobkeel holds the core types that every part of the scheduler
// shares: owners, classes, resources, catalogue entries, identifiers, revisions
// and result codes.
//
// The package performs no I/O, reads no clock and contains no message encoding.
// Each peer of the system has a package of its own below this one: the package
// makes the decisions about that peer, and its sub-packages contain the client
// or server and the encoding.
package carobkeel
