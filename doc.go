// Package carobkeel holds the core types that every part of the scheduler
// shares: owners, classes, resources, catalogue entries, identifiers, revisions
// and result codes.
//
// The package is pure. It performs no I/O, reads no clock and knows no message
// encoding. Each peer of the system has a package of its own below this one;
// the peer's package holds the decisions about that peer, and its
// sub-packages hold the client or server and the encoding.
package carobkeel
