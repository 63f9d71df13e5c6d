// Package intake bounds what clients that nobody controls can make a process hold: the bytes
// that they have sent and that nobody has taken yet, their connections, and the time for which
// a client may send without progress. It decides only; package httpintake reads and closes the
// connections.
package intake
