// Package httpintake applies the decisions of package intake to listeners and HTTP servers: it
// accepts and closes connections, and reads bodies.
package httpintake
